//! Token bucket on the runtime's clock.

use tokio::time::Instant;

/// Tokens that refill at a rate up to a bound.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    size: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// A full bucket.
    #[must_use]
    pub fn new(now: Instant, rate_per_s: f64, size: f64) -> Self {
        Self {
            rate_per_s,
            size,
            tokens: size,
            filled_at: now,
        }
    }

    /// Changes the rate and the bound; tokens above the bound are lost.
    pub fn resize(&mut self, now: Instant, rate_per_s: f64, size: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.size = size;
        self.tokens = self.tokens.min(size);
    }

    /// Takes `wanted` tokens, or none.
    pub fn take(&mut self, now: Instant, wanted: f64) -> bool {
        self.fill(now);
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes tokens after [`Bucket::wait_s`] was 0; more than the bucket holds
    /// are taken as a debt that the next ones wait for.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Seconds until `wanted` tokens may be taken, 0 when they may be now.
    #[must_use]
    pub fn wait_s(&mut self, now: Instant, wanted: f64) -> f64 {
        self.fill(now);
        let missing = (wanted.min(self.size) - self.tokens).max(0.0);
        missing / self.rate_per_s.max(f64::MIN_POSITIVE)
    }

    fn fill(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + age_s * self.rate_per_s).min(self.size);
        self.filled_at = self.filled_at.max(now);
    }
}
