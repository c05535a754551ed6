//! Machines: entry VMs of the system and the backend servers behind them.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{MachineName, ServerName, ServiceName};
use crate::zone::Place;

/// A VM of the system that answers look-ups and forwards requests.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryVm {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Where it stands.
    pub place: Place,
    /// Address for callers' requests.
    pub front_addr: SocketAddr,
    /// Address for look-ups, announcements and operators.
    pub desk_addr: SocketAddr,
    /// Address for the system's own processes.
    pub link_addr: SocketAddr,
}

/// What a machine wants of the system.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// Takes new work.
    #[default]
    Serving,
    /// Ends what it has and gets nothing new.
    Draining,
}

/// A backend server's own report of its load; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests it is running.
    pub running: u32,
    /// Requests it has accepted and not started.
    pub queued: u32,
    /// Age of this report when it was sent, milliseconds.
    pub age_ms: u64,
}

/// A backend server as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique in the site.
    pub name: ServerName,
    /// Service it offers.
    pub service: ServiceName,
    /// Where it stands.
    pub place: Place,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts at most.
    pub connections: u32,
    /// Number that grows with each start of the process.
    pub incarnation: u64,
    /// Whether it takes new work.
    #[serde(default)]
    pub lifecycle: Lifecycle,
    /// Its last load report.
    #[serde(default)]
    pub load: Load,
}
