//! Admission of requests with large answers. They take their turn on this
//! machine's link before they are sent, so that short work never waits behind
//! more of them than the link soon carries.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::pace::Pace;

/// Time of the link that large answers may hold ahead of others: a third of
/// the shortest latency objectives of about a second.
const AHEAD_MAX: Duration = Duration::from_millis(300);

/// Part of its latency objective for which a request may wait for its turn.
const WAIT_SHARE: f64 = 0.5;

/// Size of a large answer before one has come, bytes.
const SIZE_START_BYTES: usize = 64 * 1024;

/// One more size counts for one part in this many of the mean.
const SIZE_PARTS: usize = 20;

/// When a request with a large answer may go out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// After this time.
    After(Duration),
    /// Not in time; the link has room again after this time.
    Full(Duration),
}

/// The turn of a request whose latency objective is `target`, when the link is
/// spoken for during `ahead`.
#[must_use]
pub fn turn(ahead: Duration, target: Duration) -> Turn {
    let wait = ahead.saturating_sub(AHEAD_MAX);
    if wait <= target.mul_f64(WAIT_SHARE) {
        Turn::After(wait)
    } else {
        Turn::Full(wait)
    }
}

/// Sizes of large answers.
#[derive(Debug)]
pub struct Sizes {
    mean_bytes: AtomicUsize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            mean_bytes: AtomicUsize::new(SIZE_START_BYTES),
        }
    }
}

impl Sizes {
    /// Takes in the size of one that came.
    pub fn learn(&self, bytes: usize) {
        let mean_bytes = self.mean_bytes.load(Ordering::Relaxed);
        let mean_bytes = mean_bytes - mean_bytes / SIZE_PARTS + bytes / SIZE_PARTS;
        self.mean_bytes.store(mean_bytes, Ordering::Relaxed);
    }

    /// Sets the link aside for one that will come.
    #[must_use]
    pub fn reserve(&self, pace: &Arc<Pace>) -> Reserved {
        let bytes = self.mean_bytes.load(Ordering::Relaxed);
        pace.count(bytes);
        Reserved {
            pace: Arc::clone(pace),
            left: AtomicUsize::new(bytes),
        }
    }
}

/// Bytes of a link that are set aside for one answer. What is not used is
/// given back.
#[derive(Debug)]
pub struct Reserved {
    pace: Arc<Pace>,
    left: AtomicUsize,
}

impl Reserved {
    /// Uses up to this many bytes; gives how many are not covered.
    pub fn cover(&self, bytes: usize) -> usize {
        let before = self.left.load(Ordering::Relaxed);
        let covered = before.min(bytes);
        // One answer is read at a time, and a lost update only counts twice.
        self.left.store(before - covered, Ordering::Relaxed);
        bytes - covered
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.pace.give_back(self.left.load(Ordering::Relaxed));
    }
}
