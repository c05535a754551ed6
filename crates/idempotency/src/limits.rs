//! Bounds of the ledger. They are part of its replicated state.

use serde::{Deserialize, Serialize};

const HOUR_MS: u64 = 60 * 60 * 1_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Largest answer that is kept, headers and body, bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// Bounds of one ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Time for which an answer is kept after the operation was settled, milliseconds.
    pub retention_ms: u64,
    /// Time for which a key is refused after its answer was dropped, milliseconds.
    pub spent_keep_ms: u64,
    /// Keys that are remembered as spent at most.
    pub spent_max: usize,
    /// Operations kept at most.
    pub operations_max: usize,
    /// Largest answer that is kept, bytes.
    pub answer_max_bytes: usize,
    /// All kept answers together, bytes.
    pub answers_max_bytes: usize,
    /// Attempts that are remembered as abandoned at most.
    pub abandoned_max: usize,
    /// A `begin` that took longer to arrive is refused, milliseconds of ledger time.
    pub begin_stale_ms: u64,
    /// Longest time for which an operation may count as running, milliseconds.
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
    /// Sets how long answers are kept, milliseconds.
    #[must_use]
    pub fn with_retention_ms(mut self, value_ms: u64) -> Self {
        self.retention_ms = value_ms;
        self
    }

    /// Sets how long spent keys are refused, milliseconds.
    #[must_use]
    pub fn with_spent_keep_ms(mut self, value_ms: u64) -> Self {
        self.spent_keep_ms = value_ms;
        self
    }

    /// Sets how many operations are kept.
    #[must_use]
    pub fn with_operations_max(mut self, value: usize) -> Self {
        self.operations_max = value;
        self
    }

    /// Sets how many spent keys are remembered.
    #[must_use]
    pub fn with_spent_max(mut self, value: usize) -> Self {
        self.spent_max = value;
        self
    }
}
