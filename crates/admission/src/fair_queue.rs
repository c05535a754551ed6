//! Queue of requests of one class and priority that is fair between customers.

use std::collections::{HashMap, VecDeque};

use tokio::time::Instant;
use world::CustomerName;

use crate::queue::Waiting;

/// Queued requests by customer; customers are served in turns (round-robin).
#[derive(Debug)]
pub(crate) struct FairQueue<T> {
    /// Customers with requests, next one first.
    turn_order: VecDeque<CustomerName>,
    requests: HashMap<CustomerName, VecDeque<Waiting<T>>>,
    count: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            turn_order: VecDeque::new(),
            requests: HashMap::new(),
            count: 0,
        }
    }
}

impl<T> FairQueue<T> {
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn push(&mut self, waiting: Waiting<T>) {
        self.count += 1;
        if let Some(queue) = self.requests.get_mut(&waiting.customer) {
            queue.push_back(waiting);
            return;
        }
        self.turn_order.push_back(waiting.customer.clone());
        let customer = waiting.customer.clone();
        self.requests.insert(customer, VecDeque::from([waiting]));
    }

    /// Puts back the request that was popped last, as the next one.
    pub fn push_front(&mut self, waiting: Waiting<T>) {
        self.count += 1;
        let customer = waiting.customer.clone();
        self.turn_order.retain(|c| *c != customer);
        self.turn_order.push_front(customer.clone());
        self.requests
            .entry(customer)
            .or_default()
            .push_front(waiting);
    }

    /// Returns the next customer's oldest request, or its newest one if the oldest
    /// was queued before `stale_before`.
    pub fn pop(&mut self, stale_before: Option<Instant>) -> Option<Waiting<T>> {
        let customer = self.turn_order.pop_front()?;
        let queue = self.requests.get_mut(&customer)?;
        let is_stale = queue
            .front()
            .is_some_and(|w| stale_before.is_some_and(|s| w.since < s));
        let waiting = if is_stale {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        if queue.is_empty() {
            self.requests.remove(&customer);
        } else {
            self.turn_order.push_back(customer);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    /// Removes the newest request of the customer with the most requests.
    pub fn shed(&mut self) -> Option<Waiting<T>> {
        let longest = self
            .requests
            .iter()
            .max_by(|a, b| (a.1.len(), a.0).cmp(&(b.1.len(), b.0)))?;
        let customer = longest.0.clone();
        let queue = self.requests.get_mut(&customer)?;
        let waiting = queue.pop_back();
        if queue.is_empty() {
            self.requests.remove(&customer);
            self.turn_order.retain(|c| *c != customer);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    /// Returns the number of requests of the customer with the most requests.
    pub fn longest_queue_len(&self) -> usize {
        self.requests.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of requests of a customer.
    pub fn len_of(&self, customer: &CustomerName) -> usize {
        self.requests.get(customer).map_or(0, VecDeque::len)
    }

    /// Moves the requests for which `should_remove` is true to `removed`.
    pub fn remove(
        &mut self,
        should_remove: impl Fn(&Waiting<T>) -> bool,
        removed: &mut Vec<Waiting<T>>,
    ) {
        for queue in self.requests.values_mut() {
            let mut at = 0;
            while at < queue.len() {
                if should_remove(&queue[at]) {
                    removed.extend(queue.remove(at));
                } else {
                    at += 1;
                }
            }
        }
        self.requests.retain(|_, queue| !queue.is_empty());
        let requests = &self.requests;
        self.turn_order.retain(|c| requests.contains_key(c));
        self.count = self.requests.values().map(VecDeque::len).sum();
    }
}
