//! Settings of the table of backend servers.

use serde::{Deserialize, Serialize};

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Time that an announcement is good for, milliseconds.
    pub lease_ms: u64,
    /// Time after its lease for which a server's incarnation is remembered, milliseconds.
    pub forget_ms: u64,
    /// Time over which a cold server's slots open, milliseconds.
    pub warmup_ms: u64,
    /// Time over which an observed latency fades, milliseconds.
    pub latency_decay_ms: u64,
    /// Age at which a load report counts half, milliseconds.
    pub report_half_life_ms: u64,
    /// Short work older than this counts as long at the earliest, milliseconds.
    pub straggler_min_ms: u64,
    /// Short work older than this many typical latencies counts as long.
    pub straggler_factor: f64,
    /// Share of a server's slots that long work may hold beside short work.
    pub long_share: f64,
    /// Time for which a service that saw short work keeps slots for it, milliseconds.
    pub short_memory_ms: u64,
    /// Failures in a row that eject a server.
    pub eject_failures: u32,
    /// Share of a service's servers that may be ejected at once.
    pub eject_share: f64,
    /// First time of ejection before a probe, milliseconds; doubles each time.
    pub eject_ms: u64,
    /// Longest time of ejection before a probe, milliseconds.
    pub eject_max_ms: u64,
    /// Longest time for which a shedding server's word is taken, milliseconds.
    pub shed_max_ms: u64,
    /// Time for which a server is kept free for work that runs alone, milliseconds.
    pub reserve_ms: u64,
    /// Time between a broken connection and the sign of a crash that it belongs to, milliseconds.
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
