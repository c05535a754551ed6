//! Settings of the table of backend servers.

use serde::{Deserialize, Serialize};

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Time for which an announcement grants a lease, milliseconds.
    pub lease_ms: u64,
    /// Time after the end of its lease for which a server stays in the table, milliseconds.
    pub forget_ms: u64,
    /// Time over which the slots of a cold server open gradually, milliseconds.
    pub warmup_ms: u64,
    /// Time constant of the decay of an observed latency, milliseconds.
    pub latency_decay_ms: u64,
    /// Age at which a load report counts half, milliseconds.
    pub report_half_life_ms: u64,
    /// Shortest time after which short work counts as long, milliseconds.
    pub straggler_min_ms: u64,
    /// Time after which short work counts as long, as a multiple of the mean latency of
    /// the service's short work; not less than `straggler_min_ms`.
    pub straggler_factor: f64,
    /// Share of a server's slots that long work may use while short work arrives.
    pub long_share: f64,
    /// Time after the last short work for which slots stay reserved for it, milliseconds.
    pub short_memory_ms: u64,
    /// Consecutive failures after which a server is ejected.
    pub eject_failures: u32,
    /// Share of a service's servers that may be ejected at once.
    pub eject_share: f64,
    /// Time from the first ejection to its probe, milliseconds; doubles with each failed probe.
    pub eject_ms: u64,
    /// Longest time from an ejection to its probe, milliseconds.
    pub eject_max_ms: u64,
    /// Longest `retry_after_ms` that is accepted from a server that sheds work, milliseconds.
    pub shed_max_ms: u64,
    /// Time for which a server is reserved for work that runs alone, milliseconds.
    pub reserve_ms: u64,
    /// Longest time from a lost connection to the crash that it is attributed to, milliseconds.
    pub crash_window_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            forget_ms: 600_000,
            warmup_ms: 5_000,
            latency_decay_ms: 1_000,
            report_half_life_ms: 1_000,
            straggler_min_ms: 250,
            straggler_factor: 8.0,
            long_share: 0.5,
            short_memory_ms: 10_000,
            eject_failures: 5,
            eject_share: 0.34,
            eject_ms: 1_000,
            eject_max_ms: 30_000,
            shed_max_ms: 2_000,
            reserve_ms: 1_000,
            crash_window_ms: 5_000,
        }
    }
}
