//! A latency that fades with time.

use std::time::Duration;

use tokio::time::Instant;

/// Mean of recent latencies in which a sample's weight fades with its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean_s: f64,
    sampled_at: Option<Instant>,
}

/// Least weight of a new sample.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;

impl Latency {
    /// Takes in one sample.
    pub fn record(&mut self, now: Instant, sample: Duration, decay: Duration) {
        let sample_s = sample.as_secs_f64();
        let keep = self.kept(now, decay).min(1.0 - SAMPLE_WEIGHT_MIN);
        self.mean_s = self.mean_s * keep + sample_s * (1.0 - keep);
        self.sampled_at = Some(now);
    }

    /// The mean in seconds, or `None` before the first sample.
    #[must_use]
    pub fn mean_s(&self) -> Option<f64> {
        self.sampled_at.map(|_| self.mean_s)
    }

    /// The mean in seconds, drawn towards `typical_s` as its samples age.
    #[must_use]
    pub fn faded_s(&self, now: Instant, decay: Duration, typical_s: f64) -> f64 {
        if self.sampled_at.is_none() {
            return typical_s;
        }
        let keep = self.kept(now, decay);
        self.mean_s * keep + typical_s * (1.0 - keep)
    }

    fn kept(&self, now: Instant, decay: Duration) -> f64 {
        let Some(at) = self.sampled_at else {
            return 0.0;
        };
        let age_s = now.saturating_duration_since(at).as_secs_f64();
        (-age_s / decay.as_secs_f64()).exp()
    }
}
