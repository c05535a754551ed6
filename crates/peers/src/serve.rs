//! The interface through which a process handles messages from other processes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use wire::Body;
use world::MachineName;

/// Handles messages that arrive over links.
pub trait Serve: Send + Sync + 'static {
    /// Handles one message and returns the reply; `None` for a one-way message.
    fn serve(
        self: &Arc<Self>,
        from: &MachineName,
        body: Body,
    ) -> impl Future<Output = Option<Body>> + Send;

    /// Version of this process's configuration, which every sent message carries.
    fn config_version(&self) -> u64;

    /// Called with the configuration version of every received message.
    fn on_config_version(&self, from: &MachineName, version: u64);

    /// Time by which the timeouts of connections that this process opens are extended now,
    /// since bytes wait on this machine's own network link: silence says little about the
    /// peer then, and a new connection would wait as well.
    fn patience(&self) -> Duration {
        Duration::ZERO
    }
}

/// Ignores every request, for a process that only makes calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientOnly;

impl Serve for ClientOnly {
    async fn serve(self: &Arc<Self>, _from: &MachineName, _body: Body) -> Option<Body> {
        None
    }

    fn config_version(&self) -> u64 {
        0
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}
}
