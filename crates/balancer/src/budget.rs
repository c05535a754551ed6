//! Budgets that bound extra attempts to a share of the work.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Extra attempts earned by one first attempt.
    pub share: f64,
    /// Extra attempts that may be saved up.
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

/// Extra attempts that first attempts have earned.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    saved: f64,
}

impl Budget {
    /// A budget that starts with its burst saved.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            saved: settings.burst,
        }
    }

    /// Takes other settings; what was saved stays, up to the new burst.
    pub fn set(&mut self, settings: BudgetSettings) {
        if settings == self.settings {
            return;
        }
        let fresh = self.settings.burst <= 0.0;
        self.saved = if fresh {
            settings.burst
        } else {
            self.saved.min(settings.burst)
        };
        self.settings = settings;
    }

    /// Earns a share for one first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.settings.share).min(self.settings.burst);
    }

    /// Pays for one extra attempt, if there is enough.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What a failed attempt leaves for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    /// Whether the work may run again: it is idempotent, or has not run.
    pub may_run_again: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Time that an attempt is expected to take.
    pub expected: Duration,
}

impl Retry {
    /// Whether another attempt may be made now, apart from the budget.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.may_run_again && self.attempts < ATTEMPTS_MAX && now + self.expected < self.deadline
    }
}

/// Attempts of one piece of work at most.
pub const ATTEMPTS_MAX: u32 = 3;

/// Budget for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budget: Budget,
}

impl RetryBudget {
    /// A budget for retries.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            budget: Budget::new(settings),
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Whether another attempt may be made now; pays for it.
    pub fn allow(&mut self, now: Instant, retry: &Retry) -> bool {
        retry.is_open(now) && self.budget.spend()
    }
}
