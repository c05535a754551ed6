//! Rows of the roster.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use world::{MachineName, Place, ServerName, ServiceName};

/// A backend server as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRow {
    /// Name, unique among running servers.
    pub name: ServerName,
    /// Service that it offers.
    pub service: ServiceName,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it said that it gets no new work.
    pub draining: bool,
    /// How long it stayed cold from the announcement on, milliseconds.
    pub cold_ms: u64,
    /// Its start, Unix milliseconds.
    pub born_ms: u64,
    /// Number of the announcement since that start.
    pub sequence: u64,
}

/// An entry VM as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Address that takes callers.
    pub front: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Whether callers should go elsewhere.
    pub leaving: bool,
    /// Share of its link that is used, percent.
    pub busy_percent: u32,
    /// Its start, Unix milliseconds.
    pub born_ms: u64,
    /// Number of the announcement since that start.
    pub sequence: u64,
}

/// A control VM as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRow {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Address for the system's own processes.
    pub link: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Its start, Unix milliseconds.
    pub born_ms: u64,
    /// Number of the announcement since that start.
    pub sequence: u64,
}

/// Any row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Row {
    /// A backend server.
    Server(ServerRow),
    /// An entry VM.
    Entry(EntryRow),
    /// A control VM.
    Control(ControlRow),
}

/// Names a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// A backend server.
    Server(ServerName),
    /// An entry VM.
    Entry(MachineName),
    /// A control VM.
    Control(MachineName),
}

/// A row on its way to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// The row.
    pub row: Row,
    /// Age of the announcement, milliseconds.
    pub age_ms: u64,
    /// Whether the sender holds it for lost.
    pub lost: bool,
}

impl Row {
    /// Name of the row.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Server(row) => Key::Server(row.name.clone()),
            Self::Entry(row) => Key::Entry(row.name.clone()),
            Self::Control(row) => Key::Control(row.name.clone()),
        }
    }

    /// Start and number of the announcement: the greater one is newer.
    #[must_use]
    pub fn order(&self) -> (u64, u64) {
        match self {
            Self::Server(row) => (row.born_ms, row.sequence),
            Self::Entry(row) => (row.born_ms, row.sequence),
            Self::Control(row) => (row.born_ms, row.sequence),
        }
    }

    /// Whether a reader that forwards requests must learn of the step from
    /// `old` to this row, which may differ only in its number.
    pub(crate) fn differs(&self, old: &Self) -> bool {
        match (self, old) {
            (Self::Server(new), Self::Server(old)) => {
                new.born_ms != old.born_ms
                    || new.addr != old.addr
                    || new.slots != old.slots
                    || new.draining != old.draining
                    || new.cold_ms > 0
                    || old.cold_ms > 0
            }
            (Self::Entry(new), Self::Entry(old)) => new.leaving != old.leaving,
            (Self::Control(new), Self::Control(old)) => new.link != old.link,
            _ => true,
        }
    }
}
