//! Keys whose answers were dropped: they are refused and never run again.
//!
//! Only a short digest of each is kept. A collision refuses a new key; it can
//! never let an old one run.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Ledger time that shares one set of digests, milliseconds.
const GENERATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Digests of spent keys by generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Spent {
    generations: BTreeMap<u64, BTreeSet<u64>>,
    count: usize,
}

impl Spent {
    /// Remembers a key.
    pub(crate) fn insert(&mut self, digest: u64, now_ms: u64) {
        let generation = self.generations.entry(now_ms / GENERATION_MS).or_default();
        if generation.insert(digest) {
            self.count += 1;
        }
    }

    /// Forgets generations that ended more than `keep_ms` ago.
    pub(crate) fn forget(&mut self, now_ms: u64, keep_ms: u64) {
        while let Some(first) = self.generations.first_entry() {
            let end_ms = (first.key() + 1) * GENERATION_MS;
            if end_ms + keep_ms > now_ms {
                return;
            }
            self.count -= first.remove().len();
        }
    }

    /// Whether the key is remembered.
    pub(crate) fn contains(&self, digest: u64) -> bool {
        self.generations.values().any(|g| g.contains(&digest))
    }

    /// Keys remembered.
    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
