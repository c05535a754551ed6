//! Hedging: a parallel attempt on another server when the first one is slow.

use std::collections::HashMap;
use std::sync::LazyLock;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use world::unit::ms;
use world::{Class, ServiceName};

use crate::budget::{Budget, BudgetSettings};
use crate::work::Work;

/// Settings of [`Hedge`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// Whether hedges are sent at all.
    pub enabled: bool,
    /// Quantile of the response times that is used as the delay before a hedge is
    /// sent.
    pub quantile: f64,
    /// Longest delay, as a multiple of the median response time.
    pub median_factor: f64,
    /// Shortest delay, milliseconds.
    pub delay_min_ms: u64,
    /// Responses that must be recorded before the first hedge.
    pub samples_min: u32,
    /// Limit on hedges, as a share of the work.
    pub budget: BudgetSettings,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            quantile: 0.95,
            median_factor: 4.0,
            delay_min_ms: 1,
            samples_min: 50,
            budget: BudgetSettings::default(),
        }
    }
}

/// Decides when to send a hedge, from recent response times by service.
#[derive(Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    budget: Budget,
    response_times: HashMap<ServiceName, ResponseTimeHistogram>,
}

impl Hedge {
    /// Creates a hedge policy without recorded response times.
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            budget: Budget::new(settings.budget),
            response_times: HashMap::new(),
        }
    }

    /// Records the response time of a first attempt; when a hedge won, the time
    /// until the first attempt was cancelled.
    pub fn record(&mut self, service: &ServiceName, response_time: Duration) {
        if let Some(histogram) = self.response_times.get_mut(service) {
            histogram.record(response_time);
        } else {
            let mut histogram = ResponseTimeHistogram::default();
            histogram.record(response_time);
            self.response_times.insert(service.clone(), histogram);
        }
    }

    /// Delay from the dispatch of this work to its hedge; `None` for no hedge.
    ///
    /// Also adds the work's share to the budget, so call it once for each piece of work.
    pub fn delay(&mut self, service: &ServiceName, work: &Work) -> Option<Duration> {
        if !self.settings.enabled || !work.idempotent || work.alone || work.class == Class::Long {
            return None;
        }
        self.budget.earn();
        let histogram = self.response_times.get(service)?;
        if histogram.total < self.settings.samples_min {
            return None;
        }
        let late = histogram.quantile(self.settings.quantile);
        let median = histogram.quantile(0.5);
        let bound = median.mul_f64(self.settings.median_factor);
        Some(late.min(bound).max(ms(self.settings.delay_min_ms)))
    }

    /// Whether the budget allows a hedge now; if so, spends one token.
    pub fn spend(&mut self) -> bool {
        self.budget.spend()
    }
}

/// Histogram buckets for each doubling of the response time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Histogram buckets; the first one ends at one microsecond.
const BUCKETS: usize = 128;

/// Samples at which all counts are halved, so that older samples lose weight.
const SAMPLES_MAX: u32 = 2_000;

/// Histogram of recent response times in buckets that grow by a constant factor.
#[derive(Clone, Debug)]
struct ResponseTimeHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for ResponseTimeHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl ResponseTimeHistogram {
    fn record(&mut self, sample: Duration) {
        let at = BUCKET_ENDS.partition_point(|end| *end < sample);
        let at = at.min(BUCKETS - 1);
        self.counts[at] += 1;
        self.total += 1;
        if self.total >= SAMPLES_MAX {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Upper bound of the bucket that holds the quantile `share`.
    fn quantile(&self, share: f64) -> Duration {
        let rank = f64::from(self.total) * share;
        let mut seen = 0;
        for (at, count) in self.counts.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= rank {
                return BUCKET_ENDS[at];
            }
        }
        BUCKET_ENDS[BUCKETS - 1]
    }
}

/// Upper bound of each bucket.
static BUCKET_ENDS: LazyLock<Vec<Duration>> = LazyLock::new(|| {
    let doublings = (0_u32..).map(|at| f64::from(at) / BUCKETS_PER_DOUBLING);
    let ends = doublings.map(|d| Duration::from_micros(1).mul_f64(d.exp2()));
    ends.take(BUCKETS).collect()
});
