//! Work of one service that waits for a slot.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::ms;
use world::{Class, CustomerName, Error, Kind};

use crate::lane::Lane;

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// How the next piece is chosen.
    pub discipline: Discipline,
    /// Pieces that may wait at once.
    pub length_max: usize,
    /// Short pieces for each long one while both wait.
    pub short_turns: u32,
    /// Wait from which on a customer's newest piece goes first, milliseconds.
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

/// How a queue chooses the next piece.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// By class, priority and customer.
    #[default]
    Fair,
    /// Baseline: first come, first served; what finds the queue full is shed.
    Fifo,
}

/// A piece of work that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting<T> {
    /// Customer.
    pub customer: CustomerName,
    /// Priority of its plan.
    pub priority: u8,
    /// Expected length.
    pub class: Class,
    /// Since when it waits.
    pub since: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// What wakes it.
    pub payload: T,
}

/// Work of one service that waits, by class, priority and customer.
#[derive(Debug)]
pub struct Queue<T> {
    settings: QueueSettings,
    short: BTreeMap<u8, Lane<T>>,
    long: BTreeMap<u8, Lane<T>>,
    fifo: VecDeque<Waiting<T>>,
    length: usize,
    short_taken: u32,
}

impl<T> Queue<T> {
    /// Nothing waits.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            fifo: VecDeque::new(),
            length: 0,
            short_taken: 0,
        }
    }

    /// Pieces that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Lets a piece wait; when the queue is full, the piece that is shed for it.
    pub fn push(&mut self, waiting: Waiting<T>) -> Option<Waiting<T>> {
        if self.length >= self.settings.length_max {
            if !self.gives_way(&waiting) {
                return Some(waiting);
            }
            let shed = self.shed_least();
            self.add(waiting);
            return shed;
        }
        self.add(waiting);
        None
    }

    /// The next piece of a class that `fits` a free slot.
    pub fn pop(&mut self, now: Instant, fits: impl Fn(Class) -> bool) -> Option<Waiting<T>> {
        let popped = match self.settings.discipline {
            Discipline::Fair => self.pop_fair(now, fits),
            Discipline::Fifo => self.fifo.pop_front(),
        };
        self.length -= usize::from(popped.is_some());
        popped
    }

    /// Puts a piece back that found no slot after all; it keeps its place.
    pub fn push_back(&mut self, waiting: Waiting<T>) {
        self.length += 1;
        if self.settings.discipline == Discipline::Fifo {
            self.fifo.push_front(waiting);
            return;
        }
        let lane = self.lane(waiting.class, waiting.priority);
        lane.push_front(waiting);
    }

    /// Pieces whose deadline has passed; they leave.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting<T>> {
        self.remove(|w| now >= w.deadline)
    }

    /// Removes pieces that `leaves` picks, as those whose callers have gone.
    pub fn remove(&mut self, leaves: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut left = Vec::new();
        for lanes in [&mut self.short, &mut self.long] {
            for lane in lanes.values_mut() {
                lane.remove(&leaves, &mut left);
            }
            lanes.retain(|_, lane| !lane.is_empty());
        }
        let (gone, stay) = self.fifo.drain(..).partition(&leaves);
        let gone: VecDeque<Waiting<T>> = gone;
        self.fifo = stay;
        left.extend(gone);
        self.length -= left.len();
        left
    }

    fn add(&mut self, waiting: Waiting<T>) {
        self.length += 1;
        if self.settings.discipline == Discipline::Fifo {
            self.fifo.push_back(waiting);
            return;
        }
        let lane = self.lane(waiting.class, waiting.priority);
        lane.push(waiting);
    }

    fn lane(&mut self, class: Class, priority: u8) -> &mut Lane<T> {
        let lanes = match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        };
        lanes.entry(priority).or_default()
    }

    fn pop_fair(&mut self, now: Instant, fits: impl Fn(Class) -> bool) -> Option<Waiting<T>> {
        let short = !self.short.is_empty() && fits(Class::Short);
        let long = !self.long.is_empty() && fits(Class::Long);
        let long_turn = long && self.short_taken >= self.settings.short_turns;
        let lanes = if short && !long_turn {
            self.short_taken += u32::from(long);
            &mut self.short
        } else if long {
            self.short_taken = 0;
            &mut self.long
        } else {
            return None;
        };
        let stale = now.checked_sub(ms(self.settings.stale_ms));
        let mut first = lanes.last_entry()?;
        let popped = first.get_mut().pop(stale);
        if first.get().is_empty() {
            first.remove();
        }
        popped
    }

    /// Whether some waiting piece is less important than the new one, or of
    /// the same priority and its customer has more pieces waiting.
    fn gives_way(&self, new: &Waiting<T>) -> bool {
        let lanes = [&self.short, &self.long];
        let least = lanes.iter().filter_map(|l| l.keys().next()).min();
        match least {
            None => false,
            Some(least) if *least != new.priority => *least < new.priority,
            Some(least) => {
                let found = || lanes.iter().filter_map(|l| l.get(least));
                let longest = found().map(Lane::longest).max().unwrap_or(0);
                let own = found().map(|lane| lane.count_of(&new.customer)).max();
                longest > own.unwrap_or(0) + 1
            }
        }
    }

    /// Sheds from the lowest priority; of its two classes, where a customer has most.
    fn shed_least(&mut self) -> Option<Waiting<T>> {
        let least = [&self.short, &self.long]
            .iter()
            .filter_map(|l| l.keys().next().copied())
            .min()?;
        let longest = |lanes: &BTreeMap<u8, Lane<T>>| lanes.get(&least).map_or(0, Lane::longest);
        let lanes = if longest(&self.long) >= longest(&self.short) {
            &mut self.long
        } else {
            &mut self.short
        };
        let lane = lanes.get_mut(&least)?;
        let shed = lane.shed();
        if lane.is_empty() {
            lanes.remove(&least);
        }
        self.length -= usize::from(shed.is_some());
        shed
    }
}

/// What the caller of a shed piece is told.
#[must_use]
pub fn shed_error() -> Error {
    Error::new(Kind::Overloaded, "the queue is full of more important work")
}

/// What the caller of a piece that waited too long is told.
#[must_use]
pub fn late_error() -> Error {
    Error::new(Kind::DeadlineWaiting, "no slot came free in time")
}
