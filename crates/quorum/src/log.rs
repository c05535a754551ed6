//! Entries of the log in memory, from some index on.

use std::collections::VecDeque;

use crate::members::Members;
use crate::message::Entry;

/// The log after a base: the last index whose entry is gone.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// An empty log after a base.
    #[must_use]
    pub fn new(base_index: u64, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Last index whose entry is gone.
    #[must_use]
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Last index.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.base_index, |e| e.index)
    }

    /// Term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term at `index`; `None` when the entry is gone or not there yet.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at `index`.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Entries from `index` on: at most `max`, and no more once their commands
    /// have `max_bytes`.
    #[must_use]
    pub fn from(&self, index: u64, max: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(at) = self.position(index) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let before = bytes;
            bytes += entry.payload.len_bytes();
            before < max_bytes
        };
        let tail = self.entries.iter().skip(at).take(max);
        tail.take_while(fits).cloned().collect()
    }

    /// Puts an entry after the last one.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        if let Some(at) = self.position(index) {
            self.entries.truncate(at);
        }
    }

    /// Drops the entries up to `index`.
    pub fn compact(&mut self, index: u64) {
        while let Some(front) = self.entries.front().filter(|e| e.index <= index) {
            self.base_index = front.index;
            self.base_term = front.term;
            self.entries.pop_front();
        }
    }

    /// The first index of the term that stands at `index`.
    #[must_use]
    pub fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// The last members in the log, and their index.
    #[must_use]
    pub fn members(&self) -> Option<(u64, &Members)> {
        let rows = self.entries.iter().rev();
        rows.into_iter()
            .find_map(|e| Some((e.index, e.payload.members()?)))
    }

    /// The last members in the log up to `index`.
    #[must_use]
    pub fn members_at(&self, index: u64) -> Option<&Members> {
        let rows = self.entries.iter().rev();
        rows.skip_while(|e| e.index > index)
            .find_map(|e| e.payload.members())
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }
}
