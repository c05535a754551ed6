//! Settings of one replica: its group, timeouts, compaction and membership.

use std::time::Duration;

use world::MachineName;
use world::unit::ms;

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, in milliseconds; each timeout is chosen at random
    /// between this and twice this value.
    pub election_ms: u64,
    /// Timeout of a proposal or a read, in milliseconds.
    pub proposal_ms: u64,
    /// How long a member must be silent before a new disk of its machine may
    /// replace it, in milliseconds. The new disk is proof that the old one is gone,
    /// unless its message was delayed and an even newer disk is at work.
    pub replace_ms: u64,
    /// Interval after which an unacknowledged snapshot is sent again, in milliseconds.
    pub snapshot_retry_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl Timing {
    /// Intervals for links of up to 55 ms one way.
    pub const DEFAULT: Self = Self {
        heartbeat_ms: 250,
        election_ms: 1_000,
        proposal_ms: 3_000,
        replace_ms: 500,
        snapshot_retry_ms: 3_000,
    };

    /// [`Timing::heartbeat_ms`] as a duration.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        ms(self.heartbeat_ms)
    }

    /// Minimum election timeout: [`Timing::election_ms`] as a duration.
    #[must_use]
    pub fn min_election_timeout(&self) -> Duration {
        ms(self.election_ms)
    }

    /// [`Timing::proposal_ms`] as a duration.
    pub(crate) fn proposal_timeout(&self) -> Duration {
        ms(self.proposal_ms)
    }

    /// [`Timing::snapshot_retry_ms`] as a duration.
    pub(crate) fn snapshot_retry_interval(&self) -> Duration {
        ms(self.snapshot_retry_ms)
    }
}

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this machine.
    pub me: MachineName,
    /// Machines of the group; with open membership, its initial machines. The
    /// first is the bootstrap machine, which collects the consents of the others
    /// and creates the group.
    pub names: Vec<MachineName>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Number of entries applied since the last snapshot after which the log is
    /// compacted.
    pub compact_entries: u64,
    /// Number of entries before a snapshot that stay in memory, so that a replica
    /// that lags slightly doesn't need the snapshot.
    pub keep_entries: u64,
    /// Length of the commands applied since the last snapshot after which the log is
    /// compacted, in bytes. Half of that stays in memory before a snapshot.
    pub compact_bytes: usize,
    /// Seed for the random election timeouts.
    pub seed: u64,
    /// Whether this machine may take part in the bootstrap of the group.
    pub may_bootstrap: bool,
    /// Lets machines join that `names` doesn't list, and removes silent voters;
    /// `None`: the members are the machines in `names`.
    pub open_membership: Option<OpenMembership>,
}

/// Membership of a group whose machines are not all known at the start: any
/// machine on a new disk is admitted, and a voter that stays silent is removed.
#[derive(Clone, Copy, Debug)]
pub struct OpenMembership {
    /// How long a voter must be silent before it may be removed, in milliseconds. It
    /// rejoins as a learner when it has contact again.
    pub retire_ms: u64,
    /// Number of machines that may be lost at a time. A silent voter is removed only if
    /// more than twice as many voters remain, or a learner can take its place.
    pub tolerated_losses: usize,
}

impl OpenMembership {
    /// Number of voters of which a majority outlives the tolerated losses.
    pub(crate) fn min_voters(&self) -> usize {
        self.tolerated_losses.saturating_mul(2).saturating_add(1)
    }
}

/// Default of [`Settings::compact_entries`].
pub const COMPACT_ENTRIES: u64 = 4_096;

/// Default of [`Settings::compact_bytes`].
pub const COMPACT_BYTES: usize = 8 << 20;

/// Default of [`Settings::keep_entries`].
pub const KEEP_ENTRIES: u64 = 512;

impl Settings {
    /// Creates settings for machine `me` in the group of `names`, with the default
    /// timing and compaction and a fixed set of members.
    #[must_use]
    pub fn new(me: MachineName, names: Vec<MachineName>, seed: u64) -> Self {
        Self {
            me,
            names,
            timing: Timing::default(),
            compact_entries: COMPACT_ENTRIES,
            keep_entries: KEEP_ENTRIES,
            compact_bytes: COMPACT_BYTES,
            seed,
            may_bootstrap: true,
            open_membership: None,
        }
    }

    /// Enables open membership. Only a machine with `may_bootstrap` takes part in
    /// the bootstrap of the group.
    #[must_use]
    pub fn with_open_membership(
        mut self,
        open_membership: OpenMembership,
        may_bootstrap: bool,
    ) -> Self {
        self.open_membership = Some(open_membership);
        self.may_bootstrap = may_bootstrap;
        self
    }

    /// Replaces the intervals and timeouts.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Replaces the compaction settings: see [`Settings::compact_entries`] and
    /// [`Settings::keep_entries`].
    #[must_use]
    pub fn with_compaction(mut self, compact_entries: u64, keep_entries: u64) -> Self {
        self.compact_entries = compact_entries;
        self.keep_entries = keep_entries;
        self
    }

    /// Whether this machine collects the consents for the bootstrap and creates
    /// the group.
    pub(crate) fn is_bootstrap_machine(&self) -> bool {
        self.may_bootstrap && self.names.first() == Some(&self.me)
    }
}
