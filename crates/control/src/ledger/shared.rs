//! The ledger as a group of the control replicas.

use std::sync::Arc;

use idempotency::{Ledger, Response};
use world::Result;

use super::{LedgerMachine, Replicated};
use crate::courier::LinkCourier;
use crate::group::Group;

/// This machine's replica of the ledger.
pub type LedgerGroup = Group<LedgerMachine, LinkCourier>;

impl Replicated for Arc<LedgerGroup> {
    async fn apply(&self, command: Vec<u8>) -> Result<Response> {
        self.propose(&command).await
    }

    async fn read<T, F>(&self, look: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Ledger) -> T + Send + 'static,
    {
        Group::read(self, |machine| look(&machine.0)).await
    }

    fn applied_ms(&self) -> u64 {
        self.look(|machine| machine.0.now_ms())
    }
}
