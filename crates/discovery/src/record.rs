//! Records of the registry: rows with where and when they were announced.

use std::time::Duration;

use tokio::time::Instant;
use world::MachineName;
use world::unit::{as_ms, ms};

use crate::row::{Row, ServerRow, Update};

/// Difference between two announced ends of a server's cold time that doesn't matter to
/// entry VMs: network delay and the timers of the server.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(500);

/// Where a control VM has a row from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The machine or server announced itself to this control VM.
    Here,
    /// Another control VM sent it.
    ControlVm(MachineName),
    /// It was stored before a restart of this control VM.
    Cache,
}

/// A row with its state in the registry.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub row: Row,
    pub origin: Origin,
    pub announced_at: Instant,
    pub lost: bool,
    /// Value of the registry's logical clock at the last announcement.
    pub announced_clock: u64,
    /// Value of the registry's logical clock at the last change that matters to entry
    /// VMs.
    pub changed: u64,
}

impl Record {
    /// Returns whether a newer row, announced at `at`, is a change that matters to entry
    /// VMs. While a server warms up, each of its announcements tells the end of that anew.
    pub fn matters(&self, row: &Row, at: Instant) -> bool {
        if self.lost || row.is_relevant_change_from(&self.row) {
            return true;
        }
        let (Row::Server(new), Row::Server(old)) = (row, &self.row) else {
            return false;
        };
        let end = |row: &ServerRow, announced_at: Instant| announced_at + ms(row.cold_ms);
        let (new_end, old_end) = (end(new, at).max(at), end(old, self.announced_at).max(at));
        let shift = new_end.max(old_end) - new_end.min(old_end);
        shift > COLD_END_TOLERANCE
    }

    pub fn to_update(&self, now: Instant) -> Update {
        Update {
            row: self.row.clone(),
            age_ms: as_ms(now.saturating_duration_since(self.announced_at)),
            lost: self.lost,
        }
    }
}
