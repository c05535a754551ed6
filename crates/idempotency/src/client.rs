//! Interface through which an entry VM calls the ledger.

use std::future::Future;

use world::Error;

use crate::request::{Request, Response};

/// Calls the replicated ledger.
pub trait LedgerClient: Clone + Send + Sync + 'static {
    /// Sends one request, without retries.
    ///
    /// A lookup must be linearizable: its response must include every command
    /// that was acknowledged before the lookup was sent.
    ///
    /// # Errors
    /// Any error means that no response arrived: the request may have been
    /// applied, may be applied later, or never.
    fn call(&self, request: Request) -> impl Future<Output = Result<Response, Error>> + Send;
}
