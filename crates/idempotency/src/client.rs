//! The way to the ledger.

use std::future::Future;

use world::Error;

use crate::request::{Reply, Request};

/// Asks the ledger.
pub trait LedgerClient: Clone + Send + Sync + 'static {
    /// Asks once.
    ///
    /// An error means that no reply came: the request may have been applied,
    /// may be applied later, or never. `Look` must be answered from a state
    /// that holds everything acknowledged before it was asked.
    fn ask(&self, request: Request) -> impl Future<Output = Result<Reply, Error>> + Send;
}
