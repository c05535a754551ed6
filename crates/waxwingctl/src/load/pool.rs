//! Pool of connections that a client keeps open between requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;
use world::{LockRank, RankedMutex};

use crate::http::{Connection, Failure};

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: RankedMutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: RankedMutex::new(LockRank::Connections, HashMap::new()),
        }
    }

    /// Returns an idle connection to `addr`, or a new one.
    ///
    /// # Errors
    /// If a new connection can't be established by `deadline`.
    pub async fn acquire(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, Failure> {
        if let Some(connection) = self.take_idle(addr) {
            return Ok(connection);
        }
        Connection::new(addr, deadline).await
    }

    /// Returns a connection to the pool; its last response must have been read
    /// completely.
    pub fn release(&self, addr: SocketAddr, connection: Connection) {
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
