//! Idle connections to backend servers.

use std::collections::HashMap;
use std::time::Duration;

use affinity::Choice;
use tokio::time::Instant;
use world::{Rank, Ranked, ServerName};

use crate::connection::Connection;

/// Idle connections kept to one server.
const IDLE_MAX: usize = 32;

/// Longest idle time after which a request that may run twice still goes over
/// a connection; servers close idle ones after about 10 s.
const REUSE_MAX: Duration = Duration::from_secs(8);

/// The same for a request that may run only once, since it is lost when the
/// server closes the connection at that moment.
const REUSE_ONCE_MAX: Duration = Duration::from_secs(4);

/// Time before a server closes an idle connection in which it is not used.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

type Peer = (ServerName, u64);

/// Idle connections by server and its start.
pub struct Pool {
    idle: Ranked<HashMap<Peer, Vec<Connection>>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Ranked::new(Rank::Connections, HashMap::new()),
        }
    }
}

fn peer(pick: &Choice) -> Peer {
    (pick.server.clone(), pick.born_ms)
}

impl Pool {
    /// The connection to the server that was used last and may carry a request.
    pub async fn take(&self, pick: &Choice, repeats: bool) -> Option<Connection> {
        let longest = if repeats { REUSE_MAX } else { REUSE_ONCE_MAX };
        loop {
            let mut connection = self.pop(&peer(pick))?;
            let idle = connection.idle_since.elapsed();
            let bound = connection
                .idle_max
                .map_or(longest, |max| longest.min(max.saturating_sub(CLOSE_MARGIN)));
            if idle > bound {
                // The others have been idle for longer.
                if idle > REUSE_MAX {
                    self.forget(&peer(pick));
                }
                return None;
            }
            if connection.is_sound().await {
                return Some(connection);
            }
        }
    }

    fn pop(&self, peer: &Peer) -> Option<Connection> {
        self.idle.lock().get_mut(peer)?.pop()
    }

    fn forget(&self, peer: &Peer) {
        let dropped = self.idle.lock().remove(peer);
        drop(dropped);
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, pick: &Choice, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut table = self.idle.lock();
        let idle = table.entry(peer(pick)).or_default();
        idle.push(connection);
        let dropped = (idle.len() > IDLE_MAX).then(|| idle.remove(0));
        drop(table);
        drop(dropped);
    }

    /// Closes what has been idle for too long.
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

    /// Closes everything: after a pause of this machine nothing is known of
    /// the connections.
    pub fn clear(&self) {
        let dropped = std::mem::take(&mut *self.idle.lock());
        drop(dropped);
    }
}
