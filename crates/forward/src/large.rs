//! Admission of requests with large responses, and which of these are forwarded as they
//! arrive. Such a request waits for link capacity before it is sent, so that the backlog of
//! large responses, behind which short ones wait, stays bounded.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::pace::Pacer;

/// Backlog of the link, as transmission time, up to which a large response is
/// admitted at once: a third of the shortest latency objectives of about a
/// second.
const BACKLOG_MAX: Duration = Duration::from_millis(300);

/// Share of its latency objective that a request may wait for admission.
const WAIT_SHARE: f64 = 0.5;

/// Assumed size of a large response before one was read, bytes.
const SIZE_START_BYTES: usize = 64 * 1024;

/// The moving mean of sizes gives a new size the weight 1 / `MEAN_SAMPLES`.
const MEAN_SAMPLES: usize = 20;

/// Transmission time over this machine's link from which a response is forwarded as it
/// arrives, instead of once it is complete: below it, a second attempt in place of a
/// response that breaks off is worth more than the time.
const STREAMED_FROM: Duration = Duration::from_millis(20);

/// Returns whether a response of this length is forwarded as it arrives over a link with
/// this rate. Its client sees that it breaks off, by its length.
#[must_use]
pub fn is_streamed(bytes: u64, pace: &Pacer) -> bool {
    usize::try_from(bytes).is_ok_and(|bytes| pace.transmit_time(bytes) >= STREAMED_FROM)
}

/// When a request with a large response may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkAdmission {
    /// After this time.
    After(Duration),
    /// Not in time; the link has capacity again after this time.
    Full(Duration),
}

/// Decides when a request with the latency objective `target` may be sent,
/// given the link's backlog as transmission time.
#[must_use]
pub fn admit(backlog: Duration, target: Duration) -> LinkAdmission {
    let wait = backlog.saturating_sub(BACKLOG_MAX);
    if wait <= target.mul_f64(WAIT_SHARE) {
        LinkAdmission::After(wait)
    } else {
        LinkAdmission::Full(wait)
    }
}

/// Moving mean of the sizes of large responses.
#[derive(Debug)]
pub struct MeanSize {
    mean_bytes: AtomicUsize,
}

impl Default for MeanSize {
    fn default() -> Self {
        Self {
            mean_bytes: AtomicUsize::new(SIZE_START_BYTES),
        }
    }
}

impl MeanSize {
    /// Adds the size of a response that was read.
    pub fn record(&self, bytes: usize) {
        let mean_bytes = self.mean_bytes.load(Ordering::Relaxed);
        let mean_bytes = mean_bytes - mean_bytes / MEAN_SAMPLES + bytes / MEAN_SAMPLES;
        self.mean_bytes.store(mean_bytes, Ordering::Relaxed);
    }

    /// Reserves link capacity for the expected size of a response.
    #[must_use]
    pub fn reserve(&self, pace: &Arc<Pacer>) -> Reservation {
        let bytes = self.mean_bytes.load(Ordering::Relaxed);
        pace.count(bytes);
        Reservation {
            pace: Arc::clone(pace),
            left: AtomicUsize::new(bytes),
        }
    }
}

/// Link capacity reserved for one response. The unused rest is returned on
/// drop.
#[derive(Debug)]
pub struct Reservation {
    pace: Arc<Pacer>,
    left: AtomicUsize,
}

impl Reservation {
    /// Uses up to this many reserved bytes; returns how many exceed the reservation.
    pub fn consume(&self, bytes: usize) -> usize {
        let before = self.left.load(Ordering::Relaxed);
        let covered = before.min(bytes);
        // One response is read at a time, and a lost update would only count
        // bytes twice.
        self.left.store(before - covered, Ordering::Relaxed);
        bytes - covered
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pace.refund(self.left.load(Ordering::Relaxed));
    }
}
