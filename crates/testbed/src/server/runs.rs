//! Runs and counters that a stand-in backend server records.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::parsed_request::ParsedRequest;
use super::slots::Occupancy;

/// Maximum number of recorded runs; later runs are not recorded.
const RUNS_MAX: usize = 200_000;

/// One run of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Idempotency key.
    pub key: String,
    /// Id of the attempt.
    pub request: String,
    /// Fence that the request carried.
    pub fence: Option<u64>,
    /// Start of the run, microseconds since the server's start.
    pub started_us: u64,
    /// Whether the run was completed.
    pub ended: bool,
}

/// Counters of a stand-in backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Running and waiting requests.
    #[serde(rename = "crowd")]
    pub occupancy: Occupancy,
    /// Requests that started running.
    pub started: u64,
    /// Requests that ran to the end.
    pub ended: u64,
    /// Requests refused because the queue was full.
    pub shed: u64,
    /// Requests refused because their deadline passed before they ran.
    pub past_deadline: u64,
    /// Requests refused because a higher fence of the same operation was received.
    pub stale_fence: u64,
    /// Responses sent deliberately with another request's id and content.
    pub crossed: u64,
    /// Responses with a status that HTTP does not have.
    pub odd_status: u64,
    /// Responses truncated deliberately.
    pub cut: u64,
    /// Responses delayed deliberately.
    pub late: u64,
    /// Requests failed deliberately.
    pub failed: u64,
    /// Connections open now.
    pub connections: u32,
    /// Peak of open connections.
    pub highest_connections: u32,
    /// Connections closed because the limit was reached.
    pub refused_connections: u64,
    /// Announcements that an entry VM accepted.
    pub announced: u64,
    /// Announcements that failed or were refused.
    pub unannounced: u64,
    /// Time since the server's start, milliseconds.
    pub age_ms: u64,
    /// Time from the server's start to the start of the last run, milliseconds.
    pub last_started_ms: u64,
}

/// Recorded runs, and the highest fence of each idempotency key.
#[derive(Debug, Default)]
pub struct Runs {
    all: Vec<Run>,
    fences: HashMap<String, u64>,
}

impl Runs {
    /// Whether a higher fence of the same operation was received before.
    #[must_use]
    pub fn is_stale(&self, parsed: &ParsedRequest) -> bool {
        let (Some(key), Some(fence)) = (&parsed.key, parsed.fence) else {
            return false;
        };
        self.fences.get(key).is_some_and(|seen| fence < *seen)
    }

    /// Records the start of a run; returns its index for [`Runs::end`], or `None` when
    /// the run isn't recorded.
    pub fn start(&mut self, parsed: &ParsedRequest, started_us: u64) -> Option<usize> {
        let key = parsed.key.clone()?;
        if let Some(fence) = parsed.fence {
            let seen = self.fences.entry(key.clone()).or_default();
            *seen = fence.max(*seen);
        }
        if self.all.len() >= RUNS_MAX {
            return None;
        }
        self.all.push(Run {
            key,
            request: parsed.attempt_id.clone(),
            fence: parsed.fence,
            started_us,
            ended: false,
        });
        Some(self.all.len() - 1)
    }

    /// Marks a run as completed.
    pub fn end(&mut self, index: usize) {
        self.all[index].ended = true;
    }

    /// Returns every run in order of start.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.all.clone()
    }
}
