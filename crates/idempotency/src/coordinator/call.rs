//! Calls to the ledger with their timeouts and retries.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use world::{Error, Kind};

use super::{Backoff, Steward, after};
use crate::client::LedgerClient;
use crate::request::{Reply, Request};

impl<C: LedgerClient> Steward<C> {
    /// Calls the ledger once, at most until `until`.
    pub(super) async fn ask(&self, request: Request, until: Instant) -> Result<Reply, Error> {
        let timeout = until.min(after(self.waits.ask_ms));
        match timeout_at(timeout, self.client.ask(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Kind::LedgerUnread, "no reply of the ledger")),
        }
    }

    /// Stores an outcome and waits until `until`; a background task continues after that.
    pub(super) async fn store(&self, request: Request, until: Instant) -> Result<(), Error> {
        let coordinator = self.clone();
        let task = tokio::spawn(async move { coordinator.store_with_retries(request).await });
        match timeout_at(until, task).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(not_stored()),
        }
    }

    /// Stores an outcome without waiting for it.
    pub(super) fn store_later(&self, request: Request) {
        let coordinator = self.clone();
        tokio::spawn(async move { coordinator.store_with_retries(request).await });
    }

    async fn store_with_retries(&self, request: Request) -> Result<(), Error> {
        let give_up = after(self.waits.settle_ms);
        let mut backoff = Backoff::new(&self.waits);
        while Instant::now() < give_up {
            match self.ask(request.clone(), give_up).await {
                Ok(Reply::Accepted) => return Ok(()),
                Ok(Reply::Refused) => return Err(not_stored()),
                Ok(_) | Err(_) => backoff.wait(give_up).await,
            }
        }
        log::warn!(
            target: "once::steward::ask",
            "gave up storing an outcome after {:?}",
            Duration::from_millis(self.waits.settle_ms)
        );
        Err(not_stored())
    }
}

fn not_stored() -> Error {
    let text = "the operation was handed over and its outcome could not be stored in time";
    Error::new(Kind::OutcomeUnknown, text)
}
