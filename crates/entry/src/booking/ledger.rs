//! The way to the replicas that keep the ledger.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use idempotency::{LedgerClient, Request, Response};
use peers::Links;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::LedgerRequest;
use world::{Error, Kind, Ran};

use crate::state::State;

/// Name of the group that keeps the ledger.
pub const LEDGER_GROUP: &str = "ledger";

/// Bound on one question to one replica.
const ASK_PATIENCE: Duration = Duration::from_secs(1);

/// How long a question is asked again while the replicas elect a leader.
const ELECTION_PATIENCE: Duration = Duration::from_secs(3);

/// Wait before the replicas are asked again.
const ELECTION_RETRY: Duration = Duration::from_millis(50);

/// Asks the replica that answered last, then the others.
#[derive(Clone)]
pub struct LinkLedger {
    links: Arc<Links<State>>,
    addrs: Arc<[SocketAddr]>,
    first: Arc<AtomicUsize>,
}

impl LinkLedger {
    /// A way to the replicas at `addrs`.
    pub fn new(links: Arc<Links<State>>, addrs: Vec<SocketAddr>) -> Self {
        Self {
            links,
            addrs: addrs.into(),
            first: Arc::default(),
        }
    }

    async fn ask_one(&self, addr: SocketAddr, command: &[u8]) -> Result<Response, Error> {
        let body = Body::LedgerRequest(LedgerRequest {
            group: LEDGER_GROUP.into(),
            command: command.to_vec().into(),
        });
        match self.links.to(addr).call(body, ASK_PATIENCE).await? {
            Body::LedgerResponse(give) => Response::from_bytes(&give.outcome),
            Body::Refusal(refusal) => Err(refusal.into()),
            _ => Err(Error::new(Kind::Internal, "not an answer of a ledger")),
        }
    }
}

impl LedgerClient for LinkLedger {
    async fn call(&self, request: Request) -> Result<Response, Error> {
        let command = request.to_bytes()?;
        let deadline = Instant::now() + ELECTION_PATIENCE;
        loop {
            match self.ask_all(&command).await {
                Err(error) if error.kind == Kind::NotLeader && Instant::now() < deadline => {
                    sleep(ELECTION_RETRY).await;
                }
                ended => return ended,
            }
        }
    }
}

impl LinkLedger {
    async fn ask_all(&self, command: &[u8]) -> Result<Response, Error> {
        let first = self.first.load(Ordering::Relaxed);
        // A call that is dropped while it waits leaves the next replica as the first.
        self.first.store(first.wrapping_add(1), Ordering::Relaxed);
        let mut last = Error::new(Kind::Unreachable, "no replica of the ledger is known");
        for turn in 0..self.addrs.len() {
            let at = first.wrapping_add(turn) % self.addrs.len();
            match self.ask_one(self.addrs[at], command).await {
                Ok(reply) => {
                    self.first.store(at, Ordering::Relaxed);
                    return Ok(reply);
                }
                // A question that may have been taken outweighs later refusals.
                Err(_) if last.kind.answer().ran == Ran::Unknown => {}
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
