//! How much of the ledger each customer uses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::CustomerName;

use crate::limits::Limits;

/// One customer may use one part in this many of the ledger.
const SHARE: usize = 2;

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Used {
    operations: usize,
    answers_bytes: usize,
}

/// Operations and answers kept, by customer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    customers: BTreeMap<CustomerName, Used>,
}

impl Usage {
    /// Counts an operation.
    pub(crate) fn begin(&mut self, customer: &CustomerName) {
        self.customers
            .entry(customer.clone())
            .or_default()
            .operations += 1;
    }

    /// Counts an answer that is kept.
    pub(crate) fn keep(&mut self, customer: &CustomerName, answer_bytes: usize) {
        if let Some(used) = self.customers.get_mut(customer) {
            used.answers_bytes += answer_bytes;
        }
    }

    /// Takes an operation and its answer out of the count.
    pub(crate) fn end(&mut self, customer: &CustomerName, answer_bytes: usize) {
        let Some(used) = self.customers.get_mut(customer) else {
            return;
        };
        used.operations -= 1;
        used.answers_bytes -= answer_bytes;
        if used.operations == 0 {
            self.customers.remove(customer);
        }
    }

    /// Whether a customer has used its share.
    pub(crate) fn is_full(&self, customer: &CustomerName, limits: &Limits) -> bool {
        self.customers.get(customer).is_some_and(|used| {
            used.operations >= limits.operations_max / SHARE
                || used.answers_bytes >= limits.answers_max_bytes / SHARE
        })
    }
}
