//! What a stand-in backend server has run.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::gate::Crowd;
use super::order::Order;

/// Runs that are kept at most.
const RUNS_MAX: usize = 200_000;

/// One run of an operation that had a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Idempotency key.
    pub key: String,
    /// Id of the attempt.
    pub request: String,
    /// Fence that came with it.
    pub fence: Option<u64>,
    /// Start, microseconds since the server's start.
    pub started_us: u64,
    /// Whether the run came to its end.
    pub ended: bool,
}

/// Counters of a stand-in backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Work at the gate.
    pub crowd: Crowd,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ran to the end.
    pub ended: u64,
    /// Requests shed before they ran.
    pub shed: u64,
    /// Requests refused for their deadline before they ran.
    pub past_deadline: u64,
    /// Requests refused for a fence lower than one seen.
    pub stale_fence: u64,
    /// Answers sent on purpose with another request's id.
    pub crossed: u64,
    /// Answers cut off on purpose.
    pub cut: u64,
    /// Answers held back on purpose.
    pub late: u64,
    /// Requests failed on purpose.
    pub failed: u64,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub highest_connections: u32,
    /// Connections refused as too many.
    pub refused_connections: u64,
    /// Announcements that a desk accepted.
    pub announced: u64,
    /// Announcements that no desk answered or a desk refused.
    pub unannounced: u64,
    /// Age of the server, milliseconds.
    pub age_ms: u64,
    /// Age of the server when the last request started, milliseconds.
    pub last_started_ms: u64,
}

/// Runs by key and the highest fence of each key.
#[derive(Debug, Default)]
pub struct Runs {
    all: Vec<Run>,
    fences: HashMap<String, u64>,
}

impl Runs {
    /// Whether a later right to run this operation has been seen.
    #[must_use]
    pub fn is_stale(&self, order: &Order) -> bool {
        let (Some(key), Some(fence)) = (&order.key, order.fence) else {
            return false;
        };
        self.fences.get(key).is_some_and(|seen| fence < *seen)
    }

    /// Notes the start of a run; its place serves [`Runs::end`].
    pub fn start(&mut self, order: &Order, started_us: u64) -> Option<usize> {
        let key = order.key.clone()?;
        if let Some(fence) = order.fence {
            let seen = self.fences.entry(key.clone()).or_default();
            *seen = fence.max(*seen);
        }
        if self.all.len() >= RUNS_MAX {
            return None;
        }
        self.all.push(Run {
            key,
            request: order.request.clone(),
            fence: order.fence,
            started_us,
            ended: false,
        });
        Some(self.all.len() - 1)
    }

    /// Notes the end of a run.
    pub fn end(&mut self, place: usize) {
        self.all[place].ended = true;
    }

    /// Every run in order of start.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.all.clone()
    }
}
