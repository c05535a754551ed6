//! Token budgets that limit retries and hedges to a share of the first attempts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Extra attempts that each first attempt adds to the budget.
    pub share: f64,
    /// Most extra attempts that the budget can hold.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            share: 0.05,
            burst: 10.0,
        }
    }
}

/// Token bucket: first attempts add a share of a token, an extra attempt costs one.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    tokens: f64,
}

impl Budget {
    /// Creates a budget that holds its full burst.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            tokens: settings.burst,
        }
    }

    /// Changes the settings and keeps the saved tokens, up to the new burst.
    ///
    /// A budget whose burst was 0 starts with the full new burst.
    pub fn set(&mut self, settings: BudgetSettings) {
        if settings == self.settings {
            return;
        }
        let was_disabled = self.settings.burst <= 0.0;
        self.tokens = if was_disabled {
            settings.burst
        } else {
            self.tokens.min(settings.burst)
        };
        self.settings = settings;
    }

    /// Adds the share of one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.settings.share).min(self.settings.burst);
    }

    /// Takes the token for one extra attempt; returns `false` if there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// State of a failed request that decides whether a retry is allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    /// Whether a second run is safe: the work is idempotent, or has not run.
    pub may_run_again: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected duration of an attempt.
    pub expected: Duration,
}

impl Retry {
    /// Whether a retry is allowed now, leaving the budget aside.
    #[must_use]
    pub fn is_permitted(&self, now: Instant) -> bool {
        self.may_run_again && self.attempts < ATTEMPTS_MAX && now + self.expected < self.deadline
    }
}

/// Most attempts of one piece of work, the first one included.
pub const ATTEMPTS_MAX: u32 = 3;

/// Decides on retries and limits them by a [`Budget`].
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budget: Budget,
}

impl RetryBudget {
    /// Creates a retry budget that holds its full burst.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            budget: Budget::new(settings),
        }
    }

    /// Adds the share of one first attempt.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Whether a retry is allowed now; if so, spends one token.
    pub fn allow(&mut self, now: Instant, retry: &Retry) -> bool {
        retry.is_permitted(now) && self.budget.spend()
    }
}
