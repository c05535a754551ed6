//! Connection pool for backend servers and other entry VMs.
//!
//! A connection carries one request at a time. It returns to the pool only after the
//! whole response has been read, and is trusted only for a short time after its last
//! byte.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use balancer::{ConnectionAge, ConnectionPermit, ConnectionTrust, ConnectionTrustSettings, Work};
use bytes::Bytes;
use forward::connection::READ_BUFFER_BYTES;
use forward::head_limit::{HeadLimit, HeadLimited};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use world::{Error, ErrorKind, LockRank, RankedMutex, ServerName};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections to one peer.
const IDLE_MAX: usize = 64;

/// Time for which the last response of a peer is remembered.
const RESPONSE_MEMORY: Duration = Duration::from_secs(60);

/// A process to connect to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Name of the backend server, or of the entry VM.
    pub name: ServerName,
    /// Address to connect to.
    pub addr: SocketAddr,
}

/// An HTTP/1 connection.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    /// When it was opened, and when its last byte was received.
    pub age: ConnectionAge,
    /// Whether it has carried a request before.
    pub reused: bool,
    _permit: Option<ConnectionPermit>,
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// When the connection fails; the error returns a request that was not sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await;
        self.head_limit.end();
        response
    }
}

/// Idle connections by peer.
pub struct Pool {
    table: RankedMutex<Table>,
}

struct Table {
    idle: HashMap<Peer, Vec<Connection>>,
    responded_at: HashMap<Peer, Instant>,
    trust: ConnectionTrust,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(settings: ConnectionTrustSettings) -> Self {
        let table = Table {
            idle: HashMap::new(),
            responded_at: HashMap::new(),
            trust: ConnectionTrust::new(settings),
        };
        Self {
            table: RankedMutex::new(LockRank::Connections, table),
        }
    }

    /// Takes an idle connection that may carry `work`.
    #[must_use]
    pub fn take_idle(&self, peer: &Peer, work: &Work) -> Option<Connection> {
        let (found, dropped) = self.table.lock().take_trusted(Instant::now(), peer, work);
        // Dropped connections update the fleet's counts, so they are dropped without
        // the lock.
        drop(dropped);
        found
    }

    /// Opens a connection to a peer.
    ///
    /// # Errors
    /// [`ErrorKind::NoServer`] when it can't be opened.
    pub async fn open(
        &self,
        peer: &Peer,
        permit: Option<ConnectionPermit>,
    ) -> Result<Connection, Error> {
        let failed =
            |text: String| Error::new(ErrorKind::NoServer, format!("{}: {text}", peer.name));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.addr))
            .await
            .map_err(|_| failed("no connection in time".into()))?
            .map_err(|error| failed(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let stream = HeadLimited::new(stream);
        let head_limit = stream.limit();
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
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
            head_limit,
            age: ConnectionAge {
                opened_at: now,
                last_byte_at: now,
            },
            reused: false,
            _permit: permit,
        })
    }

    /// Returns a connection to the pool after its whole response was read.
    pub fn put(&self, peer: &Peer, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.age.last_byte_at = Instant::now();
        connection.reused = true;
        let mut table = self.table.lock();
        table
            .responded_at
            .insert(peer.clone(), connection.age.last_byte_at);
        let idle = table.idle.entry(peer.clone()).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
            return;
        }
        drop(table);
        drop(connection);
    }

    /// Whether a whole response arrived from the peer after `since`.
    #[must_use]
    pub fn has_responded_since(&self, peer: &Peer, since: Instant) -> bool {
        let table = self.table.lock();
        table.responded_at.get(peer).is_some_and(|at| *at > since)
    }

    /// Time without a response after which a connection counts as unresponsive.
    #[must_use]
    pub fn unresponsive_after(&self, typical: Duration) -> Duration {
        self.table.lock().trust.first_byte_timeout(typical)
    }

    /// Records that a connection to the peer has not responded since `since`.
    pub fn report_unresponsive(&self, peer: &Peer, since: Instant) {
        self.table.lock().trust.mark_unresponsive(&peer.name, since);
    }

    /// Closes connections that are no longer trusted.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut table = self.table.lock();
        table.trust.expire(now);
        table
            .responded_at
            .retain(|_, at| now.duration_since(*at) < RESPONSE_MEMORY);
        let Table { idle, trust, .. } = &mut *table;
        // Connections may be idle for longer before idempotent work than before
        // non-idempotent work, so the limit for idempotent work decides.
        let idempotent_work = Work::new(world::Class::Short, balancer::Fingerprint(0));
        for (peer, connections) in idle.iter_mut() {
            let is_expired = |c: &mut Connection| {
                c.sender.is_closed() || !trust.allows(now, &peer.name, c.age, &idempotent_work)
            };
            dropped.extend(connections.extract_if(.., is_expired));
        }
        idle.retain(|_, connections| !connections.is_empty());
        drop(table);
        drop(dropped);
    }
}

impl Table {
    /// Takes the most recently used trusted connection; also returns the connections to
    /// drop.
    fn take_trusted(
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
            // Trust limits are stricter for non-idempotent work: the connection stays
            // in the pool for idempotent work.
            if !connection.sender.is_closed() && !work.idempotent {
                idle.push(connection);
                return (None, dropped);
            }
            dropped.push(connection);
        }
        (None, dropped)
    }
}
