//! The group of replicas that keeps the ledger on the control VMs.

use std::sync::Arc;

use idempotency::{Ledger, Response};
use world::Result;

use super::{LedgerStateMachine, ReplicatedLedger};
use crate::group::Group;
use crate::replication_transport::LinkTransport;

/// This machine's replica of the ledger.
pub type LedgerGroup = Group<LedgerStateMachine, LinkTransport>;

impl ReplicatedLedger for Arc<LedgerGroup> {
    async fn apply(&self, command: Vec<u8>) -> Result<Response> {
        self.propose(&command).await
    }

    async fn read<T, F>(&self, reader: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Ledger) -> T + Send + 'static,
    {
        Group::read(self, |state_machine| reader(&state_machine.0)).await
    }

    fn applied_ms(&self) -> u64 {
        self.read_local(|state_machine| state_machine.0.now_ms())
    }
}
