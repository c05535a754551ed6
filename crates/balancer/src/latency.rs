//! Moving average of latencies, weighted by the age of the samples.

use std::time::Duration;

use tokio::time::Instant;

/// Mean of recent latencies in which a sample's weight decays with its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean_s: f64,
    sampled_at: Option<Instant>,
}

/// Smallest weight of a new sample; keeps bursts of samples from being ignored.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;

impl Latency {
    /// Records one sample; `decay` is the time constant of the older samples.
    pub fn record(&mut self, now: Instant, sample: Duration, decay: Duration) {
        let sample_s = sample.as_secs_f64();
        let old_weight = self.decayed_weight(now, decay).min(1.0 - SAMPLE_WEIGHT_MIN);
        self.mean_s = self.mean_s * old_weight + sample_s * (1.0 - old_weight);
        self.sampled_at = Some(now);
    }

    /// Mean latency in seconds, or `None` before the first sample.
    #[must_use]
    pub fn mean_s(&self) -> Option<f64> {
        self.sampled_at.map(|_| self.mean_s)
    }

    /// Mean latency in seconds, which approaches `typical_s` as its samples age.
    #[must_use]
    pub fn decayed_s(&self, now: Instant, decay: Duration, typical_s: f64) -> f64 {
        if self.sampled_at.is_none() {
            return typical_s;
        }
        let weight = self.decayed_weight(now, decay);
        self.mean_s * weight + typical_s * (1.0 - weight)
    }

    /// Weight that is left of the last sample, from 0 to 1.
    fn decayed_weight(&self, now: Instant, decay: Duration) -> f64 {
        let Some(at) = self.sampled_at else {
            return 0.0;
        };
        let age_s = now.saturating_duration_since(at).as_secs_f64();
        (-age_s / decay.as_secs_f64()).exp()
    }
}
