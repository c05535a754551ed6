//! The path of a non-idempotent operation: it runs at most once.

mod exchange;
mod ledger;
mod settled;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use idempotency::{
    Coordinator, Job, OperationId, OperationKey, OperationOutcome, RequestDigest, Timeouts,
};
use peers::Links;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use world::{Contract, Error, Kind};

use crate::ask::{Ask, IDEMPOTENCY_HEADER};
use crate::body::AnswerBody;
use crate::state::State;
pub use exchange::Exchange;
use exchange::Whole;
use ledger::LinkLedger;

/// Time for which a late answer is still waited for and stored.
const LATE_ANSWER: Duration = Duration::from_secs(10);

/// Time that a refusal at the deadline may take to reach the caller.
const REFUSAL_GRACE: Duration = Duration::from_millis(250);

/// Runs non-idempotent operations of one entry VM.
pub struct Bookings {
    steward: Coordinator<LinkLedger>,
    running: watch::Sender<usize>,
}

/// Whether a request has to go through the ledger.
#[must_use]
pub fn concerns(ask: &Ask, contract: &Contract) -> bool {
    !contract.service.idempotent && !ask.method.is_safe()
}

impl Bookings {
    /// Bookings whose ledger is kept by the replicas at `addrs`.
    #[must_use]
    pub fn new(links: Arc<Links<State>>, addrs: Vec<SocketAddr>) -> Self {
        let waits = Timeouts {
            run_margin_ms: world::unit::as_ms(LATE_ANSWER),
            ..Timeouts::default()
        };
        Self {
            steward: Coordinator::new(LinkLedger::new(links, addrs)).with_timeouts(waits),
            running: watch::Sender::new(0),
        }
    }

    /// Runs an operation once, or answers what is known of it.
    ///
    /// A caller who goes away does not stop it.
    ///
    /// # Errors
    /// [`Kind::KeyMissing`], and any kind of the ledger or the backend server.
    pub async fn answer(
        self: &Arc<Self>,
        exchange: Exchange,
        deadline: Instant,
    ) -> Result<Response<AnswerBody>, Error> {
        let job = job(&exchange.ask, &exchange.contract, deadline)?;
        let running = Running::new(Arc::clone(self));
        let task = tokio::spawn(running.drive(job, exchange));
        let settled = timeout_at(deadline + REFUSAL_GRACE, task)
            .await
            .map_err(|_| Error::new(Kind::DeadlineRunning, "the operation goes on"))?
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))??;
        settled::response(settled)
    }

    /// Waits until every operation under way has come to its end.
    pub async fn idle(&self) {
        let _ = self.running.subscribe().wait_for(|n| *n == 0).await;
    }
}

/// Counts one operation as running until it is dropped.
struct Running(Arc<Bookings>);

impl Running {
    fn new(bookings: Arc<Bookings>) -> Self {
        bookings.running.send_modify(|n| *n += 1);
        Self(bookings)
    }

    async fn drive(
        self,
        job: Job,
        mut exchange: Exchange,
    ) -> Result<OperationOutcome<Whole>, Error> {
        self.0.steward.run(&job, &mut exchange).await
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.send_modify(|n| *n -= 1);
    }
}

fn job(ask: &Ask, contract: &Contract, deadline: Instant) -> Result<Job, Error> {
    let Some(key) = ask.headers.get(IDEMPOTENCY_HEADER) else {
        let text = format!(
            "service {} needs the header {IDEMPOTENCY_HEADER}",
            contract.service.name
        );
        return Err(Error::new(Kind::KeyMissing, text));
    };
    let key = OperationKey::new(key.to_str().unwrap_or_default())?;
    let target = format!("{}{}", ask.service, ask.rest);
    Ok(Job {
        id: OperationId::new(contract.customer.clone(), key),
        digest: RequestDigest::new(ask.method.as_str(), &target, &ask.body),
        deadline,
    })
}
