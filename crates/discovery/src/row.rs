//! Rows of the registry.

use std::net::SocketAddr;

use crate::finding::{Finding, FindingKey};
use serde::{Deserialize, Serialize};
use world::{MachineName, Place, ServerName, ServiceName};

/// Announced data of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRow {
    /// Name, unique among running servers.
    pub name: ServerName,
    /// Service that the server provides.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Region and failure domain.
    pub place: Place,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server wants no new requests.
    pub draining: bool,
    /// How long the server stays cold from the announcement on, milliseconds.
    pub cold_ms: u64,
    /// Start time of the incarnation, Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
}

/// Announced data of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Address for clients.
    pub front: SocketAddr,
    /// Region and failure domain.
    pub place: Place,
    /// Whether the entry VM is shutting down, so that clients should use others.
    pub leaving: bool,
    /// Used share of the machine's network link, percent.
    pub busy_percent: u32,
    /// Start time of the incarnation, Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
}

/// Announced data of a control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRow {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Address for connections from other processes of the site.
    pub link: SocketAddr,
    /// Region and failure domain.
    pub place: Place,
    /// Start time of the incarnation, Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
}

/// A row of the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Row {
    /// A backend server.
    Server(ServerRow),
    /// An entry VM.
    Entry(EntryRow),
    /// A control VM.
    Control(ControlRow),
    /// A finding of an entry VM.
    Finding(Finding),
}

/// Identifies a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// A backend server.
    Server(ServerName),
    /// An entry VM.
    Entry(MachineName),
    /// A control VM.
    Control(MachineName),
    /// A finding of an entry VM.
    Finding(FindingKey),
}

/// A row as sent to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The row.
    pub row: Row,
    /// Age of the announcement, milliseconds.
    pub age_ms: u64,
    /// Whether the sender considers the machine or server lost.
    pub lost: bool,
}

impl Row {
    /// Returns the key of the row.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Server(row) => Key::Server(row.name.clone()),
            Self::Entry(row) => Key::Entry(row.name.clone()),
            Self::Control(row) => Key::Control(row.name.clone()),
            Self::Finding(finding) => Key::Finding(finding.key()),
        }
    }

    /// Returns the start time and sequence number of the announcement. Of two rows
    /// with the same key the one with the greater pair is newer.
    #[must_use]
    pub fn order(&self) -> (u64, u64) {
        match self {
            Self::Server(row) => (row.born_ms, row.sequence),
            Self::Entry(row) => (row.born_ms, row.sequence),
            Self::Control(row) => (row.born_ms, row.sequence),
            // Findings are compared by Finding::replaces instead.
            Self::Finding(_) => (0, 0),
        }
    }

    /// Returns whether the row is a finding.
    #[must_use]
    pub fn is_finding(&self) -> bool {
        matches!(self, Self::Finding(_))
    }

    /// Returns whether the change from `old` to this row matters to entry VMs, apart from
    /// how long a server stays cold. Most announcements change only the sequence number.
    pub(crate) fn is_relevant_change_from(&self, old: &Self) -> bool {
        match (self, old) {
            (Self::Server(new), Self::Server(old)) => {
                new.born_ms != old.born_ms
                    || new.addr != old.addr
                    || new.slots != old.slots
                    || new.draining != old.draining
            }
            (Self::Entry(new), Self::Entry(old)) => new.leaving != old.leaving,
            (Self::Control(new), Self::Control(old)) => new.link != old.link,
            _ => true,
        }
    }
}
