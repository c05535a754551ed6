//! The table of links to other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use world::{LockRank, RankedMutex};

use crate::handshake::Identity;
use crate::link::Link;
use crate::serve::Serve;

/// Links by address. A link is created on first use and connects on demand.
pub struct Links<S> {
    identity: Identity,
    serve: Arc<S>,
    table: RankedMutex<HashMap<SocketAddr, Arc<Link<S>>>>,
}

impl<S: Serve> Links<S> {
    /// Creates an empty table. Its links take the configuration version to send from
    /// `serve`, and report the version that a peer sends to it.
    #[must_use]
    pub fn new(identity: Identity, serve: Arc<S>) -> Self {
        Self {
            identity,
            serve,
            table: RankedMutex::new(LockRank::Links, HashMap::new()),
        }
    }

    /// Returns the link to `addr`, creating it on first use.
    #[must_use]
    pub fn to(&self, addr: SocketAddr) -> Arc<Link<S>> {
        let mut table = self.table.lock();
        let link = table.entry(addr).or_insert_with(|| {
            let identity = self.identity.clone();
            Arc::new(Link::new(addr, identity, Arc::clone(&self.serve)))
        });
        Arc::clone(link)
    }
}
