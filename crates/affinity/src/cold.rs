//! Limits the requests that this entry VM sends to a cold backend server, so
//! that the total over all entry VMs stays under what the server can handle.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Window of the limit: one second, plus a margin for requests that arrive at
/// the server closer together than they were sent.
pub const WINDOW: Duration = Duration::from_millis(1_150);

/// Returns the requests per window that this entry VM may send to a cold
/// server: an equal part of `total`, the requests that all entry VMs together may
/// send per window, rounded down. The first `total % entry_vm_count` entry VMs get
/// one more; `rank` is this entry VM's position in an order that differs by server.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and takes NaN and negative totals for 0"
)]
pub fn quota(total: f64, entry_vm_count: usize, rank: usize) -> usize {
    let entry_vm_count = entry_vm_count.max(1);
    let whole = total as usize;
    whole / entry_vm_count + usize::from(rank < whole % entry_vm_count)
}

/// Times of recent requests to a server.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    times: VecDeque<Instant>,
}

impl SendWindow {
    /// Returns whether fewer than `quota` requests were sent within the window.
    pub fn has_capacity(&mut self, quota: usize, window: Duration, now: Instant) -> bool {
        self.forget(window, now);
        self.times.len() < quota
    }

    /// Forgets requests that were sent before the window.
    pub fn forget(&mut self, window: Duration, now: Instant) {
        let old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.times.front().is_some_and(old) {
            self.times.pop_front();
        }
    }

    /// Returns the time until fewer than `quota` requests were sent within the window;
    /// the whole window if the quota is 0.
    #[must_use]
    pub fn wait(&self, quota: usize, window: Duration, now: Instant) -> Duration {
        if quota == 0 {
            return window;
        }
        let Some(newest) = self.times.len().checked_sub(quota) else {
            return Duration::ZERO;
        };
        (self.times[newest] + window).saturating_duration_since(now)
    }

    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.times.push_back(now);
    }
}
