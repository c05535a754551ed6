//! Times in which orders may have waited unread: this process was suspended, or cut off
//! from most other control VMs and so perhaps from operators.
//!
//! A caller that gets no answer within a second goes on to another control VM. An order
//! that is read later may be older than what that one has carried out, and what was
//! acknowledged after it.

use std::time::Duration;

/// Time between two looks at the clock.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a look at the clock from which on this process was suspended or starved.
/// Shorter ones leave a caller that waits for a second no time to go on.
const GAP_MAX: Duration = Duration::from_millis(500);

/// Least time after an interruption in which orders from before it may still be read: the
/// accept queue and the buffers of connections are emptied by then.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Longest time after an interruption in which orders count as old.
const SUSPECT_MAX: Duration = Duration::from_secs(6);

/// Interruptions of this process, by a clock that counts suspensions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Interruptions {
    observed_at: Duration,
    /// Start of an interruption that has not ended.
    since: Option<Duration>,
    /// Until when orders may have come before the end of the last interruption.
    suspect_until: Duration,
}

impl Interruptions {
    /// Starts at `now`, without contact to other control VMs yet.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            observed_at: now,
            since: Some(now),
            suspect_until: now,
        }
    }

    /// Records a look at the clock; `in_contact` tells whether most other control VMs
    /// answer. Returns whether an order that was just read may have waited.
    pub fn observe(&mut self, now: Duration, in_contact: bool) -> bool {
        let gap = now.saturating_sub(self.observed_at);
        if gap > GAP_MAX || !in_contact {
            let since = self.since.unwrap_or(self.observed_at);
            self.since = Some(since);
        }
        self.observed_at = now;
        if in_contact && let Some(since) = self.since.take() {
            // Until then the transport sends again what was lost: it doubles its pauses, so
            // that the next one is no longer than the time since the first attempt.
            let length = now.saturating_sub(since);
            let suspect_for = (length + DRAIN_TIME).min(SUSPECT_MAX);
            self.suspect_until = self.suspect_until.max(now + suspect_for);
        }
        self.since.is_some() || now < self.suspect_until
    }
}
