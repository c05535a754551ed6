//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::time::Duration;

use affinity::Choice;
use tokio::time::Instant;
use world::{LockRank, RankedMutex, ServerName};

use crate::connection::Connection;

/// Idle connections kept for one server.
const IDLE_MAX: usize = 32;

/// Longest idle time after which a connection is reused for a request that may
/// run twice; servers close idle connections after about 10 s.
const REUSE_MAX: Duration = Duration::from_secs(8);

/// Longest idle time before reuse for a request that may run only once: such a
/// request is lost if the server closes the connection at that moment.
const REUSE_ONCE_MAX: Duration = Duration::from_secs(4);

/// An idle connection is not reused this long before the server closes it.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Name and start time (`born_ms`) of a server.
type ServerIncarnation = (ServerName, u64);

/// Idle connections by server incarnation, the longest idle first.
pub struct Pool {
    idle: RankedMutex<HashMap<ServerIncarnation, Vec<Connection>>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RankedMutex::new(LockRank::Connections, HashMap::new()),
        }
    }
}

fn incarnation(choice: &Choice) -> ServerIncarnation {
    (choice.server.clone(), choice.born_ms)
}

impl Pool {
    /// Takes the most recently used connection to the server that can carry a
    /// request.
    pub async fn take(&self, choice: &Choice, idempotent: bool) -> Option<Connection> {
        let longest = if idempotent {
            REUSE_MAX
        } else {
            REUSE_ONCE_MAX
        };
        loop {
            let mut connection = self.pop(&incarnation(choice))?;
            let idle = connection.idle_since.elapsed();
            let bound = connection
                .idle_max
                .map_or(longest, |max| longest.min(max.saturating_sub(CLOSE_MARGIN)));
            if idle > bound {
                // The remaining connections have been idle for longer.
                if idle > REUSE_MAX {
                    self.forget(&incarnation(choice));
                }
                return None;
            }
            if connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    fn pop(&self, key: &ServerIncarnation) -> Option<Connection> {
        self.idle.lock().get_mut(key)?.pop()
    }

    fn forget(&self, key: &ServerIncarnation) {
        let dropped = self.idle.lock().remove(key);
        drop(dropped);
    }

    /// Adds a connection whose last response was read completely.
    pub fn keep(&self, choice: &Choice, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut table = self.idle.lock();
        let idle = table.entry(incarnation(choice)).or_default();
        idle.push(connection);
        let dropped = (idle.len() > IDLE_MAX).then(|| idle.remove(0));
        drop(table);
        drop(dropped);
    }

    /// Closes connections idle for longer than [`REUSE_MAX`].
    pub fn expire(&self) {
        let mut dropped = Vec::new();
        let mut table = self.idle.lock();
        for idle in table.values_mut() {
            let old = |c: &mut Connection| c.idle_since.elapsed() > REUSE_MAX;
            dropped.extend(idle.extract_if(.., old));
        }
        table.retain(|_, idle| !idle.is_empty());
        drop(table);
        drop(dropped);
    }

    /// Closes all connections: after a suspension of this machine the servers
    /// may have closed them.
    pub fn clear(&self) {
        let dropped = std::mem::take(&mut *self.idle.lock());
        drop(dropped);
    }
}
