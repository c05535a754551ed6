//! Retry loop of one request: attempts, backup attempts and when to give up.

use std::time::Duration;

use affinity::AttemptEnd;
use balancer::Verdict;
use steer::hash::{self, Purpose};
use tokio::time::{Instant, timeout_at};
use world::{Error, ErrorKind, RequestKind, Route, ServerName, ServiceName};

use crate::attempt::{self, AttemptResult, LEFT_MIN, OpenAttempt, OutgoingRequest, ServerResponse};
use crate::dialect::{Dialect, RequestHead};
use crate::refusal::Refusal;
use crate::state::State;

/// Attempts that may fail before anything was sent, for each of the route's
/// `attempts`, towards which they do not count.
const UNSENT_PER_ATTEMPT: usize = 2;

/// A backup attempt may start once 1 / `BACKUP_TIME_DIVISOR` of the time left
/// has passed: before that, an unresponsive server might merely be slow.
const BACKUP_TIME_DIVISOR: u32 = 2;

/// State of the retry loop of one request.
pub(crate) struct RetryLoop<'a, D: Dialect> {
    state: &'a State<D>,
    route: &'a Route,
    service: &'a ServiceName,
    outgoing: &'a OutgoingRequest,
    deadline: Instant,
    /// Servers of earlier attempts, which the balancer excludes.
    tried: Vec<ServerName>,
    /// Attempts that reached a server.
    attempt_count: u32,
    /// Attempts that failed before anything was sent.
    unsent_count: usize,
    /// End of the last attempt after which the request may have run.
    uncertain_end: Option<AttemptEnd>,
}

impl<'a, D: Dialect> RetryLoop<'a, D> {
    pub fn new(
        state: &'a State<D>,
        route: &'a Route,
        outgoing: &'a OutgoingRequest,
        deadline: Instant,
    ) -> Self {
        Self {
            state,
            route,
            service: choose_service(route, &outgoing.call),
            outgoing,
            deadline,
            tried: Vec::new(),
            attempt_count: 0,
            unsent_count: 0,
            uncertain_end: None,
        }
    }

    /// Sends the request until a response can be forwarded or no further
    /// attempt is allowed.
    pub async fn run(&mut self) -> Result<ServerResponse, Refusal> {
        self.state
            .balancer
            .lock()
            .record_first_attempt(self.service);
        loop {
            let attempt = self.open_attempt()?;
            let (result, attempt) = self.send(attempt).await;
            let end = self.finish_attempt(attempt, &result);
            let server_response = match result {
                AttemptResult::Answered(server_response) if end == AttemptEnd::Answered => {
                    return Ok(*server_response);
                }
                AttemptResult::Answered(server_response) => Some(server_response),
                AttemptResult::NotRun(_) | AttemptResult::MayHaveRun(_) => None,
            };
            if self.may_repeat(end) && self.try_spend_attempt(end) {
                self.state.stats.record_retry(end);
                continue;
            }
            return match server_response {
                Some(server_response) => Ok(*server_response),
                None => Err(self.failure()),
            };
        }
    }

    /// Whether another attempt is safe. A request that broke again after a server has
    /// crashed under it is not repeated, since it may crash the next one as well.
    fn may_repeat(&self, end: AttemptEnd) -> bool {
        if not_run(end) {
            return true;
        }
        let is_marked = || self.state.crashes.verdict(self.outgoing.fingerprint) != Verdict::Clean;
        self.outgoing.idempotent && !(end == AttemptEnd::Broken && is_marked())
    }

    /// Releases the slot of an attempt and counts how it ended.
    fn finish_attempt(
        &mut self,
        attempt: OpenAttempt<'a, D>,
        result: &AttemptResult,
    ) -> AttemptEnd {
        let end = match result {
            AttemptResult::Answered(server_response)
                if server_response.head.status.is_server_error() =>
            {
                AttemptEnd::Failed
            }
            AttemptResult::Answered(_) => AttemptEnd::Answered,
            AttemptResult::NotRun(end) | AttemptResult::MayHaveRun(end) => *end,
        };
        if matches!(end, AttemptEnd::Answered | AttemptEnd::Failed) {
            let crashes = &self.state.crashes;
            crashes.record_answer(self.outgoing.fingerprint);
        }
        let server = attempt.choice.server.clone();
        attempt.end(end, self.outgoing);
        if let AttemptResult::MayHaveRun(end) = result {
            self.uncertain_end = Some(*end);
        }
        if reached(end) {
            self.attempt_count += 1;
            self.tried.push(server);
        } else {
            self.unsent_count += 1;
            // A dropped attempt is no evidence against the server.
            if end != AttemptEnd::Dropped {
                self.tried.push(server);
            }
        }
        end
    }

    /// Whether another attempt is allowed; charges it to the retry budget if
    /// the last attempt reached a server.
    fn try_spend_attempt(&self, end: AttemptEnd) -> bool {
        let unsent_max = UNSENT_PER_ATTEMPT * self.route.attempts as usize;
        if self.left() < LEFT_MIN || self.unsent_count > unsent_max {
            return false;
        }
        if !reached(end) {
            return true;
        }
        self.attempt_count < self.route.attempts
            && self.state.balancer.lock().try_spend_retry(self.service)
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Chooses a server and takes one of its slots.
    fn open_attempt(&self) -> Result<OpenAttempt<'a, D>, Refusal> {
        if self.left() < LEFT_MIN {
            return Err(self.failure());
        }
        let request = affinity::Request {
            service: self.service,
            object: self.object(),
            large: self.route.kind == RequestKind::Download,
            tried: &self.tried,
            homes: &self.route.homes,
            time_left: self.left(),
        };
        let chosen = self.state.balancer.lock().choose(&request, Instant::now());
        match chosen {
            Ok(choice) => Ok(OpenAttempt::new(self.state, choice)),
            Err(_) if self.uncertain_end.is_some() => Err(self.failure()),
            Err(full) => {
                let detail = format!("none of {} backend servers has room", full.candidates);
                Err(Refusal {
                    error: Error::new(ErrorKind::Overloaded, detail),
                    retry_after_ms: Some(full.retry_after_ms),
                })
            }
        }
    }

    /// Hash of the request's object, combined with the route's name: the same
    /// hash on different routes means different objects.
    fn object(&self) -> Option<u64> {
        let object = self.outgoing.call.object.filter(|_| self.route.sticky)?;
        Some(object ^ hash::name(self.route.name.as_str()))
    }

    /// Sends the request to the chosen server. If the server is unresponsive to
    /// all requests, a request that may run twice is sent to a second server
    /// too, and the first response is used.
    async fn send(&mut self, attempt: OpenAttempt<'a, D>) -> (AttemptResult, OpenAttempt<'a, D>) {
        let (state, outgoing, deadline) = (self.state, self.outgoing, self.deadline);
        let started_at = Instant::now();
        let choice = attempt.choice.clone();
        let mut first = std::pin::pin!(attempt::send(state, &choice, outgoing, deadline));
        let backup_at = started_at + self.left() / BACKUP_TIME_DIVISOR;
        if self.outgoing.idempotent && self.attempt_count + 1 < self.route.attempts {
            if let Ok(result) = timeout_at(backup_at, &mut first).await {
                return (result, attempt);
            }
            if let Some(backup) = self.open_backup(&attempt, started_at) {
                let choice = backup.choice.clone();
                let mut second = std::pin::pin!(attempt::send(state, &choice, outgoing, deadline));
                return tokio::select! {
                    result = &mut first => match result {
                        AttemptResult::Answered(_) => (result, attempt),
                        AttemptResult::NotRun(_) | AttemptResult::MayHaveRun(_) => {
                            self.finish_attempt(attempt, &result);
                            (second.await, backup)
                        }
                    },
                    result = &mut second => match result {
                        AttemptResult::Answered(_) => (result, backup),
                        AttemptResult::NotRun(_) | AttemptResult::MayHaveRun(_) => {
                            self.finish_attempt(backup, &result);
                            (first.await, attempt)
                        }
                    },
                };
            }
        }
        (first.await, attempt)
    }

    /// Opens a backup attempt if the first server is unresponsive and the retry
    /// budget allows it.
    fn open_backup(
        &mut self,
        attempt: &OpenAttempt<'a, D>,
        started_at: Instant,
    ) -> Option<OpenAttempt<'a, D>> {
        if !self
            .state
            .balancer
            .lock()
            .is_unresponsive(&attempt.choice, started_at)
        {
            return None;
        }
        self.tried.push(attempt.choice.server.clone());
        let backup = self.open_attempt().ok();
        self.tried.pop();
        let backup = backup?;
        if !self.state.balancer.lock().try_spend_retry(self.service) {
            return None;
        }
        self.state.stats.record_retry(AttemptEnd::Silent);
        Some(backup)
    }

    /// The error for the client after the last attempt.
    fn failure(&self) -> Refusal {
        let sends = self.attempt_count;
        match self.uncertain_end {
            Some(AttemptEnd::Silent) => Refusal::new(
                ErrorKind::DeadlineRunning,
                format!("no answer to {sends} sends in time"),
            ),
            Some(_) => Refusal::new(
                ErrorKind::ServerFailed,
                format!("the last of {sends} sends broke"),
            ),
            None if self.left() < LEFT_MIN => Refusal::new(
                ErrorKind::DeadlineWaiting,
                "no backend server took it in time",
            ),
            None => {
                let detail = format!("{sends} backend servers did not take it");
                let balancer = self.state.balancer.lock();
                let retry_after_ms = balancer.retry_after_shed_ms(self.service, Instant::now());
                Refusal {
                    error: Error::new(ErrorKind::ServerShed, detail),
                    retry_after_ms: Some(retry_after_ms),
                }
            }
        }
    }
}

/// Whether an attempt with this end guarantees that the request has not run
/// and will not run.
fn not_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::NotRun | AttemptEnd::Replaced) || !reached(end)
}

/// Whether an attempt with this end reached a server.
fn reached(end: AttemptEnd) -> bool {
    !matches!(
        end,
        AttemptEnd::Refused | AttemptEnd::Unreached | AttemptEnd::Dropped
    )
}

/// Chooses a service of the route by weight, from a hash of the request id.
fn choose_service<'a>(route: &'a Route, call: &RequestHead) -> &'a ServiceName {
    let total: f64 = route.parts.iter().map(|part| f64::from(part.weight)).sum();
    let mut point = hash::unit(hash::name(&call.id), Purpose::Part) * total;
    for part in &route.parts {
        if point < f64::from(part.weight) {
            return &part.service;
        }
        point -= f64::from(part.weight);
    }
    &route.parts[0].service
}
