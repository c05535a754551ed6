//! Responses with the whole registry, encoded once for all readers that need one.
//!
//! Load pattern: after a restart of a control VM, or of all, each of its hundred readers
//! comes without a cursor and needs every row. Encoded for each of them, these responses
//! take the processor for longer than a reader waits; it turns to another control VM,
//! again without a cursor, and announcements are read too late meanwhile. A response may
//! be a little old, since it carries the cursor from which its reader goes on.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use world::{LockRank, RankedMutex};

/// Time for which a response is given to further readers: their next request brings what
/// has changed since.
const VALID_FOR: Duration = Duration::from_millis(250);

/// An encoded response to a reader without a cursor.
#[derive(Debug)]
struct Whole {
    made_at: Instant,
    /// Catalog index of the readers it is for.
    catalog_index: u64,
    payload: Bytes,
}

/// The latest response with the whole registry.
#[derive(Debug)]
pub struct WholeResponses {
    latest: RankedMutex<Option<Whole>>,
}

impl Default for WholeResponses {
    fn default() -> Self {
        Self {
            latest: RankedMutex::new(LockRank::Registry, None),
        }
    }
}

impl WholeResponses {
    /// Returns the latest response if it still serves a reader with this catalog index.
    #[must_use]
    pub fn get(&self, catalog_index: u64, now: Instant) -> Option<Bytes> {
        let latest = self.latest.lock();
        let whole = latest.as_ref()?;
        let age = now.saturating_duration_since(whole.made_at);
        let serves = whole.catalog_index == catalog_index && age < VALID_FOR;
        serves.then(|| whole.payload.clone())
    }

    /// Keeps a response for further readers with this catalog index.
    pub fn keep(&self, payload: &Bytes, catalog_index: u64, now: Instant) {
        *self.latest.lock() = Some(Whole {
            made_at: now,
            catalog_index,
            payload: payload.clone(),
        });
    }
}
