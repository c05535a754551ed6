//! Links between regions and their limits.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::RegionName;

/// A one-way link between two regions, shared by all traffic.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region at the sending end.
    pub from: RegionName,
    /// Region at the receiving end.
    pub to: RegionName,
    /// Limit for all traffic together, bits per second.
    pub rate_bits_per_s: u64,
    /// One-way latency in microseconds.
    pub latency_us: u64,
}

impl Link {
    /// Limit in bytes per second.
    #[must_use]
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bits_per_s / u64::from(u8::BITS)
    }
}
