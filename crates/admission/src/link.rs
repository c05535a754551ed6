//! Budget of bytes for a link between regions, one way, at one entry VM.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::Link;

use crate::bucket::Bucket;

/// Settings of a [`LinkBudget`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Share of the link's rate that all VMs together may use.
    pub use_share: f64,
    /// Share of that which bulk may use.
    pub bulk_share: f64,
    /// Seconds of the rate that may be sent at once.
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

/// What bytes are sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// Someone waits for each byte.
    Interactive,
    /// Downloads and the like, which are paced.
    Bulk,
}

/// One VM's part of a link's rate, in one direction.
#[derive(Debug)]
pub struct LinkBudget {
    settings: LinkSettings,
    whole_bytes_per_s: f64,
    all: Bucket,
    bulk: Bucket,
}

impl LinkBudget {
    /// An equal part of the link for each of `vm_count` VMs that share it.
    #[must_use]
    pub fn new(now: Instant, settings: LinkSettings, link: &Link, vm_count: u32) -> Self {
        let whole_bytes_per_s = to_f64(link.rate_bytes_per_s()) * settings.use_share;
        let empty = Bucket::new(now, 0.0, 0.0);
        let mut budget = Self {
            settings,
            whole_bytes_per_s,
            all: empty.clone(),
            bulk: empty,
        };
        budget.set_vm_count(now, vm_count);
        budget
    }

    /// Divides the link among another number of VMs.
    pub fn set_vm_count(&mut self, now: Instant, vm_count: u32) {
        let rate_per_s = self.whole_bytes_per_s / f64::from(vm_count.max(1));
        let bulk_per_s = rate_per_s * self.settings.bulk_share;
        let burst_s = self.settings.burst_s;
        self.all.resize(now, rate_per_s, rate_per_s * burst_s);
        self.bulk.resize(now, bulk_per_s, bulk_per_s * burst_s);
    }

    /// Takes `bytes` for sending now, or says how long to wait before asking again.
    ///
    /// A piece larger than the burst waits for the whole burst and is paid off
    /// by those after it.
    ///
    /// # Errors
    /// The time to wait.
    pub fn take(&mut self, now: Instant, traffic: Traffic, bytes: u64) -> Result<(), Duration> {
        let wanted = to_f64(bytes);
        let mut wait_s = self.all.wait_s(now, wanted);
        if traffic == Traffic::Bulk {
            wait_s = wait_s.max(self.bulk.wait_s(now, wanted));
        }
        if wait_s > 0.0 {
            return Err(Duration::from_secs_f64(wait_s));
        }
        self.all.spend(wanted);
        if traffic == Traffic::Bulk {
            self.bulk.spend(wanted);
        }
        Ok(())
    }
}

/// Counts of bytes lie far below where `f64` loses whole numbers.
#[expect(clippy::cast_precision_loss)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
