//! Requests to be balanced, tickets for their slots, and their outcomes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::{Class, Error, ErrorKind, ServerName, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// Hash that identifies equal requests to a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request's parts; their order matters.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

/// Writes 16 hexadecimal digits, as they appear in logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request that needs a slot of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
    /// Expected duration class.
    pub class: Class,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the work must run alone on its server, because the work may crash the
    /// server.
    pub alone: bool,
    /// Servers of earlier attempts, which must not get the work again.
    pub avoid: Vec<ServerName>,
}

impl Work {
    /// Creates idempotent work without earlier attempts.
    #[must_use]
    pub fn new(class: Class, fingerprint: Fingerprint) -> Self {
        Self {
            class,
            idempotent: true,
            fingerprint,
            alone: false,
            avoid: Vec::new(),
        }
    }

    /// Sets whether the work is idempotent.
    #[must_use]
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// Sets whether the work must run alone on its server.
    #[must_use]
    pub fn with_alone(self, alone: bool) -> Self {
        Self { alone, ..self }
    }

    /// Adds a server that must not get the work.
    #[must_use]
    pub fn with_avoid(mut self, server: ServerName) -> Self {
        self.avoid.push(server);
        self
    }
}

/// One slot of a backend server, taken from dispatch until the outcome.
///
/// A ticket can't be cloned and [`crate::Fleet::done`] consumes it, so a slot
/// is returned only once.
#[derive(Debug)]
#[must_use = "the slot stays taken until the ticket is returned"]
pub struct Ticket {
    /// Number of the ticket, unique in its fleet.
    pub(crate) id: u64,
    /// Service of the work.
    pub(crate) service: ServiceName,
    /// Name of the chosen server.
    pub(crate) server: ServerName,
    /// Address of the chosen server.
    pub(crate) addr: SocketAddr,
    /// Incarnation of the server at dispatch.
    pub(crate) incarnation: u64,
    /// When the slot was taken.
    pub(crate) started_at: Instant,
}

impl Ticket {
    /// Name of the chosen server.
    #[must_use]
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Address of the chosen server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Incarnation of the chosen server at dispatch.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the slot was taken.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }
}

/// One connection to a backend server, counted from before it is opened until it is closed.
#[derive(Debug)]
#[must_use = "the connection counts until the ticket is returned"]
pub struct ConnectionTicket {
    pub(crate) service: ServiceName,
    pub(crate) server: ServerName,
    pub(crate) incarnation: u64,
}

/// A crash of a backend server and the work that ran on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Id of the crash: a hash of the server's name and incarnation.
    pub id: u64,
    /// Fingerprints of the work that ran, sorted, without duplicates.
    pub ran: Vec<Fingerprint>,
}

impl Crash {
    /// Creates the crash of one incarnation of a server; `None` when nothing ran.
    #[must_use]
    pub fn new(server: &ServerName, incarnation: u64, mut ran: Vec<Fingerprint>) -> Option<Self> {
        ran.sort_unstable();
        ran.dedup();
        let parts = [server.as_str().as_bytes(), &incarnation.to_le_bytes()];
        let id = Fingerprint::of(&parts).0;
        (!ran.is_empty()).then_some(Self { id, ran })
    }
}

/// How an attempt on a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete response arrived.
    Answered,
    /// The server refused the work before running it.
    Shed {
        /// Time after which the server accepts new requests, milliseconds.
        retry_after_ms: u64,
    },
    /// The server returned an error, or its response was truncated or belonged to
    /// another request.
    Failed,
    /// The deadline passed while the server had the work.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost after the work was sent.
    ConnectionLost,
    /// The client disconnected, or another attempt finished first.
    Cancelled,
}

impl Outcome {
    /// Whether the outcome counts as a failure of the server.
    #[must_use]
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Failed | Self::TimedOut | Self::ConnectFailed | Self::ConnectionLost
        )
    }
}

/// Why the work got no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSlot {
    /// No server of the service accepts new work.
    NoServer,
    /// No server that accepts the work has a slot open to it now; one will become free.
    Busy,
}

impl From<NoSlot> for Error {
    fn from(no_slot: NoSlot) -> Self {
        match no_slot {
            NoSlot::NoServer => Self::new(ErrorKind::NoServer, "no backend server takes new work"),
            NoSlot::Busy => Self::new(ErrorKind::Overloaded, "every slot is taken"),
        }
    }
}
