//! The ledger as the state machine of a replicated log.

use idempotency::{Command, Ledger, Limits, Response};
use quorum::StateMachine;
use world::Result;

/// A [`Ledger`] that applies the commands of a replicated log.
#[derive(Clone, Debug)]
pub struct LedgerStateMachine(pub Ledger);

impl LedgerStateMachine {
    /// Creates an empty ledger with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Ledger::new(limits))
    }
}

impl StateMachine for LedgerStateMachine {
    type Output = Response;

    fn apply(&mut self, index: u64, command: &[u8]) -> Response {
        match Command::from_bytes(command) {
            Ok(command) => self.0.apply(command),
            Err(error) => {
                log::error!(target: "control", index, error:% = error; "undecodable ledger command skipped");
                Response::Refused
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_bytes().unwrap_or_default()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        self.0 = Ledger::from_bytes(bytes)?;
        Ok(())
    }
}
