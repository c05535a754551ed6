//! Responses that are encoded once for all readers that need the same.
//!
//! Load pattern: after a restart of a control VM, or of all, each of its hundred readers
//! comes without a cursor and needs every row; after a change of many routes, each of them
//! needs the same rows. Encoded for each of them, these responses take the processor for
//! longer than a reader waits; it turns to another control VM, again without a cursor, and
//! announcements are read too late meanwhile. A response may be a little old, since it
//! carries the cursor from which its reader goes on.

use std::collections::BTreeMap;

use std::time::Duration;

use tokio::time::Instant;
use world::{LockRank, RankedMutex};

/// Time for which a response is given to further readers: their next request brings what
/// has changed since.
const VALID_FOR: Duration = Duration::from_millis(250);

/// Most responses that are kept at a time: the pieces of a transfer, for readers at
/// different places of it.
const KEPT_MAX: usize = 32;

#[derive(Debug)]
struct Kept<R> {
    made_at: Instant,
    response: R,
}

/// The latest responses, by what their readers have.
#[derive(Debug)]
pub struct SharedResponses<K, R> {
    kept: RankedMutex<BTreeMap<K, Kept<R>>>,
}

impl<K, R> Default for SharedResponses<K, R> {
    fn default() -> Self {
        Self {
            kept: RankedMutex::new(LockRank::Registry, BTreeMap::new()),
        }
    }
}

impl<K: Clone + Ord, R: Clone> SharedResponses<K, R> {
    /// Returns the response to readers that have `key`, if it is still valid.
    #[must_use]
    pub fn get(&self, key: &K, now: Instant) -> Option<R> {
        let kept = self.kept.lock();
        let kept = kept.get(key)?;
        kept.is_valid(now).then(|| kept.response.clone())
    }

    /// Keeps a response for further readers that have `key`.
    pub fn keep(&self, key: K, response: R, now: Instant) {
        let mut kept = self.kept.lock();
        kept.retain(|_, kept| kept.is_valid(now));
        if kept.len() >= KEPT_MAX {
            kept.clear();
        }
        let made_at = now;
        kept.insert(key, Kept { made_at, response });
    }
}

impl<R> Kept<R> {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.made_at) < VALID_FOR
    }
}
