//! Retry loop of a request, with hedging and the budgets of both.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use balancer::{BudgetSettings, Hedge, HedgeSettings, Outcome, Retry, RetryBudget, Work};
use tokio::time::{Instant, timeout, timeout_at};
use world::{Contract, Error, ErrorKind, LockRank, RankedMutex, ServiceName};

use crate::attempt::{AttemptRequest, AttemptResponse, Failure, send};
use crate::destination::{Destination, acquire_destination};
use crate::inbound::InboundRequest;
use crate::pool::Peer;
use crate::slot::Slot;
use crate::state::State;

/// Expected latency of an attempt before any latency has been observed.
const DEFAULT_EXPECTED_LATENCY: Duration = Duration::from_millis(5);

/// Number of connections lost while servers ran the same request at which the request
/// counts as poison.
const POISON_LOST_CONNECTIONS: u32 = 2;

/// Interval between checks for a free slot for a second attempt.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Retry and hedge budgets of one entry VM.
pub struct Budgets {
    table: RankedMutex<BudgetTable>,
}

struct BudgetTable {
    hedge: Hedge,
    retry: RetryBudget,
}

impl Budgets {
    /// Creates full budgets.
    #[must_use]
    pub fn new(hedge: HedgeSettings, retry: BudgetSettings) -> Self {
        let table = BudgetTable {
            hedge: Hedge::new(hedge),
            retry: RetryBudget::new(retry),
        };
        Self {
            table: RankedMutex::new(LockRank::Budgets, table),
        }
    }

    /// Adds a new request to the retry budget; returns its hedge delay, or
    /// `None` when it must not be hedged.
    fn start(&self, service: &ServiceName, work: &Work) -> Option<Duration> {
        let mut table = self.table.lock();
        table.retry.earn();
        table.hedge.delay(service, work)
    }

    fn may_hedge(&self) -> bool {
        self.table.lock().hedge.spend()
    }

    fn may_retry(&self, retry: &Retry) -> bool {
        self.table.lock().retry.allow(Instant::now(), retry)
    }

    /// Records the time to a response, from which hedge delays are computed.
    fn record(&self, service: &ServiceName, latency: Duration) {
        self.table.lock().hedge.record(service, latency);
    }
}

/// Runs one request in one or more attempts.
pub struct RetryLoop<'a> {
    /// The tables of the VM.
    pub state: &'a Arc<State>,
    /// The client's request.
    pub inbound: &'a InboundRequest,
    /// Contract of the request.
    pub contract: &'a Contract,
    /// Id of the request; each attempt appends its number.
    pub id: &'a str,
    /// Deadline of the client.
    pub deadline: Instant,
}

/// The first of up to two parallel attempts.
struct FirstAttempt {
    destination: Destination,
    /// Number of attempts, including this one.
    attempts: u32,
    /// Whether to open a new connection.
    fresh: bool,
}

/// A late attempt, which may have an unresponsive connection.
struct LateAttempt<'a> {
    /// Whether a pooled connection carries it.
    reused: &'a AtomicBool,
    /// Peer that its connection leads to.
    peer: Option<&'a Peer>,
    started_at: Instant,
    /// Number of attempts, including this one.
    attempts: u32,
}

/// Result of the wait for a late attempt.
enum LateOutcome {
    /// The attempt ended, or was abandoned.
    Ended(Box<Result<AttemptResponse, Failure>>),
    /// A slot for a second attempt in parallel.
    Second(Slot),
}

impl RetryLoop<'_> {
    /// Runs attempts until one succeeds or no further one is allowed.
    ///
    /// # Errors
    /// The error of the last attempt.
    pub async fn run(&self, mut work: Work) -> Result<AttemptResponse, Error> {
        let service = &self.contract.service.name;
        let mut hedge_after = self.state.budgets.start(service, &work);
        let mut last: Option<Failure> = None;
        let mut lost_connections = 0;
        for attempts in 1.. {
            let destination =
                match acquire_destination(self.state, self.contract, &work, self.deadline).await {
                    Ok(destination) => destination,
                    Err(error) => return final_result(last, error),
                };
            let first = FirstAttempt {
                destination,
                attempts,
                fresh: last.as_ref().is_some_and(|failure| failure.unresponsive),
            };
            let failure = match self
                .attempt_with_hedge(first, &work, hedge_after.take())
                .await
            {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            lost_connections += u32::from(failure.connection_lost);
            if lost_connections >= POISON_LOST_CONNECTIONS {
                let admission = &self.state.admission;
                return Err(admission.report_second_crash(Instant::now(), work.fingerprint));
            }
            if !self.should_retry(&work, &failure, attempts) {
                return failure.into_response();
            }
            log::info!(target: "entry", request = self.id, attempts, error:% = failure.error; "retrying request");
            if let Some(server) = failure.server.clone() {
                work = work.with_avoid(server);
            }
            last = Some(failure);
        }
        unreachable!("the budget bounds the attempts")
    }

    /// Whether another attempt is allowed. Retries after an unresponsive connection are
    /// not charged to the budget.
    fn should_retry(&self, work: &Work, failure: &Failure, attempts: u32) -> bool {
        let retry = self.retry(work, failure, attempts);
        if failure.unresponsive {
            return retry.is_permitted(Instant::now());
        }
        self.state.budgets.may_retry(&retry)
    }

    fn retry(&self, work: &Work, failure: &Failure, attempts: u32) -> Retry {
        let fleet = self.state.admission.fleet().table().lock();
        let typical_s = fleet.latency_s(self.contract.service.name.as_str(), work.class);
        Retry {
            may_run_again: work.idempotent || !failure.may_have_run,
            attempts,
            deadline: self.deadline,
            expected: typical_s.map_or(DEFAULT_EXPECTED_LATENCY, Duration::from_secs_f64),
        }
    }

    /// Runs one attempt, and a second one in parallel when the first is late.
    async fn attempt_with_hedge(
        &self,
        first: FirstAttempt,
        work: &Work,
        hedge_after: Option<Duration>,
    ) -> Result<AttemptResponse, Failure> {
        let FirstAttempt {
            destination,
            attempts,
            fresh,
        } = first;
        let service = &self.contract.service.name;
        let started_at = Instant::now();
        let (server, peer) = (destination.server().cloned(), destination.peer().ok());
        let first_id = format!("{}-{attempts}", self.id);
        let request = self.attempt_request(work, &first_id, fresh);
        let first = send(self.state, destination, work, &request);
        tokio::pin!(first);
        let mut second = None;
        if let (Some(after), Some(server)) = (hedge_after, server) {
            if let Ok(result) = timeout(after, first.as_mut()).await {
                self.state.budgets.record(service, started_at.elapsed());
                return result;
            }
            second = self.hedge_slot(&work.clone().with_avoid(server));
        }
        if second.is_none() && work.idempotent && !work.alone {
            let late = LateAttempt {
                reused: &request.reused,
                peer: peer.as_ref(),
                started_at,
                attempts,
            };
            match self.wait_late(first.as_mut(), work, &late).await {
                LateOutcome::Ended(result) => return *result,
                LateOutcome::Second(slot) => second = Some(slot),
            }
        }
        let Some(slot) = second else {
            return first.await;
        };
        let second_id = format!("{first_id}h");
        let second_request = self.attempt_request(work, &second_id, true);
        let second = send(self.state, Destination::Local(slot), work, &second_request);
        let result = first_success(first, second).await;
        self.state.budgets.record(service, started_at.elapsed());
        result
    }

    /// Waits for an attempt whose connection may be unresponsive, until it ends or a
    /// slot for a second attempt is free.
    async fn wait_late<F>(
        &self,
        mut first: Pin<&mut F>,
        work: &Work,
        late: &LateAttempt<'_>,
    ) -> LateOutcome
    where
        F: Future<Output = Result<AttemptResponse, Failure>>,
    {
        let mut until = late.started_at + self.unresponsive_after(work);
        while until < self.deadline {
            if let Ok(result) = timeout_at(until, first.as_mut()).await {
                return LateOutcome::Ended(Box::new(result));
            }
            if !late.reused.load(Ordering::Relaxed) {
                // A new connection can't be stale: the response is only slow.
                break;
            }
            if let Some(slot) = self.second_slot(work, late.attempts) {
                if let Some(peer) = late.peer {
                    self.state.pool.report_unresponsive(peer, late.started_at);
                }
                return LateOutcome::Second(slot);
            }
            if !self.server_responded(late.peer, late.started_at) {
                return LateOutcome::Ended(Box::new(Err(unresponsive_failure())));
            }
            until = Instant::now() + SLOT_POLL_INTERVAL;
        }
        LateOutcome::Ended(Box::new(first.await))
    }

    /// Whether the server has completed any response since the attempt started. If not,
    /// and no slot is free, its connections are assumed lost.
    fn server_responded(&self, peer: Option<&Peer>, started_at: Instant) -> bool {
        let Some(peer) = peer else { return true };
        if self.state.pool.has_responded_since(peer, started_at) {
            return true;
        }
        self.state.pool.report_unresponsive(peer, started_at);
        false
    }

    /// Time after which the first attempt's connection counts as unresponsive: at most
    /// half of the remaining time, so that a second attempt has the other half.
    fn unresponsive_after(&self, work: &Work) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.state
            .unresponsive_after(&self.inbound.service, work)
            .min(left / 2)
    }

    /// Acquires a slot for a hedge, within the hedge budget; `avoiding_first` excludes the
    /// server of the first attempt.
    fn hedge_slot(&self, avoiding_first: &Work) -> Option<Slot> {
        let service = &self.contract.service.name;
        let slot = self
            .state
            .admission
            .try_slot(Instant::now(), service, avoiding_first);
        let slot = slot.ok()?;
        if self.state.budgets.may_hedge() {
            return Some(slot);
        }
        slot.done(Outcome::Cancelled);
        None
    }

    /// Acquires a slot of any server for a second attempt over a new connection, within
    /// the retry budget. The first attempt continues, as it might merely be slow.
    fn second_slot(&self, work: &Work, attempts: u32) -> Option<Slot> {
        let service = &self.contract.service.name;
        let slot = self.state.admission.try_slot(Instant::now(), service, work);
        let slot = slot.ok()?;
        let unknown = Failure::unknown(admission::queue::late_error());
        if self
            .state
            .budgets
            .may_retry(&self.retry(work, &unknown, attempts))
        {
            return Some(slot);
        }
        slot.done(Outcome::Cancelled);
        None
    }

    fn attempt_request<'a>(&'a self, work: &Work, id: &'a str, fresh: bool) -> AttemptRequest<'a> {
        AttemptRequest {
            inbound: self.inbound,
            id,
            deadline: self.deadline,
            fence: None,
            fingerprint: work.fingerprint,
            fresh,
            reused: AtomicBool::new(false),
        }
    }
}

impl Failure {
    /// Returns the server's own error response if there is one.
    ///
    /// # Errors
    /// The attempt's error.
    pub fn into_response(self) -> Result<AttemptResponse, Error> {
        match self.server_response {
            Some(response) => Ok(*response),
            None => Err(self.error),
        }
    }
}

/// Failure of an attempt that is abandoned because its connection does not respond.
fn unresponsive_failure() -> Failure {
    let text = "the connection to the backend server stays silent";
    Failure {
        unresponsive: true,
        ..Failure::unknown(Error::new(ErrorKind::ServerFailed, text))
    }
}

/// Returns the first success of two attempts and drops the other attempt.
async fn first_success<A, B>(mut first: Pin<&mut A>, second: B) -> Result<AttemptResponse, Failure>
where
    A: Future<Output = Result<AttemptResponse, Failure>>,
    B: Future<Output = Result<AttemptResponse, Failure>>,
{
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(response) => Ok(response),
            Err(_) => second.await,
        },
        result = &mut second => match result {
            Ok(response) => Ok(response),
            Err(_) => first.await,
        },
    }
}

/// Returns the last attempt's result when no destination was found for a further one,
/// or `error` before the first attempt.
fn final_result(last: Option<Failure>, error: Error) -> Result<AttemptResponse, Error> {
    match last {
        Some(failure) => failure.into_response(),
        None => Err(error),
    }
}
