//! The entry VM's side of its links to control VMs.

use std::sync::Arc;
use std::time::Duration;

use peers::Serve;
use wire::Body;
use world::MachineName;

use crate::dialect::Dialect;
use crate::state::State;

/// Mean used share of the link from which on bytes may wait on it, percent of the rate to
/// which large responses are paced.
const BUSY_PERCENT: u32 = 50;

/// Time for which a control VM may be silent beyond the usual while the link is busy:
/// connecting anew takes several round trips over the same link.
const BUSY_PATIENCE: Duration = Duration::from_millis(1_250);

/// Makes calls only, with patience while the entry VM's network link is busy.
pub struct FeedClient<D: Dialect> {
    state: Arc<State<D>>,
}

impl<D: Dialect> FeedClient<D> {
    /// Creates the client of an entry VM.
    #[must_use]
    pub fn new(state: Arc<State<D>>) -> Self {
        Self { state }
    }
}

impl<D: Dialect> Serve for FeedClient<D> {
    async fn serve(self: &Arc<Self>, _from: &MachineName, _body: Body) -> Option<Body> {
        None
    }

    fn config_version(&self) -> u64 {
        0
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}

    fn patience(&self) -> Duration {
        patience(self.state.busy_percent())
    }
}

/// Time by which timeouts are extended while this share of the link is used, percent.
#[must_use]
pub fn patience(busy_percent: u32) -> Duration {
    if busy_percent >= BUSY_PERCENT {
        BUSY_PATIENCE
    } else {
        Duration::ZERO
    }
}
