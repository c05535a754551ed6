//! Network links between regions and their bandwidth.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::RegionName;

/// A one-way network link between two regions, shared by all traffic between them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region that sends.
    pub from: RegionName,
    /// Region that receives.
    pub to: RegionName,
    /// Bandwidth in bits per second.
    pub rate_bits_per_s: u64,
    /// One-way network delay in microseconds.
    pub latency_us: u64,
}

impl Link {
    /// Returns the bandwidth in bytes per second.
    #[must_use]
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bits_per_s / u64::from(u8::BITS)
    }
}
