//! The ledger at a control VM: questions of entry VMs in, replies out.

pub mod machine;
pub mod shared;

use std::future::Future;

use idempotency::{Command, Ledger, LedgerClock, Request, Response};
use tokio::time::Instant;
use wire::body::{LedgerRequest, LedgerResponse};
use wire::{Body, Refusal};
use world::{Error, Kind, Rank, Ranked};

pub use machine::LedgerMachine;

/// Name of the group that keeps the ledger.
pub const LEDGER_GROUP: &str = "ledger";

/// What replicates the ledger's commands.
pub trait Replicated: Send + Sync + 'static {
    /// Applies a command once a majority has it on disk.
    ///
    /// # Errors
    /// [`Kind::NotLeader`] when it was not accepted; any other kind when that is unknown.
    fn apply(&self, command: Vec<u8>) -> impl Future<Output = Result<Response, Error>> + Send;

    /// Reads the ledger once it holds everything acknowledged before the call.
    ///
    /// # Errors
    /// [`Kind::NotLeader`] or [`Kind::NoQuorum`].
    fn read<T, F>(&self, look: F) -> impl Future<Output = Result<T, Error>> + Send
    where
        T: Send + 'static,
        F: FnOnce(&Ledger) -> T + Send + 'static;

    /// Stamp of the last command applied here, milliseconds of ledger time.
    fn applied_ms(&self) -> u64;
}

/// Answers entry VMs from a replicated ledger.
pub struct LedgerDesk<R> {
    group: R,
    clock: Ranked<LedgerClock>,
}

impl<R: Replicated> LedgerDesk<R> {
    /// A desk before this group.
    #[must_use]
    pub fn new(group: R) -> Self {
        let clock = LedgerClock::new(group.applied_ms(), Instant::now());
        Self {
            group,
            clock: Ranked::new(Rank::Ledger, clock),
        }
    }

    /// The answer to an entry VM.
    pub async fn answer(&self, ask: &LedgerRequest) -> Body {
        match self.reply(ask).await {
            Ok(outcome) => Body::LedgerResponse(LedgerResponse {
                outcome: outcome.into(),
            }),
            Err(error) => Body::Refusal(Refusal::from(&error)),
        }
    }

    async fn reply(&self, ask: &LedgerRequest) -> Result<Vec<u8>, Error> {
        if ask.group != LEDGER_GROUP {
            let text = format!("this control VM keeps no ledger {:?}", ask.group);
            return Err(Error::new(Kind::BadRequest, text));
        }
        let request = Request::from_bytes(&ask.command)?;
        let now_ms = self.now_ms();
        let reply = match request {
            Request::Lookup { id, digest } => {
                self.group
                    .read(move |ledger| ledger.lookup(&id, &digest, now_ms))
                    .await?
            }
            request => {
                let command = Command { now_ms, request };
                self.group.apply(command.to_bytes()?).await?
            }
        };
        reply.to_bytes()
    }

    /// Ledger time; never behind what was applied here.
    fn now_ms(&self) -> u64 {
        let applied_ms = self.group.applied_ms();
        let now = Instant::now();
        let mut clock = self.clock.lock();
        if clock.now_ms(now) < applied_ms {
            *clock = LedgerClock::new(applied_ms, now);
        }
        clock.now_ms(now)
    }
}
