//! Token bucket rate limiter.

use tokio::time::Instant;

/// Token bucket: refills at a constant rate up to its size.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    size: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now: Instant, rate_per_s: f64, size: f64) -> Self {
        Self {
            rate_per_s,
            size,
            tokens: size,
            refilled_at: now,
        }
    }

    /// Changes the rate and the size. Tokens above the new size are dropped.
    pub fn resize(&mut self, now: Instant, rate_per_s: f64, size: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.size = size;
        self.tokens = self.tokens.min(size);
    }

    /// Takes `wanted` tokens if the bucket holds them. Returns whether it did.
    pub fn take(&mut self, now: Instant, wanted: f64) -> bool {
        self.refill(now);
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes tokens, to be called when [`Bucket::wait_s`] returned 0. The balance
    /// may become negative, and [`Bucket::wait_s`] returns the time until it is not.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Returns the seconds until `wanted` tokens may be taken, or 0 if they may be
    /// taken now. For more tokens than the bucket's size it is the time until the
    /// bucket is full.
    #[must_use]
    pub fn wait_s(&mut self, now: Instant, wanted: f64) -> f64 {
        self.refill(now);
        let missing = (wanted.min(self.size) - self.tokens).max(0.0);
        missing / self.rate_per_s.max(f64::MIN_POSITIVE)
    }

    fn refill(&mut self, now: Instant) {
        let age_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + age_s * self.rate_per_s).min(self.size);
        self.refilled_at = self.refilled_at.max(now);
    }
}
