//! Sliding-window maximum.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum of a value over a sliding window.
///
/// A value counts until `span` after it was replaced: for that time clients may
/// still use answers that depend on it.
#[derive(Clone, Debug)]
pub struct SlidingMax {
    span: Duration,
    current: f64,
    replaced: VecDeque<(Instant, f64)>,
}

impl SlidingMax {
    /// Creates a window of length `span` with the current value 0.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            current: 0.0,
            replaced: VecDeque::new(),
        }
    }

    /// Replaces the current value.
    pub fn set(&mut self, now: Instant, value: f64) {
        self.expire(now);
        let old = std::mem::replace(&mut self.current, value);
        while self.replaced.back().is_some_and(|(_, v)| *v <= old) {
            self.replaced.pop_back();
        }
        self.replaced.push_back((now + self.span, old));
    }

    /// Returns the current value.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.current
    }

    /// Returns the highest value that was current within the span up to `now`.
    pub fn highest(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.replaced
            .front()
            .map_or(0.0, |(_, v)| *v)
            .max(self.current)
    }

    fn expire(&mut self, now: Instant) {
        while self
            .replaced
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.replaced.pop_front();
        }
    }
}
