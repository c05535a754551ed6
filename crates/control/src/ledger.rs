//! Handles requests of entry VMs to the ledger. A lookup is a linearizable read;
//! any other request becomes a command of the replicated log.

pub mod group;
pub mod state_machine;

use std::future::Future;

use idempotency::{Command, Ledger, LedgerClock, Request, Response};
use tokio::time::Instant;
use wire::body::{LedgerRequest, LedgerResponse};
use wire::{Body, Refusal};
use world::{Error, ErrorKind, LockRank, RankedMutex};

pub use state_machine::LedgerStateMachine;

/// Name of the group that replicates the ledger.
pub const LEDGER_GROUP: &str = "ledger";

/// A ledger that is changed by commands of a replicated log.
pub trait ReplicatedLedger: Send + Sync + 'static {
    /// Applies a command once a majority has stored it.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`] if the command was not accepted; any other kind if
    /// it is unknown whether the command was accepted.
    fn apply(&self, command: Vec<u8>) -> impl Future<Output = Result<Response, Error>> + Send;

    /// Reads the ledger once it includes every command acknowledged before the call.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`] or [`ErrorKind::NoQuorum`].
    fn read<T, F>(&self, reader: F) -> impl Future<Output = Result<T, Error>> + Send
    where
        T: Send + 'static,
        F: FnOnce(&Ledger) -> T + Send + 'static;

    /// Time of the last command applied by this replica, milliseconds of ledger
    /// time, the replicated clock of the ledger that never goes back.
    fn applied_ms(&self) -> u64;
}

/// Handles ledger requests of entry VMs.
pub struct LedgerHandler<R> {
    ledger: R,
    clock: RankedMutex<LedgerClock>,
}

impl<R: ReplicatedLedger> LedgerHandler<R> {
    /// Creates a handler whose clock starts at the time of the last applied
    /// command.
    #[must_use]
    pub fn new(ledger: R) -> Self {
        let clock = LedgerClock::new(ledger.applied_ms(), Instant::now());
        Self {
            ledger,
            clock: RankedMutex::new(LockRank::Ledger, clock),
        }
    }

    /// Handles a request; an error is returned as a refusal.
    pub async fn handle(&self, request: &LedgerRequest) -> Body {
        match self.process(request).await {
            Ok(outcome) => Body::LedgerResponse(LedgerResponse {
                outcome: outcome.into(),
            }),
            Err(error) => Body::Refusal(Refusal::from(&error)),
        }
    }

    async fn process(&self, request: &LedgerRequest) -> Result<Vec<u8>, Error> {
        if request.group != LEDGER_GROUP {
            let text = format!("this control VM keeps no ledger {:?}", request.group);
            return Err(Error::new(ErrorKind::BadRequest, text));
        }
        let decoded = Request::from_bytes(&request.command)?;
        let now_ms = self.now_ms();
        let response = match decoded {
            Request::Lookup { id, digest } => {
                self.ledger
                    .read(move |ledger| ledger.lookup(&id, &digest, now_ms))
                    .await?
            }
            request => {
                let command = Command { now_ms, request };
                self.ledger.apply(command.to_bytes()?).await?
            }
        };
        response.to_bytes()
    }

    /// Current ledger time; never earlier than the last command applied here.
    fn now_ms(&self) -> u64 {
        let applied_ms = self.ledger.applied_ms();
        let now = Instant::now();
        let mut clock = self.clock.lock();
        if clock.now_ms(now) < applied_ms {
            *clock = LedgerClock::new(applied_ms, now);
        }
        clock.now_ms(now)
    }
}
