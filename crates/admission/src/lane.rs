//! Work of one class and one priority, fair between customers.

use std::collections::{HashMap, VecDeque};

use tokio::time::Instant;
use world::CustomerName;

use crate::queue::Waiting;

/// Waiting work by customer; customers take turns.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    turns: VecDeque<CustomerName>,
    work: HashMap<CustomerName, VecDeque<Waiting<T>>>,
    count: usize,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            turns: VecDeque::new(),
            work: HashMap::new(),
            count: 0,
        }
    }
}

impl<T> Lane<T> {
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn push(&mut self, waiting: Waiting<T>) {
        self.count += 1;
        if let Some(own) = self.work.get_mut(&waiting.customer) {
            own.push_back(waiting);
            return;
        }
        self.turns.push_back(waiting.customer.clone());
        let customer = waiting.customer.clone();
        self.work.insert(customer, VecDeque::from([waiting]));
    }

    /// Puts a piece back that was popped last; it is the next again.
    pub fn push_front(&mut self, waiting: Waiting<T>) {
        self.count += 1;
        let customer = waiting.customer.clone();
        self.turns.retain(|c| *c != customer);
        self.turns.push_front(customer.clone());
        self.work.entry(customer).or_default().push_front(waiting);
    }

    /// The next customer's oldest work, or its newest when the oldest came before `stale`.
    pub fn pop(&mut self, stale: Option<Instant>) -> Option<Waiting<T>> {
        let customer = self.turns.pop_front()?;
        let own = self.work.get_mut(&customer)?;
        let late = own
            .front()
            .is_some_and(|w| stale.is_some_and(|s| w.since < s));
        let waiting = if late {
            own.pop_back()
        } else {
            own.pop_front()
        };
        if own.is_empty() {
            self.work.remove(&customer);
        } else {
            self.turns.push_back(customer);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    /// Sheds the newest work of the customer with the most.
    pub fn shed(&mut self) -> Option<Waiting<T>> {
        let longest = self
            .work
            .iter()
            .max_by(|a, b| (a.1.len(), a.0).cmp(&(b.1.len(), b.0)))?;
        let customer = longest.0.clone();
        let own = self.work.get_mut(&customer)?;
        let waiting = own.pop_back();
        if own.is_empty() {
            self.work.remove(&customer);
            self.turns.retain(|c| *c != customer);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    /// Work waiting for the customer that has the most, and for this one.
    pub fn longest(&self) -> usize {
        self.work.values().map(VecDeque::len).max().unwrap_or(0)
    }

    pub fn count_of(&self, customer: &CustomerName) -> usize {
        self.work.get(customer).map_or(0, VecDeque::len)
    }

    /// Removes work that `leaves` picks.
    pub fn remove(&mut self, leaves: impl Fn(&Waiting<T>) -> bool, left: &mut Vec<Waiting<T>>) {
        for own in self.work.values_mut() {
            let mut at = 0;
            while at < own.len() {
                if leaves(&own[at]) {
                    left.extend(own.remove(at));
                } else {
                    at += 1;
                }
            }
        }
        self.work.retain(|_, own| !own.is_empty());
        let work = &self.work;
        self.turns.retain(|c| work.contains_key(c));
        self.count = self.work.values().map(VecDeque::len).sum();
    }
}
