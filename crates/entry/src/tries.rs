//! The attempts that one piece of work gets: retries and hedges on their budgets.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use balancer::{BudgetSettings, Hedge, HedgeSettings, Outcome, Retry, RetryBudget, Work};
use tokio::time::{Instant, timeout, timeout_at};
use world::{Contract, Error, Kind, Rank, Ranked, ServiceName};

use crate::ask::Ask;
use crate::attempt::{Answered, Failure, Message, send};
use crate::place::{Place, find};
use crate::pool::Peer;
use crate::slot::Slot;
use crate::state::State;

/// Time that an attempt is expected to take before any was seen.
const EXPECTED_UNSEEN: Duration = Duration::from_millis(5);

/// Servers that may break off while they run one piece of work.
const BREAKS_MAX: u32 = 2;

/// Time between two looks for a slot for a second attempt.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Budgets of one entry VM.
pub struct Budgets {
    table: Ranked<(Hedge, RetryBudget)>,
}

impl Budgets {
    /// Full budgets.
    #[must_use]
    pub fn new(hedge: HedgeSettings, retry: BudgetSettings) -> Self {
        let table = (Hedge::new(hedge), RetryBudget::new(retry));
        Self {
            table: Ranked::new(Rank::Budgets, table),
        }
    }

    fn start(&self, service: &ServiceName, work: &Work) -> Option<Duration> {
        let mut table = self.table.lock();
        table.1.earn();
        table.0.delay(service, work)
    }

    fn may_hedge(&self) -> bool {
        self.table.lock().0.spend()
    }

    fn may_retry(&self, retry: &Retry) -> bool {
        self.table.lock().1.allow(Instant::now(), retry)
    }

    fn record(&self, service: &ServiceName, answer: Duration) {
        self.table.lock().0.record(service, answer);
    }
}

/// One piece of work that is answered by one or more attempts.
pub struct Tries<'a> {
    /// The tables.
    pub state: &'a Arc<State>,
    /// The caller's request.
    pub ask: &'a Ask,
    /// Its contract.
    pub contract: &'a Contract,
    /// Id of the request; each attempt adds its number.
    pub id: &'a str,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// An attempt that is about to be made.
struct First {
    place: Place,
    attempts: u32,
    /// Whether a new connection carries it.
    fresh: bool,
}

/// What is known of an attempt that is late.
struct Watch<'a> {
    /// Whether a pooled connection carries it.
    reused: &'a AtomicBool,
    /// Where its connection leads.
    peer: Option<&'a Peer>,
    started_at: Instant,
    attempts: u32,
}

/// How the wait for a late attempt ended.
enum Late {
    /// The attempt ended, or is given up.
    Ended(Box<Result<Answered, Failure>>),
    /// A second attempt may be made beside it.
    Second(Slot),
}

impl Tries<'_> {
    /// Makes attempts until one is answered well, or no further one is allowed.
    ///
    /// # Errors
    /// What the last attempt failed by.
    pub async fn run(&self, mut work: Work) -> Result<Answered, Error> {
        let service = &self.contract.service.name;
        let mut hedge_after = self.state.budgets.start(service, &work);
        let mut last: Option<Failure> = None;
        let mut breaks = 0;
        for attempts in 1.. {
            let place = match find(self.state, self.contract, &work, self.deadline).await {
                Ok(place) => place,
                Err(error) => return give_up(last, error),
            };
            let first = First {
                place,
                attempts,
                fresh: last.as_ref().is_some_and(|failure| failure.silent),
            };
            let failure = match self.hedged(first, &work, hedge_after.take()).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            breaks += u32::from(failure.broken);
            if breaks >= BREAKS_MAX {
                let gate = &self.state.gate;
                return Err(gate.broke_twice(Instant::now(), work.fingerprint));
            }
            if !self.may_go_on(&work, &failure, attempts) {
                return failure.into_answer();
            }
            log::info!(target: "entry", request = self.id, attempts, error:% = failure.error; "tried again");
            if let Some(server) = failure.server.clone() {
                work = work.with_avoid(server);
            }
            last = Some(failure);
        }
        unreachable!("the budget bounds the attempts")
    }

    fn may_go_on(&self, work: &Work, failure: &Failure, attempts: u32) -> bool {
        let retry = self.retry(work, failure, attempts);
        if failure.silent {
            return retry.is_permitted(Instant::now());
        }
        self.state.budgets.may_retry(&retry)
    }

    fn retry(&self, work: &Work, failure: &Failure, attempts: u32) -> Retry {
        let fleet = self.state.gate.fleet().table().lock();
        let seen_s = fleet.latency_s(self.contract.service.name.as_str(), work.class);
        Retry {
            may_run_again: work.idempotent || !failure.may_have_run,
            attempts,
            deadline: self.deadline,
            expected: seen_s.map_or(EXPECTED_UNSEEN, Duration::from_secs_f64),
        }
    }

    /// One attempt, and a second one beside it when the first is late.
    async fn hedged(
        &self,
        first: First,
        work: &Work,
        hedge_after: Option<Duration>,
    ) -> Result<Answered, Failure> {
        let First {
            place,
            attempts,
            fresh,
        } = first;
        let service = &self.contract.service.name;
        let started_at = Instant::now();
        let (server, peer) = (place.server().cloned(), place.peer().ok());
        let first_id = format!("{}-{attempts}", self.id);
        let message = self.message(work, &first_id, fresh);
        let first = send(self.state, place, work, &message);
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
            let watch = Watch {
                reused: &message.reused,
                peer: peer.as_ref(),
                started_at,
                attempts,
            };
            match self.late(first.as_mut(), work, &watch).await {
                Late::Ended(result) => return *result,
                Late::Second(slot) => second = Some(slot),
            }
        }
        let Some(slot) = second else {
            return first.await;
        };
        let second_id = format!("{first_id}h");
        let second_message = self.message(work, &second_id, true);
        let second = send(self.state, Place::Here(slot), work, &second_message);
        let result = first_good(first, second).await;
        self.state.budgets.record(service, started_at.elapsed());
        result
    }

    /// Waits for an attempt that may have met a silent connection, until it
    /// ends or there is a slot for a second one beside it.
    async fn late<F>(&self, mut first: Pin<&mut F>, work: &Work, watch: &Watch<'_>) -> Late
    where
        F: Future<Output = Result<Answered, Failure>>,
    {
        let mut until = watch.started_at + self.patience(work);
        while until < self.deadline {
            if let Ok(result) = timeout_at(until, first.as_mut()).await {
                return Late::Ended(Box::new(result));
            }
            if !watch.reused.load(Ordering::Relaxed) {
                // A new connection is not lost; its answer is only slow.
                break;
            }
            if let Some(slot) = self.second_slot(work, watch.attempts) {
                if let Some(peer) = watch.peer {
                    self.state.pool.silent(peer, watch.started_at);
                }
                return Late::Second(slot);
            }
            if !self.is_heard(watch.peer, watch.started_at) {
                return Late::Ended(Box::new(Err(silent())));
            }
            until = Instant::now() + LOOK_AGAIN;
        }
        Late::Ended(Box::new(first.await))
    }

    /// Whether the server has answered anything since the attempt began. Where
    /// it has not, and every slot waits, the connections are taken for lost.
    fn is_heard(&self, peer: Option<&Peer>, started_at: Instant) -> bool {
        let Some(peer) = peer else { return true };
        if self.state.pool.is_heard(peer, started_at) {
            return true;
        }
        self.state.pool.silent(peer, started_at);
        false
    }

    /// Time after which the first attempt's connection may have gone silent;
    /// half of the time left stays for the second, whatever is typical.
    fn patience(&self, work: &Work) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.state.patience(&self.ask.service, work).min(left / 2)
    }

    /// A slot of another server for a hedge, on the budget.
    fn hedge_slot(&self, other: &Work) -> Option<Slot> {
        let service = &self.contract.service.name;
        let slot = self.state.gate.try_slot(Instant::now(), service, other);
        let slot = slot.ok()?;
        if self.state.budgets.may_hedge() {
            return Some(slot);
        }
        slot.done(Outcome::Cancelled);
        None
    }

    /// A slot of any server for a second attempt over a new connection, on the
    /// budget for retries; the first goes on, as it may only be slow.
    fn second_slot(&self, work: &Work, attempts: u32) -> Option<Slot> {
        let service = &self.contract.service.name;
        let slot = self.state.gate.try_slot(Instant::now(), service, work);
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

    fn message<'a>(&'a self, work: &Work, id: &'a str, fresh: bool) -> Message<'a> {
        Message {
            ask: self.ask,
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
    /// The server's own answer, if it gave one, or the error.
    ///
    /// # Errors
    /// What the attempt failed by.
    pub fn into_answer(self) -> Result<Answered, Error> {
        match self.answer {
            Some(answered) => Ok(*answered),
            None => Err(self.error),
        }
    }
}

/// An attempt that is given up since its connection stays silent.
fn silent() -> Failure {
    let text = "the connection to the backend server stays silent";
    Failure {
        silent: true,
        ..Failure::unknown(Error::new(Kind::ServerFailed, text))
    }
}

/// The first good answer of two attempts; the other is dropped.
async fn first_good<A, B>(mut first: Pin<&mut A>, second: B) -> Result<Answered, Failure>
where
    A: Future<Output = Result<Answered, Failure>>,
    B: Future<Output = Result<Answered, Failure>>,
{
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(answered) => Ok(answered),
            Err(_) => second.await,
        },
        result = &mut second => match result {
            Ok(answered) => Ok(answered),
            Err(_) => first.await,
        },
    }
}

/// No place for a further attempt: what the last one failed by counts.
fn give_up(last: Option<Failure>, error: Error) -> Result<Answered, Error> {
    match last {
        Some(failure) => failure.into_answer(),
        None => Err(error),
    }
}
