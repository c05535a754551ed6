//! A limit that a backend server names: the requests that it takes from all entry VMs
//! together.

use tokio::time::Instant;

/// The limit of a server.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// Requests from all entry VMs together, in 1,000 s.
    pub per_1000_s: u64,
    /// When the server was last known to name it.
    pub named_at: Instant,
}
