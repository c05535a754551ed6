//! Limit on the share of the ledger that one customer may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::CustomerName;

use crate::limits::Limits;

/// Divisor of the ledger's bounds for one customer: half of the ledger.
const CUSTOMER_DIVISOR: usize = 2;

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct CustomerUsage {
    operations: usize,
    answers_bytes: usize,
}

/// Number of operations and size of stored responses, by customer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    customers: BTreeMap<CustomerName, CustomerUsage>,
}

impl Usage {
    /// Adds an operation.
    pub(crate) fn add_operation(&mut self, customer: &CustomerName) {
        self.customers
            .entry(customer.clone())
            .or_default()
            .operations += 1;
    }

    /// Adds the size of a stored response.
    pub(crate) fn add_answer(&mut self, customer: &CustomerName, answer_bytes: usize) {
        if let Some(used) = self.customers.get_mut(customer) {
            used.answers_bytes += answer_bytes;
        }
    }

    /// Removes an operation and the size of its stored response.
    pub(crate) fn remove_operation(&mut self, customer: &CustomerName, answer_bytes: usize) {
        let Some(used) = self.customers.get_mut(customer) else {
            return;
        };
        used.operations -= 1;
        used.answers_bytes -= answer_bytes;
        if used.operations == 0 {
            self.customers.remove(customer);
        }
    }

    /// Whether a customer uses its whole share.
    pub(crate) fn is_full(&self, customer: &CustomerName, limits: &Limits) -> bool {
        self.customers.get(customer).is_some_and(|used| {
            used.operations >= limits.operations_max / CUSTOMER_DIVISOR
                || used.answers_bytes >= limits.answers_max_bytes / CUSTOMER_DIVISOR
        })
    }
}
