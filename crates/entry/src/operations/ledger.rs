//! Ledger client that calls the ledger's replicas over links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use idempotency::{LedgerClient, Request, Response};
use peers::Links;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::LedgerRequest;
use world::{Error, ErrorKind, RunStatus};

use crate::state::State;

/// Name of the replica group that stores the ledger.
pub const LEDGER_GROUP: &str = "ledger";

/// Timeout of one call to one replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a call is retried while the replicas elect a leader.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between retries of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Calls the replica that responded last, then the others.
#[derive(Clone)]
pub struct LinkLedgerClient {
    links: Arc<Links<State>>,
    addrs: Arc<[SocketAddr]>,
    first: Arc<AtomicUsize>,
}

impl LinkLedgerClient {
    /// Creates a client of the replicas at `addrs`.
    pub fn new(links: Arc<Links<State>>, addrs: Vec<SocketAddr>) -> Self {
        Self {
            links,
            addrs: addrs.into(),
            first: Arc::default(),
        }
    }

    async fn call_replica(&self, addr: SocketAddr, command: &[u8]) -> Result<Response, Error> {
        let body = Body::LedgerRequest(LedgerRequest {
            group: LEDGER_GROUP.into(),
            command: command.to_vec().into(),
        });
        match self.links.to(addr).call(body, CALL_TIMEOUT).await? {
            Body::LedgerResponse(response) => Response::from_bytes(&response.outcome),
            Body::Refusal(refusal) => Err(refusal.into()),
            _ => Err(Error::new(ErrorKind::Internal, "not an answer of a ledger")),
        }
    }
}

impl LedgerClient for LinkLedgerClient {
    async fn call(&self, request: Request) -> Result<Response, Error> {
        let command = request.to_bytes()?;
        let deadline = Instant::now() + ELECTION_TIMEOUT;
        loop {
            match self.call_any_replica(&command).await {
                Err(error) if error.kind == ErrorKind::NotLeader && Instant::now() < deadline => {
                    sleep(RETRY_INTERVAL).await;
                }
                ended => return ended,
            }
        }
    }
}

impl LinkLedgerClient {
    /// Calls the replicas in order until one responds.
    async fn call_any_replica(&self, command: &[u8]) -> Result<Response, Error> {
        let first = self.first.load(Ordering::Relaxed);
        // Advanced before the calls: if this call is cancelled while it waits, the next
        // call starts at the next replica.
        self.first.store(first.wrapping_add(1), Ordering::Relaxed);
        let mut last = Error::new(ErrorKind::Unreachable, "no replica of the ledger is known");
        for offset in 0..self.addrs.len() {
            let at = first.wrapping_add(offset) % self.addrs.len();
            match self.call_replica(self.addrs[at], command).await {
                Ok(response) => {
                    self.first.store(at, Ordering::Relaxed);
                    return Ok(response);
                }
                // A replica may have applied the command; later refusals don't disprove
                // that.
                Err(_) if last.kind.response().ran == RunStatus::Unknown => {}
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
