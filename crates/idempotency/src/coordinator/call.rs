//! Calls to the ledger with their timeouts and retries.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use world::{Error, ErrorKind};

use super::{Backoff, Coordinator, after};
use crate::client::LedgerClient;
use crate::request::{Request, Response};

impl<C: LedgerClient> Coordinator<C> {
    /// Calls the ledger once, at most until `until`.
    pub(super) async fn call(&self, request: Request, until: Instant) -> Result<Response, Error> {
        let timeout = until.min(after(self.timeouts.call_ms));
        match timeout_at(timeout, self.client.call(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(
                ErrorKind::LedgerUnread,
                "no reply of the ledger",
            )),
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
        let give_up = after(self.timeouts.store_ms);
        let mut backoff = Backoff::new(&self.timeouts);
        while Instant::now() < give_up {
            match self.call(request.clone(), give_up).await {
                Ok(Response::Accepted) => return Ok(()),
                Ok(Response::Refused) => return Err(not_stored()),
                Ok(_) | Err(_) => backoff.wait(give_up).await,
            }
        }
        log::warn!(
            target: "once::steward::ask",
            "gave up storing an outcome after {:?}",
            Duration::from_millis(self.timeouts.store_ms)
        );
        Err(not_stored())
    }
}

fn not_stored() -> Error {
    let text = "the operation was handed over and its outcome could not be stored in time";
    Error::new(ErrorKind::OutcomeUnknown, text)
}
