//! Bounds of the ledger, which are part of its replicated state.

use serde::{Deserialize, Serialize};

const HOUR_MS: u64 = 60 * 60 * 1_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Largest response that is stored, headers and body, bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// Bounds of one ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Time for which a response is kept after the operation's outcome was recorded,
    /// milliseconds of ledger time.
    pub retention_ms: u64,
    /// Time for which a key is refused after its operation was dropped, milliseconds of
    /// ledger time.
    pub spent_keep_ms: u64,
    /// Most operations and spent keys (keys whose operation was dropped) together.
    pub spent_max: usize,
    /// Most operations that are kept.
    pub operations_max: usize,
    /// Largest response that is stored, bytes.
    pub answer_max_bytes: usize,
    /// Largest size of all stored responses together, bytes.
    pub answers_max_bytes: usize,
    /// Most attempts that are recorded as abandoned.
    pub abandoned_max: usize,
    /// Age above which a `Begin` is refused as stale, milliseconds of ledger time.
    pub begin_stale_ms: u64,
    /// Longest time for which an operation counts as running, milliseconds of ledger time.
    pub run_max_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention_ms: 24 * HOUR_MS,
            spent_keep_ms: 30 * DAY_MS,
            spent_max: 500_000,
            operations_max: 40_000,
            answer_max_bytes: ANSWER_MAX_BYTES,
            answers_max_bytes: 16 * 1024 * 1024,
            abandoned_max: 20_000,
            begin_stale_ms: 10_000,
            run_max_ms: HOUR_MS,
        }
    }
}

impl Limits {
    /// Sets how long responses are kept, milliseconds of ledger time.
    #[must_use]
    pub fn with_retention_ms(mut self, value_ms: u64) -> Self {
        self.retention_ms = value_ms;
        self
    }

    /// Sets how long spent keys are refused, milliseconds of ledger time.
    #[must_use]
    pub fn with_spent_keep_ms(mut self, value_ms: u64) -> Self {
        self.spent_keep_ms = value_ms;
        self
    }

    /// Sets the largest number of operations.
    #[must_use]
    pub fn with_operations_max(mut self, value: usize) -> Self {
        self.operations_max = value;
        self
    }

    /// Sets the largest number of operations and spent keys together.
    #[must_use]
    pub fn with_spent_max(mut self, value: usize) -> Self {
        self.spent_max = value;
        self
    }
}
