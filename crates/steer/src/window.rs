//! The highest value of a figure within a span of time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Keeps what is needed to tell the highest value of the last span.
///
/// A value counts until it has been replaced for the whole span: that is how
/// long clients may go on using an answer that was given under it.
#[derive(Clone, Debug)]
pub struct Peak {
    span: Duration,
    current: f64,
    past: VecDeque<(Instant, f64)>,
}

impl Peak {
    /// A window over `span`, with value 0 so far.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            current: 0.0,
            past: VecDeque::new(),
        }
    }

    /// Puts `value` in place of the current one.
    pub fn set(&mut self, now: Instant, value: f64) {
        self.expire(now);
        let old = std::mem::replace(&mut self.current, value);
        while self.past.back().is_some_and(|(_, v)| *v <= old) {
            self.past.pop_back();
        }
        self.past.push_back((now + self.span, old));
    }

    /// The value set last.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.current
    }

    /// The highest value in force within the span up to `now`.
    pub fn highest(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.past.front().map_or(0.0, |(_, v)| *v).max(self.current)
    }

    fn expire(&mut self, now: Instant) {
        while self.past.front().is_some_and(|(until, _)| *until <= now) {
            self.past.pop_front();
        }
    }
}
