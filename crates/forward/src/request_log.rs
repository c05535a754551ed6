//! Rate-limited log lines about requests and attempts.
//!
//! Failures (refusals included) and successes have separate limits of lines a
//! second, so that successes don't displace failures. A further line reports
//! how many lines were left out.

use std::time::Duration;

use affinity::{AttemptEnd, Choice};
use log::kv::Value;
use tokio::time::Instant;
use world::unit::as_ms;
use world::{Error, LockRank, RankedMutex, Route};

use crate::attempt::OutgoingRequest;
use crate::dialect::RequestHead;
use crate::handler::since_ms;

/// Lines a second about refused or failed requests and attempts. At 100 bytes
/// a line this is a few KiB a second, even when every request fails.
const FAILURES_PER_S: u32 = 50;

/// Lines a second about successful requests.
const SUCCESSES_PER_S: u32 = 2;

/// Window over which both limits are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Status of the response, or name of the error kind.
    pub result: String,
    /// Error text for operators; empty after a response of a server.
    pub detail: String,
    /// Whether a backend server responded with a status below 500.
    pub success: bool,
}

impl Outcome {
    /// A backend server responded.
    #[must_use]
    pub fn answered(status: u16) -> Self {
        Self {
            result: status.to_string(),
            detail: String::new(),
            success: status < 500,
        }
    }

    /// The entry VM responded with an error.
    #[must_use]
    pub fn refused(error: &Error) -> Self {
        Self {
            result: error.kind.to_string(),
            detail: error.detail.clone(),
            success: false,
        }
    }
}

/// Lines that were logged and left out since the window began.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    failures: u32,
    successes: u32,
    left_out: u32,
}

/// Logs requests and attempts within the line limits.
pub struct RequestLog {
    window: RankedMutex<Window>,
}

impl Default for RequestLog {
    fn default() -> Self {
        let window = Window {
            started_at: Instant::now(),
            failures: 0,
            successes: 0,
            left_out: 0,
        };
        Self {
            window: RankedMutex::new(LockRank::Stats, window),
        }
    }
}

impl RequestLog {
    /// Logs how a request ended, within the line limit.
    pub fn request_ended(
        &self,
        call: &RequestHead,
        route: Option<&Route>,
        outcome: &Outcome,
        arrived_at: Instant,
    ) {
        if !self.allow_line(outcome.success) {
            return;
        }
        let route_name = route.map_or("", |route| route.name.as_str());
        let kind = route.map_or("", |route| route.kind.as_str());
        log::info!(
            target: "request",
            request:% = call.id,
            route = route_name,
            kind,
            deadline_ms = call.deadline_ms.map_or(Value::null(), Value::from),
            took_ms = since_ms(arrived_at),
            result = outcome.result.as_str(),
            detail = outcome.detail.as_str();
            "answered"
        );
    }

    /// Logs that a request waits until the link has capacity for its response.
    pub fn link_wait(&self, call: &RequestHead, wait: Duration) {
        if !self.allow_line(true) {
            return;
        }
        log::info!(
            target: "request", request:% = call.id, wait_ms = as_ms(wait);
            "waiting for link capacity"
        );
    }

    /// Logs an attempt that did not succeed.
    pub fn attempt_failed(
        &self,
        outgoing: &OutgoingRequest,
        choice: &Choice,
        end: AttemptEnd,
        took: Duration,
    ) {
        if !self.allow_line(false) {
            return;
        }
        log::info!(
            target: "send",
            request:% = outgoing.call.id,
            fingerprint:% = outgoing.fingerprint,
            service:% = choice.service,
            server:% = choice.server,
            domain:% = choice.place.domain,
            rank = choice.rank,
            expected_ms = choice.expected_ms,
            report_age_ms = choice.report_age_ms.map_or(Value::null(), Value::from),
            cold = choice.cold,
            took_ms = as_ms(took),
            end = end.as_str();
            "attempt failed"
        );
    }

    /// Whether the limit for successes, or for failures if `success` is false, allows one more line;
    /// counts the line.
    pub fn allow_line(&self, success: bool) -> bool {
        let now = Instant::now();
        let mut window = self.window.lock();
        let mut left_out = 0;
        if now.saturating_duration_since(window.started_at) >= WINDOW {
            left_out = window.left_out;
            *window = Window {
                started_at: now,
                failures: 0,
                successes: 0,
                left_out: 0,
            };
        }
        let (count, limit) = if success {
            (&mut window.successes, SUCCESSES_PER_S)
        } else {
            (&mut window.failures, FAILURES_PER_S)
        };
        let allowed = *count < limit;
        if allowed {
            *count += 1;
        } else {
            window.left_out += 1;
        }
        drop(window);
        if left_out > 0 {
            log::info!(target: "request", left_out; "log lines about requests left out");
        }
        allowed
    }
}
