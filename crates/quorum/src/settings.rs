//! Settings of one replica.

use std::time::Duration;

use world::MachineName;
use world::unit::ms;

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of a leader, milliseconds.
    pub heartbeat_ms: u64,
    /// Least election timeout, milliseconds; a drawn one is up to twice as long.
    pub election_ms: u64,
    /// How long a proposal or a read may wait for its outcome, milliseconds.
    pub proposal_ms: u64,
    /// How long a voter must be silent before a new disk takes its name, milliseconds.
    pub replace_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 250,
            election_ms: 1_000,
            proposal_ms: 3_000,
            replace_ms: 3_000,
        }
    }
}

impl Timing {
    pub(crate) fn heartbeat(&self) -> Duration {
        ms(self.heartbeat_ms)
    }

    /// Least election timeout.
    #[must_use]
    pub fn election_min(&self) -> Duration {
        self.election()
    }

    pub(crate) fn election(&self) -> Duration {
        ms(self.election_ms)
    }

    pub(crate) fn proposal(&self) -> Duration {
        ms(self.proposal_ms)
    }

    pub(crate) fn replace(&self) -> Duration {
        ms(self.replace_ms)
    }
}

/// Who a replica is and how it behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this machine.
    pub me: MachineName,
    /// Machines that make up the group, the founder first.
    pub names: Vec<MachineName>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Applied entries after which the log is compacted.
    pub compact_entries: u64,
    /// Entries before a snapshot that are kept for replicas that lag a little.
    pub keep_entries: u64,
    /// Seed of the drawn election timeouts.
    pub seed: u64,
    /// Whether this machine may take part in founding the group.
    pub founds: bool,
    /// How members that the settings do not name come and go; `None`: never.
    pub open: Option<OpenMembership>,
}

/// A group whose machines are not all known from the start: any machine on a
/// new disk is admitted, and a voter that stays silent loses its vote.
#[derive(Clone, Copy, Debug)]
pub struct OpenMembership {
    /// Silence after which a voter is removed, milliseconds. It comes back as
    /// a learner when it is heard of again.
    pub retire_ms: u64,
}

/// Applied entries after which a log is compacted, unless set otherwise.
pub const COMPACT_ENTRIES: u64 = 4_096;

/// Entries kept before a snapshot, unless set otherwise.
pub const KEEP_ENTRIES: u64 = 512;

impl Settings {
    /// Settings of machine `me` in the group of `names`, with the usual timing.
    #[must_use]
    pub fn new(me: MachineName, names: Vec<MachineName>, seed: u64) -> Self {
        Self {
            me,
            names,
            timing: Timing::default(),
            compact_entries: COMPACT_ENTRIES,
            keep_entries: KEEP_ENTRIES,
            seed,
            founds: true,
            open: None,
        }
    }

    /// The same with members that come and go; only a machine that `founds`
    /// takes part in founding the group.
    #[must_use]
    pub fn with_open_membership(mut self, open: OpenMembership, founds: bool) -> Self {
        self.open = Some(open);
        self.founds = founds;
        self
    }

    /// The same with other intervals and timeouts.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// The same with a log compacted after `compact_entries`, of which `keep_entries` stay.
    #[must_use]
    pub fn with_compaction(mut self, compact_entries: u64, keep_entries: u64) -> Self {
        self.compact_entries = compact_entries;
        self.keep_entries = keep_entries;
        self
    }

    /// Whether this machine gathers the first members.
    pub(crate) fn is_founder(&self) -> bool {
        self.founds && self.names.first() == Some(&self.me)
    }
}
