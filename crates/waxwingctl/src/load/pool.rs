//! Connections that callers keep open between requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;
use world::{Rank, Ranked};

use crate::http::{Connection, Failure};

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Ranked<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// No connections yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: Ranked::new(Rank::Connections, HashMap::new()),
        }
    }

    /// A connection to `addr`, idle or new.
    ///
    /// # Errors
    /// That none comes about in time.
    pub async fn take(&self, addr: SocketAddr, until: Instant) -> Result<Connection, Failure> {
        if let Some(connection) = self.take_idle(addr) {
            return Ok(connection);
        }
        Connection::new(addr, until).await
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn give(&self, addr: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            self.idle.lock().entry(addr).or_default().push(connection);
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&addr)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}
