//! Runs non-idempotent operations at most once, coordinated through the ledger, a
//! replicated store of execution grants and outcomes.

mod dispatch;
mod ledger;
mod outcome;

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
use world::{Contract, Error, ErrorKind};

use crate::body::ResponseBody;
use crate::inbound::{IDEMPOTENCY_HEADER, InboundRequest};
use crate::state::State;
use dispatch::BufferedResponse;
pub use dispatch::OperationDispatch;
use ledger::LinkLedgerClient;

/// Time after the deadline for which a response is still awaited and stored.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Extra wait after the deadline, so that the coordinator's own refusal can still reach
/// the client.
const REFUSAL_MARGIN: Duration = Duration::from_millis(250);

/// Runs the non-idempotent operations of one entry VM.
pub struct OperationRunner {
    coordinator: Coordinator<LinkLedgerClient>,
    running: watch::Sender<usize>,
}

/// Whether a request must be recorded in the ledger.
#[must_use]
pub fn requires_ledger(inbound: &InboundRequest, contract: &Contract) -> bool {
    !contract.service.idempotent && !inbound.method.is_safe()
}

impl OperationRunner {
    /// Creates a runner that uses the ledger on the replicas at `addrs`.
    #[must_use]
    pub fn new(links: Arc<Links<State>>, addrs: Vec<SocketAddr>) -> Self {
        let timeouts = Timeouts {
            run_margin_ms: world::unit::as_ms(LATE_RESPONSE_TIMEOUT),
            ..Timeouts::default()
        };
        Self {
            coordinator: Coordinator::new(LinkLedgerClient::new(links, addrs))
                .with_timeouts(timeouts),
            running: watch::Sender::new(0),
        }
    }

    /// Runs an operation once, or returns its recorded outcome.
    ///
    /// The operation continues when the client disconnects.
    ///
    /// # Errors
    /// [`ErrorKind::KeyMissing`], and any kind of the ledger or the backend server.
    pub async fn run(
        self: &Arc<Self>,
        dispatch: OperationDispatch,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, Error> {
        let job = job(&dispatch.inbound, &dispatch.contract, deadline)?;
        let running = Running::new(Arc::clone(self));
        let task = tokio::spawn(running.drive(job, dispatch));
        let outcome = timeout_at(deadline + REFUSAL_MARGIN, task)
            .await
            .map_err(|_| Error::new(ErrorKind::DeadlineRunning, "the operation goes on"))?
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))??;
        outcome::response(outcome)
    }

    /// Waits until no operation is running.
    pub async fn idle(&self) {
        let _ = self.running.subscribe().wait_for(|n| *n == 0).await;
    }
}

/// Counts one operation as running until dropped.
struct Running(Arc<OperationRunner>);

impl Running {
    fn new(runner: Arc<OperationRunner>) -> Self {
        runner.running.send_modify(|n| *n += 1);
        Self(runner)
    }

    async fn drive(
        self,
        job: Job,
        mut dispatch: OperationDispatch,
    ) -> Result<OperationOutcome<BufferedResponse>, Error> {
        self.0.coordinator.run(&job, &mut dispatch).await
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.send_modify(|n| *n -= 1);
    }
}

/// Describes the operation of a request to the coordinator.
fn job(inbound: &InboundRequest, contract: &Contract, deadline: Instant) -> Result<Job, Error> {
    let Some(key) = inbound.headers.get(IDEMPOTENCY_HEADER) else {
        let text = format!(
            "service {} needs the header {IDEMPOTENCY_HEADER}",
            contract.service.name
        );
        return Err(Error::new(ErrorKind::KeyMissing, text));
    };
    let key = OperationKey::new(key.to_str().unwrap_or_default())?;
    let target = format!("{}{}", inbound.service, inbound.rest);
    Ok(Job {
        id: OperationId::new(contract.customer.clone(), key),
        digest: RequestDigest::new(inbound.method.as_str(), &target, &inbound.body),
        deadline,
    })
}
