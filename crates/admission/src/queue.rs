//! Queue of requests for one service that wait for a slot.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::ms;
use world::{Class, CustomerName, Error, ErrorKind};

use crate::fair_queue::FairQueue;

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// How the next request is chosen.
    pub discipline: Discipline,
    /// Largest number of queued requests.
    pub length_max: usize,
    /// Number of short requests served for each long one while both wait.
    pub short_turns: u32,
    /// Waiting time of a customer's oldest request from which on its newest one
    /// is served first, milliseconds.
    pub stale_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            discipline: Discipline::Fair,
            length_max: 256,
            short_turns: 8,
            stale_ms: 200,
        }
    }
}

/// How a queue chooses the next request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// By class, priority and customer.
    #[default]
    Fair,
    /// First in, first out; a request that arrives at a full queue is shed. This
    /// is the baseline for comparison.
    Fifo,
}

/// A queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting<T> {
    /// Customer.
    pub customer: CustomerName,
    /// Priority of the customer's plan; higher is served first.
    pub priority: u8,
    /// Class of the service by processing time.
    pub class: Class,
    /// When the request was queued.
    pub since: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Value returned with the request, such as the handle that wakes its task.
    pub payload: T,
}

/// Queued requests of one service, by class, priority and customer.
#[derive(Debug)]
pub struct Queue<T> {
    settings: QueueSettings,
    short: BTreeMap<u8, FairQueue<T>>,
    long: BTreeMap<u8, FairQueue<T>>,
    fifo: VecDeque<Waiting<T>>,
    length: usize,
    /// Short requests served since the last long one while both waited.
    short_served: u32,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            fifo: VecDeque::new(),
            length: 0,
            short_served: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request. If the queue is full, returns the request that is shed, which
    /// may be the new one.
    pub fn push(&mut self, waiting: Waiting<T>) -> Option<Waiting<T>> {
        if self.length >= self.settings.length_max {
            if !self.displaces_queued(&waiting) {
                return Some(waiting);
            }
            let shed = self.shed_lowest();
            self.add(waiting);
            return shed;
        }
        self.add(waiting);
        None
    }

    /// Removes and returns the next request of a class for which `fits` is true.
    /// The FIFO discipline ignores `fits`.
    pub fn pop(&mut self, now: Instant, fits: impl Fn(Class) -> bool) -> Option<Waiting<T>> {
        let popped = match self.settings.discipline {
            Discipline::Fair => self.pop_fair(now, fits),
            Discipline::Fifo => self.fifo.pop_front(),
        };
        self.length -= usize::from(popped.is_some());
        popped
    }

    /// Puts back a popped request that got no slot, as the next one.
    pub fn requeue(&mut self, waiting: Waiting<T>) {
        self.length += 1;
        if self.settings.discipline == Discipline::Fifo {
            self.fifo.push_front(waiting);
            return;
        }
        let queue = self.fair_queue(waiting.class, waiting.priority);
        queue.push_front(waiting);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting<T>> {
        self.remove(|w| now >= w.deadline)
    }

    /// Removes and returns the requests for which `should_remove` is true, such as
    /// those whose clients have disconnected.
    pub fn remove(&mut self, should_remove: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for queues in [&mut self.short, &mut self.long] {
            for queue in queues.values_mut() {
                queue.remove(&should_remove, &mut removed);
            }
            queues.retain(|_, queue| !queue.is_empty());
        }
        let (gone, kept) = self.fifo.drain(..).partition(&should_remove);
        let gone: VecDeque<Waiting<T>> = gone;
        self.fifo = kept;
        removed.extend(gone);
        self.length -= removed.len();
        removed
    }

    fn add(&mut self, waiting: Waiting<T>) {
        self.length += 1;
        if self.settings.discipline == Discipline::Fifo {
            self.fifo.push_back(waiting);
            return;
        }
        let queue = self.fair_queue(waiting.class, waiting.priority);
        queue.push(waiting);
    }

    fn fair_queue(&mut self, class: Class, priority: u8) -> &mut FairQueue<T> {
        let queues = match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        };
        queues.entry(priority).or_default()
    }

    fn pop_fair(&mut self, now: Instant, fits: impl Fn(Class) -> bool) -> Option<Waiting<T>> {
        let short = !self.short.is_empty() && fits(Class::Short);
        let long = !self.long.is_empty() && fits(Class::Long);
        let is_long_turn = long && self.short_served >= self.settings.short_turns;
        let queues = if short && !is_long_turn {
            self.short_served += u32::from(long);
            &mut self.short
        } else if long {
            self.short_served = 0;
            &mut self.long
        } else {
            return None;
        };
        let stale_before = now.checked_sub(ms(self.settings.stale_ms));
        let mut first = queues.last_entry()?;
        let popped = first.get_mut().pop(stale_before);
        if first.get().is_empty() {
            first.remove();
        }
        popped
    }

    /// Returns whether the new request displaces a queued one: one of a lower
    /// priority, or one of the same priority from a customer that has at least two
    /// more queued requests than the new request's customer.
    fn displaces_queued(&self, new: &Waiting<T>) -> bool {
        let queues = [&self.short, &self.long];
        let lowest = queues.iter().filter_map(|l| l.keys().next()).min();
        match lowest {
            None => false,
            Some(lowest) if *lowest != new.priority => *lowest < new.priority,
            Some(lowest) => {
                let found = || queues.iter().filter_map(|l| l.get(lowest));
                let longest = found().map(FairQueue::longest_queue_len).max().unwrap_or(0);
                let own = found().map(|queue| queue.len_of(&new.customer)).max();
                longest > own.unwrap_or(0) + 1
            }
        }
    }

    /// Sheds a request of the lowest priority, from the class in which one customer
    /// has the most requests.
    fn shed_lowest(&mut self) -> Option<Waiting<T>> {
        let lowest = [&self.short, &self.long]
            .iter()
            .filter_map(|l| l.keys().next().copied())
            .min()?;
        let longest = |queues: &BTreeMap<u8, FairQueue<T>>| {
            queues.get(&lowest).map_or(0, FairQueue::longest_queue_len)
        };
        let queues = if longest(&self.long) >= longest(&self.short) {
            &mut self.long
        } else {
            &mut self.short
        };
        let queue = queues.get_mut(&lowest)?;
        let shed = queue.shed();
        if queue.is_empty() {
            queues.remove(&lowest);
        }
        self.length -= usize::from(shed.is_some());
        shed
    }
}

/// Returns the error for a request that is shed.
#[must_use]
pub fn shed_error() -> Error {
    Error::new(
        ErrorKind::Overloaded,
        "the queue is full of more important work",
    )
}

/// Returns the error for a request that got no slot before its deadline.
#[must_use]
pub fn late_error() -> Error {
    Error::new(ErrorKind::DeadlineWaiting, "no slot came free in time")
}
