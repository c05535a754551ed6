//! Questions to the ledger with their time limits and repeats.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use world::{Error, Kind};

use super::{Pause, Steward, after};
use crate::client::LedgerClient;
use crate::request::{Reply, Request};

impl<C: LedgerClient> Steward<C> {
    /// Asks once, at most until `until`.
    pub(super) async fn ask(&self, request: Request, until: Instant) -> Result<Reply, Error> {
        let limit = until.min(after(self.waits.ask_ms));
        match timeout_at(limit, self.client.ask(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Kind::LedgerUnread, "no reply of the ledger")),
        }
    }

    /// Stores an outcome; after `until` a task of its own goes on trying.
    pub(super) async fn store(&self, request: Request, until: Instant) -> Result<(), Error> {
        let steward = self.clone();
        let task = tokio::spawn(async move { steward.store_until_settled(request).await });
        match timeout_at(until, task).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(unstored()),
        }
    }

    /// Stores an outcome without waiting for it.
    pub(super) fn store_later(&self, request: Request) {
        let steward = self.clone();
        tokio::spawn(async move { steward.store_until_settled(request).await });
    }

    async fn store_until_settled(&self, request: Request) -> Result<(), Error> {
        let give_up = after(self.waits.settle_ms);
        let mut pause = Pause::new(&self.waits);
        while Instant::now() < give_up {
            match self.ask(request.clone(), give_up).await {
                Ok(Reply::Accepted) => return Ok(()),
                Ok(Reply::Refused) => return Err(unstored()),
                Ok(_) | Err(_) => pause.wait(give_up).await,
            }
        }
        log::warn!(
            target: "once::steward::ask",
            "gave up storing an outcome after {:?}",
            Duration::from_millis(self.waits.settle_ms)
        );
        Err(unstored())
    }
}

fn unstored() -> Error {
    let text = "the operation was handed over and its outcome could not be stored in time";
    Error::new(Kind::OutcomeUnknown, text)
}
