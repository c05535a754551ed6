//! Memory for request and response bodies that an entry VM holds, over all requests.
//!
//! Bodies over [`COUNTED_MIN_BYTES`] are counted for as long as any part of them is held,
//! also by the HTTP library's write queue. A request body that doesn't fit is refused; a
//! response that doesn't fit is no longer read ahead of its client.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::time::Instant;
use world::unit::as_ms;

/// Smaller bodies are not counted: what connections may hold of them is bounded by the
/// number of connections.
pub const COUNTED_MIN_BYTES: usize = 16 * 1024;

/// Larger bodies leave 1 / `SMALL_PART_DIVISOR` of the memory to smaller ones.
const LARGE_MIN_BYTES: usize = 1 << 20;

/// See [`LARGE_MIN_BYTES`].
const SMALL_PART_DIVISOR: usize = 8;

/// Shortest and longest time after which a refused client is asked back, milliseconds.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Weight of one body in the moving mean of the time for which large bodies are held.
const HELD_TIME_WEIGHT: u64 = 4;

/// The memory for bodies, with what is held of it.
#[derive(Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    held_bytes: AtomicUsize,
    /// Number of large bodies held.
    large_count: AtomicU64,
    /// Moving mean of the time for which large bodies are held, milliseconds.
    large_held_ms: AtomicU64,
}

impl BodyMemory {
    /// Creates the memory for `max_bytes` of bodies.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
            large_count: AtomicU64::new(0),
            large_held_ms: AtomicU64::new(RETRY_MS.1),
        }
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Size of the largest body that can be held, bytes.
    #[must_use]
    pub fn largest_bytes(&self) -> usize {
        self.max_bytes - self.max_bytes / SMALL_PART_DIVISOR
    }

    /// Starts to hold a body of which nothing has been read.
    pub fn hold(self: &Arc<Self>) -> Held {
        Held {
            memory: Arc::clone(self),
            bytes: 0,
            large_since: None,
        }
    }

    /// Time until a large body is likely to have been released, milliseconds.
    pub fn retry_after_ms(&self) -> u32 {
        let held_ms = self.large_held_ms.load(Ordering::Relaxed);
        let count = self.large_count.load(Ordering::Relaxed).max(1);
        let next_ms = (held_ms / count).clamp(RETRY_MS.0, RETRY_MS.1);
        u32::try_from(next_ms).unwrap_or(u32::MAX)
    }

    fn try_add(&self, bytes: usize, max_bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= max_bytes);
        let added = self
            .held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok()
    }
}

/// Memory held for one body; released on drop.
#[derive(Debug)]
pub struct Held {
    memory: Arc<BodyMemory>,
    bytes: usize,
    /// Since when the body counts as large.
    large_since: Option<Instant>,
}

impl Held {
    /// Holds memory for `len` bytes of the body in total. Returns whether there was room;
    /// if not, what was held before is kept.
    pub fn grow(&mut self, len: usize) -> bool {
        if len <= self.bytes || len < COUNTED_MIN_BYTES {
            return true;
        }
        let large = len >= LARGE_MIN_BYTES;
        let max_bytes = if large {
            self.memory.largest_bytes()
        } else {
            self.memory.max_bytes
        };
        if !self.memory.try_add(len - self.bytes, max_bytes) {
            return false;
        }
        self.bytes = len;
        if large && self.large_since.is_none() {
            self.large_since = Some(Instant::now());
            self.memory.large_count.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    /// Holds the memory for as long as any part of `body` exists.
    #[must_use]
    pub fn attach(self, body: Bytes) -> Bytes {
        if self.bytes == 0 {
            return body;
        }
        Bytes::from_owner(HeldBody { body, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let memory = &self.memory;
        memory.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        if let Some(since) = self.large_since {
            memory.large_count.fetch_sub(1, Ordering::Relaxed);
            let held_ms = as_ms(since.elapsed());
            let mean_ms = memory.large_held_ms.load(Ordering::Relaxed);
            let mean_ms = (mean_ms * (HELD_TIME_WEIGHT - 1) + held_ms) / HELD_TIME_WEIGHT;
            memory.large_held_ms.store(mean_ms, Ordering::Relaxed);
        }
    }
}

/// A body with the memory that it takes.
struct HeldBody {
    body: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
