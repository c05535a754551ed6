//! Work that needs a backend server, and the ticket for a slot on one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::{Class, Error, Kind, ServerName, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// Hash of what makes two requests the same request to a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request's parts, in order.
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

/// A piece of work that needs a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
    /// Expected length.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether nothing else may run beside it, as it may crash its server.
    pub alone: bool,
    /// Servers that must not get it: they had an earlier attempt.
    pub avoid: Vec<ServerName>,
}

impl Work {
    /// Idempotent work without history.
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

    /// The same work, idempotent or not.
    #[must_use]
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// The same work, run alone on its server or not.
    #[must_use]
    pub fn with_alone(self, alone: bool) -> Self {
        Self { alone, ..self }
    }

    /// The same work, kept off one more server.
    #[must_use]
    pub fn with_avoid(mut self, server: ServerName) -> Self {
        self.avoid.push(server);
        self
    }
}

/// One slot on one backend server, held from dispatch until the outcome.
///
/// It can't be cloned and is consumed by [`crate::Fleet::done`], so a slot is
/// given back once.
#[derive(Debug)]
#[must_use = "the slot stays taken until the ticket is handed back"]
pub struct Ticket {
    /// Number of the ticket, unique in its fleet.
    pub(crate) id: u64,
    /// Service.
    pub(crate) service: ServiceName,
    /// Chosen server.
    pub(crate) server: ServerName,
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Its incarnation at dispatch.
    pub(crate) incarnation: u64,
    /// When the slot was taken.
    pub(crate) started_at: Instant,
}

impl Ticket {
    /// Chosen server.
    #[must_use]
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Address of the chosen server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Incarnation of the server that was chosen.
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

/// One connection to one backend server, from before connecting until closed.
#[derive(Debug)]
#[must_use = "the connection counts until the ticket is handed back"]
pub struct ConnectionTicket {
    pub(crate) service: ServiceName,
    pub(crate) server: ServerName,
    pub(crate) incarnation: u64,
}

/// A crash of a backend server and what ran on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Number of the crash, from the server's name and incarnation.
    pub id: u64,
    /// Fingerprints of what ran, sorted, each once.
    pub ran: Vec<Fingerprint>,
}

impl Crash {
    /// The crash of one incarnation of a server; `None` when nothing ran.
    #[must_use]
    pub fn new(server: &ServerName, incarnation: u64, mut ran: Vec<Fingerprint>) -> Option<Self> {
        ran.sort_unstable();
        ran.dedup();
        let parts = [server.as_str().as_bytes(), &incarnation.to_le_bytes()];
        let id = Fingerprint::of(&parts).0;
        (!ran.is_empty()).then_some(Self { id, ran })
    }
}

/// How a piece of work ended at its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer arrived.
    Answered,
    /// The server refused before running the work.
    Shed {
        /// When it may be asked again, milliseconds.
        retry_after_ms: u64,
    },
    /// The server answered with a fault, or its answer was cut off or crossed.
    Failed,
    /// The deadline passed at the server.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke after the work was handed over.
    Broken,
    /// The caller left or another attempt won.
    Cancelled,
}

impl Outcome {
    /// Whether the server is to blame.
    #[must_use]
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Failed | Self::TimedOut | Self::ConnectFailed | Self::Broken
        )
    }
}

/// Why there is no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSlot {
    /// No server of the service takes new work.
    NoServer,
    /// Every server that could take it is full; a slot will free.
    Busy,
}

impl From<NoSlot> for Error {
    fn from(no_slot: NoSlot) -> Self {
        match no_slot {
            NoSlot::NoServer => Self::new(Kind::NoServer, "no backend server takes new work"),
            NoSlot::Busy => Self::new(Kind::Overloaded, "every slot is taken"),
        }
    }
}
