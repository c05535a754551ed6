//! The part of the log that is kept in memory, after compaction.

use std::collections::VecDeque;

use crate::members::Members;
use crate::message::Entry;

/// Entries after the base, which is the last compacted index.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates an empty log after the given base; 0 and 0 for a new group.
    #[must_use]
    pub fn new(base_index: u64, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Index of the last compacted entry; 0 if none.
    #[must_use]
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry; the base index if there are no entries.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.base_index, |e| e.index)
    }

    /// Term of the last entry; the base term if there are no entries.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at `index`; `None` if the entry is compacted (other than
    /// the base) or not yet in the log.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns at most `max` entries from `index` on, and stops after the entry
    /// with which their commands reach `max_bytes` in total. Returns none if the
    /// entry at `index` is compacted.
    #[must_use]
    pub fn entries_from(&self, index: u64, max: usize, max_bytes: usize) -> Vec<Entry> {
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

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        if let Some(at) = self.position(index) {
            self.entries.truncate(at);
        }
    }

    /// Removes the entries up to and including `index`; the last removed one
    /// becomes the base.
    pub fn compact(&mut self, index: u64) {
        while let Some(front) = self.entries.front().filter(|e| e.index <= index) {
            self.base_index = front.index;
            self.base_term = front.term;
            self.entries.pop_front();
        }
    }

    /// Returns the index before the last `max` entries up to `index`, or before fewer if
    /// their commands are over `max_bytes` in total.
    #[must_use]
    pub fn tail_start(&self, index: u64, max: u64, max_bytes: usize) -> u64 {
        let mut start = index;
        let mut bytes = 0;
        while index - start < max {
            let Some(entry) = self.get(start) else {
                break;
            };
            bytes += entry.payload.len_bytes();
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Length of the commands in memory, in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        self.entries.iter().map(|e| e.payload.len_bytes()).sum()
    }

    /// Returns the first index in memory with the same term as the entry at
    /// `index`.
    #[must_use]
    pub fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns the latest members set by an entry in memory, and its index.
    #[must_use]
    pub fn members(&self) -> Option<(u64, &Members)> {
        let newest_first = self.entries.iter().rev();
        newest_first
            .into_iter()
            .find_map(|e| Some((e.index, e.payload.members()?)))
    }

    /// Returns the latest members set by an entry in memory up to `index`.
    #[must_use]
    pub fn members_at(&self, index: u64) -> Option<&Members> {
        let newest_first = self.entries.iter().rev();
        newest_first
            .skip_while(|e| e.index > index)
            .find_map(|e| e.payload.members())
    }

    /// Offset of `index` in `entries`; `None` at or below the base.
    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }
}
