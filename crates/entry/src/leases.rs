//! Leases of backend servers and their slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use world::{BackendServer, Error, Kind, Lifecycle, ServerName};

/// A backend server's lease.
#[derive(Debug)]
struct Lease {
    server: Arc<BackendServer>,
    ends_at: Instant,
    running: u32,
}

/// Backend servers that announced themselves.
#[derive(Debug, Default)]
pub struct Leases {
    table: HashMap<ServerName, Lease>,
}

impl Leases {
    /// Grants or renews a lease; an older start of the server is ignored.
    pub fn announce(&mut self, now: Instant, server: BackendServer, length: Duration) {
        let ends_at = now + length;
        if let Some(lease) = self.table.get_mut(&server.name) {
            if server.incarnation < lease.server.incarnation {
                return;
            }
            lease.server = Arc::new(server);
            lease.ends_at = ends_at;
            return;
        }
        let lease = Lease {
            server: Arc::new(server),
            ends_at,
            running: 0,
        };
        self.table.insert(lease.server.name.clone(), lease);
    }

    /// Takes a slot of the backend server with the most room.
    ///
    /// # Errors
    /// [`Kind::NoServer`] when no server offers the service, else
    /// [`Kind::Overloaded`] when each is full.
    pub fn take(
        &mut self,
        now: Instant,
        service: &str,
        open: impl Fn(&BackendServer) -> bool,
    ) -> Result<Arc<BackendServer>, Error> {
        let serving = |lease: &&mut Lease| {
            lease.ends_at > now
                && lease.server.service.as_str() == service
                && lease.server.lifecycle == Lifecycle::Serving
                && open(&lease.server)
        };
        let room = |lease: &&mut Lease| lease.server.slots.saturating_sub(lease.running);
        let Some(lease) = self.table.values_mut().filter(serving).max_by_key(room) else {
            return Err(Error::new(
                Kind::NoServer,
                "no backend server of the service",
            ));
        };
        if lease.running >= lease.server.slots {
            return Err(Error::new(Kind::Overloaded, "every slot is taken"));
        }
        lease.running += 1;
        Ok(Arc::clone(&lease.server))
    }

    /// Gives a slot back.
    pub fn give(&mut self, server: &ServerName) {
        if let Some(lease) = self.table.get_mut(server) {
            lease.running = lease.running.saturating_sub(1);
        }
    }

    /// Backend servers with a live lease, by name.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<BackendServer> {
        let live = self.table.values().filter(|l| l.ends_at > now);
        let mut servers: Vec<_> = live.map(|l| l.server.as_ref().clone()).collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        servers
    }
}
