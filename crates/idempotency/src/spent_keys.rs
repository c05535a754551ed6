//! Spent keys: keys whose operation was dropped, which are refused.
//!
//! Only a short digest of each key is kept. A collision can refuse a new key, but
//! never lets a spent key run again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Ledger time covered by one set of digests, milliseconds.
const GENERATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Digests of spent keys, grouped by the time at which they were spent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SpentKeys {
    /// Digests by number of the [`GENERATION_MS`] period.
    generations: BTreeMap<u64, BTreeSet<u64>>,
    count: usize,
}

impl SpentKeys {
    /// Records a key as spent.
    pub(crate) fn insert(&mut self, digest: u64, now_ms: u64) {
        let generation = self.generations.entry(now_ms / GENERATION_MS).or_default();
        if generation.insert(digest) {
            self.count += 1;
        }
    }

    /// Removes generations that ended at least `keep_ms` ago.
    pub(crate) fn forget(&mut self, now_ms: u64, keep_ms: u64) {
        while let Some(first) = self.generations.first_entry() {
            let end_ms = (first.key() + 1) * GENERATION_MS;
            if end_ms + keep_ms > now_ms {
                return;
            }
            self.count -= first.remove().len();
        }
    }

    /// Whether the key is recorded as spent.
    pub(crate) fn contains(&self, digest: u64) -> bool {
        self.generations.values().any(|g| g.contains(&digest))
    }

    /// Number of recorded keys.
    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
