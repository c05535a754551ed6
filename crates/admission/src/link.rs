//! One entry VM's byte budget for a link between regions, in one direction.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::Link;

use crate::bucket::Bucket;

/// Settings of a [`LinkBudget`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Share of the link's rate that all entry VMs together may use.
    pub use_share: f64,
    /// Share of that rate that bulk traffic may use.
    pub bulk_share: f64,
    /// Burst, in seconds at the full rate.
    pub burst_s: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            use_share: 0.9,
            bulk_share: 0.7,
            burst_s: 0.02,
        }
    }
}

/// Class of traffic on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// Responses that a client waits for, so that latency matters.
    Interactive,
    /// Downloads and other large transfers, which are paced.
    Bulk,
}

/// One entry VM's part of a link's rate, in one direction.
#[derive(Debug)]
pub struct LinkBudget {
    settings: LinkSettings,
    total_bytes_per_s: f64,
    total: Bucket,
    bulk: Bucket,
}

impl LinkBudget {
    /// Creates a budget of an equal part of the link for each of `vm_count` entry VMs.
    #[must_use]
    pub fn new(now: Instant, settings: LinkSettings, link: &Link, vm_count: u32) -> Self {
        let total_bytes_per_s = to_f64(link.rate_bytes_per_s()) * settings.use_share;
        let empty = Bucket::new(now, 0.0, 0.0);
        let mut budget = Self {
            settings,
            total_bytes_per_s,
            total: empty.clone(),
            bulk: empty,
        };
        budget.set_vm_count(now, vm_count);
        budget
    }

    /// Changes the number of entry VMs that share the link.
    pub fn set_vm_count(&mut self, now: Instant, vm_count: u32) {
        let rate_per_s = self.total_bytes_per_s / f64::from(vm_count.max(1));
        let bulk_per_s = rate_per_s * self.settings.bulk_share;
        let burst_s = self.settings.burst_s;
        self.total.resize(now, rate_per_s, rate_per_s * burst_s);
        self.bulk.resize(now, bulk_per_s, bulk_per_s * burst_s);
    }

    /// Takes `bytes` from the budget, to be sent now.
    ///
    /// More bytes than the burst are allowed when the budget is full; the excess
    /// delays later calls.
    ///
    /// # Errors
    /// The time to wait before the next try.
    pub fn take(&mut self, now: Instant, traffic: Traffic, bytes: u64) -> Result<(), Duration> {
        let wanted = to_f64(bytes);
        let mut wait_s = self.total.wait_s(now, wanted);
        if traffic == Traffic::Bulk {
            wait_s = wait_s.max(self.bulk.wait_s(now, wanted));
        }
        if wait_s > 0.0 {
            return Err(Duration::from_secs_f64(wait_s));
        }
        self.total.spend(wanted);
        if traffic == Traffic::Bulk {
            self.bulk.spend(wanted);
        }
        Ok(())
    }
}

// Byte counts are far below 2^53, from where on `f64` is not exact.
#[expect(clippy::cast_precision_loss)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
