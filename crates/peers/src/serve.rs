//! What a process does with the messages of others.

use std::future::Future;
use std::sync::Arc;

use wire::Body;
use world::MachineName;

/// Answers calls that arrive over links.
pub trait Serve: Send + Sync + 'static {
    /// The answer to one message; `None` when none is wanted.
    fn serve(
        self: &Arc<Self>,
        from: &MachineName,
        body: Body,
    ) -> impl Future<Output = Option<Body>> + Send;

    /// Version of this process's configuration, put on every message.
    fn config_version(&self) -> u64;

    /// Called with the version on every message that arrives.
    fn heard_version(&self, from: &MachineName, version: u64);
}

/// Answers nobody, for a process that only asks.
#[derive(Clone, Copy, Debug)]
pub struct Silent;

impl Serve for Silent {
    async fn serve(self: &Arc<Self>, _from: &MachineName, _body: Body) -> Option<Body> {
        None
    }

    fn config_version(&self) -> u64 {
        0
    }

    fn heard_version(&self, _from: &MachineName, _version: u64) {}
}
