//! Bound on what a cold backend server gets from this entry VM, so that the
//! sum over all entry VMs stays under what the server bears.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Window of the bound: a second, and some room for requests that bunch up on
/// their way.
const WINDOW: Duration = Duration::from_millis(1_150);

/// Requests a window that this entry VM may send to a cold server: its equal
/// part of `total`, where the first `total % entries` entry VMs in the
/// server's own order of them get one more.
#[must_use]
pub fn part(total: f64, entries: usize, rank: usize) -> usize {
    let entries = entries.max(1);
    let mut whole = 0_usize;
    while f64::from(u32::try_from(whole + 1).unwrap_or(u32::MAX)) <= total {
        whole += 1;
    }
    whole / entries + usize::from(rank < whole % entries)
}

/// When requests went to a cold server.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    times: VecDeque<Instant>,
}

impl Sent {
    /// Whether one more fits.
    pub fn fits(&mut self, part: usize, now: Instant) -> bool {
        let old = |at: &Instant| now.saturating_duration_since(*at) > WINDOW;
        while self.times.front().is_some_and(old) {
            self.times.pop_front();
        }
        self.times.len() < part
    }

    /// Counts one.
    pub fn count(&mut self, now: Instant) {
        self.times.push_back(now);
    }
}
