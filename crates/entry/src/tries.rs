//! The attempts that one piece of work gets: retries and hedges on their budgets.

use std::sync::Arc;
use std::time::Duration;

use pick::{BudgetSettings, Hedge, HedgeSettings, Retry, RetryBudget, Work};
use tokio::time::{Instant, sleep};
use world::{Contract, Error, Rank, Ranked, ServiceName};

use crate::ask::Ask;
use crate::attempt::{Answered, Failure, Message, send};
use crate::place::{Place, find};
use crate::state::State;

/// Time that an attempt is expected to take before any was seen.
const EXPECTED_UNSEEN: Duration = Duration::from_millis(5);

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

impl Tries<'_> {
    /// Makes attempts until one is answered well, or no further one is allowed.
    ///
    /// # Errors
    /// What the last attempt failed by.
    pub async fn run(&self, mut work: Work) -> Result<Answered, Error> {
        let service = &self.contract.service.name;
        let mut hedge_after = self.state.budgets.start(service, &work);
        let mut last: Option<Failure> = None;
        for attempts in 1.. {
            let place = match find(self.state, self.contract, &work, self.deadline).await {
                Ok(place) => place,
                Err(error) => return give_up(last, error),
            };
            let failure = match self
                .hedged(place, &work, attempts, hedge_after.take())
                .await
            {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            if !self
                .state
                .budgets
                .may_retry(&self.retry(&work, &failure, attempts))
            {
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

    async fn hedged(
        &self,
        place: Place,
        work: &Work,
        attempts: u32,
        hedge_after: Option<Duration>,
    ) -> Result<Answered, Failure> {
        let server = place.server().cloned();
        let service = &self.contract.service.name;
        let started_at = Instant::now();
        let first_id = format!("{}-{attempts}", self.id);
        let first = self.attempt(place, work, &first_id);
        tokio::pin!(first);
        let (Some(after), Some(server)) = (hedge_after, server) else {
            return first.await;
        };
        tokio::select! {
            result = &mut first => {
                self.state.budgets.record(service, started_at.elapsed());
                return result;
            }
            () = sleep(after) => {}
        }
        let other = work.clone().with_avoid(server);
        let slot = self.state.gate.try_slot(Instant::now(), service, &other);
        let Ok(slot) = slot else {
            return first.await;
        };
        if !self.state.budgets.may_hedge() {
            drop(slot);
            return first.await;
        }
        let second_id = format!("{first_id}h");
        let second = self.attempt(Place::Here(slot), &other, &second_id);
        tokio::pin!(second);
        let result = tokio::select! {
            result = &mut first => match result {
                Ok(answered) => Ok(answered),
                Err(_) => second.await,
            },
            result = &mut second => match result {
                Ok(answered) => Ok(answered),
                Err(_) => first.await,
            },
        };
        self.state.budgets.record(service, started_at.elapsed());
        result
    }

    async fn attempt(&self, place: Place, work: &Work, id: &str) -> Result<Answered, Failure> {
        let message = Message {
            ask: self.ask,
            id,
            deadline: self.deadline,
            fence: None,
        };
        send(self.state, place, work, &message).await
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

/// No place for a further attempt: what the last one failed by counts.
fn give_up(last: Option<Failure>, error: Error) -> Result<Answered, Error> {
    match last {
        Some(failure) => failure.into_answer(),
        None => Err(error),
    }
}
