//! Connections to backend servers and to other entry VMs.
//!
//! A connection carries one request at a time. It is pooled only after the
//! whole answer has been read, and trusted only for a short time after its
//! last byte.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use balancer::{ConnectionAge, ConnectionPermit, ConnectionTrust, TrustSettings, Work};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use world::{Error, Kind, Rank, Ranked, ServerName};

/// Bound on opening a connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);

/// Idle connections kept to one address.
const IDLE_MAX: usize = 64;

/// Time for which the last answer from a peer is remembered.
const HEARD_MEMORY: Duration = Duration::from_secs(60);

/// Where a connection leads.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Name of the backend server, or of the entry VM.
    pub name: ServerName,
    /// Its address.
    pub addr: SocketAddr,
}

/// One connection.
pub struct Connection {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    /// When it was opened and last heard of.
    pub age: ConnectionAge,
    /// Whether it was used before.
    pub reused: bool,
    _permit: Option<ConnectionPermit>,
}

/// Idle connections by where they lead.
pub struct Pool {
    table: Ranked<Table>,
}

struct Table {
    idle: HashMap<Peer, Vec<Connection>>,
    heard_at: HashMap<Peer, Instant>,
    trust: ConnectionTrust,
}

impl Pool {
    /// No connections.
    #[must_use]
    pub fn new(settings: TrustSettings) -> Self {
        let table = Table {
            idle: HashMap::new(),
            heard_at: HashMap::new(),
            trust: ConnectionTrust::new(settings),
        };
        Self {
            table: Ranked::new(Rank::Connections, table),
        }
    }

    /// An idle connection that may carry `work`.
    #[must_use]
    pub fn idle(&self, peer: &Peer, work: &Work) -> Option<Connection> {
        let (found, dropped) = self.table.lock().take(Instant::now(), peer, work);
        // Connections give their count back to the fleet, so they end outside the lock.
        drop(dropped);
        found
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// [`Kind::NoServer`] when it can't be opened.
    pub async fn open(
        &self,
        peer: &Peer,
        permit: Option<ConnectionPermit>,
    ) -> Result<Connection, Error> {
        let failed = |text: String| Error::new(Kind::NoServer, format!("{}: {text}", peer.name));
        let stream = timeout(CONNECT_PATIENCE, TcpStream::connect(peer.addr))
            .await
            .map_err(|_| failed("no connection in time".into()))?
            .map_err(|error| failed(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        tokio::spawn(connection);
        sender
            .ready()
            .await
            .map_err(|error| failed(error.to_string()))?;
        let now = Instant::now();
        Ok(Connection {
            sender,
            age: ConnectionAge {
                opened_at: now,
                last_byte_at: now,
            },
            reused: false,
            _permit: permit,
        })
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, peer: &Peer, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.age.last_byte_at = Instant::now();
        connection.reused = true;
        let mut table = self.table.lock();
        table
            .heard_at
            .insert(peer.clone(), connection.age.last_byte_at);
        let idle = table.idle.entry(peer.clone()).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
            return;
        }
        drop(table);
        drop(connection);
    }

    /// Whether a whole answer came from there since `since`.
    #[must_use]
    pub fn is_heard(&self, peer: &Peer, since: Instant) -> bool {
        let table = self.table.lock();
        table.heard_at.get(peer).is_some_and(|at| *at > since)
    }

    /// Time for which a connection may be silent after a request.
    #[must_use]
    pub fn patience(&self, typical: Duration) -> Duration {
        self.table.lock().trust.first_byte_timeout(typical)
    }

    /// Takes in that a connection was silent since it was given a request.
    pub fn silent(&self, peer: &Peer, since: Instant) {
        self.table.lock().trust.mark_unresponsive(&peer.name, since);
    }

    /// Closes connections that nothing trusts any more.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut table = self.table.lock();
        table.trust.expire(now);
        table
            .heard_at
            .retain(|_, at| now.duration_since(*at) < HEARD_MEMORY);
        let Table { idle, trust, .. } = &mut *table;
        let plain = Work::new(world::Class::Short, balancer::Fingerprint(0));
        for (peer, connections) in idle.iter_mut() {
            let keeps = |c: &mut Connection| {
                c.sender.is_closed() || !trust.allows(now, &peer.name, c.age, &plain)
            };
            dropped.extend(connections.extract_if(.., keeps));
        }
        idle.retain(|_, connections| !connections.is_empty());
        drop(table);
        drop(dropped);
    }
}

impl Table {
    /// The connection used last that is trusted, and those that are not.
    fn take(
        &mut self,
        now: Instant,
        peer: &Peer,
        work: &Work,
    ) -> (Option<Connection>, Vec<Connection>) {
        let mut dropped = Vec::new();
        let Some(idle) = self.idle.get_mut(peer) else {
            return (None, dropped);
        };
        while let Some(connection) = idle.pop() {
            let trusted = self.trust.allows(now, &peer.name, connection.age, work);
            if trusted && !connection.sender.is_closed() {
                return (Some(connection), dropped);
            }
            // Work that may run only once is choosier than the rest.
            if !connection.sender.is_closed() && !work.idempotent {
                idle.push(connection);
                return (None, dropped);
            }
            dropped.push(connection);
        }
        (None, dropped)
    }
}
