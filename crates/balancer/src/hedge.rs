//! Hedging: a second attempt elsewhere when the first is late.

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
    /// Whether there are hedges at all.
    pub enabled: bool,
    /// Share of answers that come before the delay.
    pub quantile: f64,
    /// Longest delay, as a multiple of the median answer.
    pub median_factor: f64,
    /// Shortest delay, milliseconds.
    pub delay_min_ms: u64,
    /// Answers seen before the first hedge.
    pub samples_min: u32,
    /// Budget, as a share of the work.
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

/// Decides when a second attempt is due.
#[derive(Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    budget: Budget,
    answers: HashMap<ServiceName, Quantiles>,
}

impl Hedge {
    /// Knows no latency yet.
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            budget: Budget::new(settings.budget),
            answers: HashMap::new(),
        }
    }

    /// Takes in the time to the answer of a first attempt; when a hedge won,
    /// the time at which the first attempt was given up.
    pub fn record(&mut self, service: &ServiceName, answer: Duration) {
        if let Some(answers) = self.answers.get_mut(service) {
            answers.record(answer);
        } else {
            let mut answers = Quantiles::default();
            answers.record(answer);
            self.answers.insert(service.clone(), answers);
        }
    }

    /// When to hedge this work, counted from its dispatch; `None`: never.
    ///
    /// Earns the budget for it, so it is asked once for each piece of work.
    pub fn delay(&mut self, service: &ServiceName, work: &Work) -> Option<Duration> {
        if !self.settings.enabled || !work.idempotent || work.alone || work.class == Class::Long {
            return None;
        }
        self.budget.earn();
        let answers = self.answers.get(service)?;
        if answers.total < self.settings.samples_min {
            return None;
        }
        let late = answers.quantile(self.settings.quantile);
        let median = answers.quantile(0.5);
        let bound = median.mul_f64(self.settings.median_factor);
        Some(late.min(bound).max(ms(self.settings.delay_min_ms)))
    }

    /// Whether a hedge that is due may go out now; pays for it.
    pub fn spend(&mut self) -> bool {
        self.budget.spend()
    }
}

/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Buckets from a microsecond up.
const BUCKETS: usize = 128;

/// Samples after which the older ones count half.
const SAMPLES_MAX: u32 = 2_000;

/// Counts of recent latencies in buckets that grow by a constant factor.
#[derive(Clone, Debug)]
struct Quantiles {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Quantiles {
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

    fn quantile(&self, share: f64) -> Duration {
        let wanted = f64::from(self.total) * share;
        let mut below = 0;
        for (at, count) in self.counts.iter().enumerate() {
            below += count;
            if f64::from(below) >= wanted {
                return BUCKET_ENDS[at];
            }
        }
        BUCKET_ENDS[BUCKETS - 1]
    }
}

/// Longest latency of each bucket.
static BUCKET_ENDS: LazyLock<Vec<Duration>> = LazyLock::new(|| {
    let doublings = (0_u32..).map(|at| f64::from(at) / BUCKETS_PER_DOUBLING);
    let ends = doublings.map(|d| Duration::from_micros(1).mul_f64(d.exp2()));
    ends.take(BUCKETS).collect()
});
