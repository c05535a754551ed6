//! Machines: the system's entry VMs, and the backend servers that they forward requests to.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{MachineName, ServerName, ServiceName};
use crate::zone::Place;

/// A VM of the system that admits client requests and forwards them to backend servers.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryVm {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Region and failure domain of the machine.
    pub place: Place,
    /// Address that accepts client requests.
    pub front_addr: SocketAddr,
    /// Address of the HTTP API for lookups, announcements and operators.
    pub desk_addr: SocketAddr,
    /// Address that accepts connections of the system's other processes.
    pub link_addr: SocketAddr,
}

/// Whether a machine accepts new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The machine accepts new requests.
    #[default]
    Serving,
    /// The machine finishes its running requests and gets no new ones.
    Draining,
}

/// Load as reported by a backend server; the report may be outdated or wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that were accepted but not started.
    pub queued: u32,
    /// Age of the report in milliseconds at the time it was sent.
    pub age_ms: u64,
}

/// A backend server, as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique in the site.
    pub name: ServerName,
    /// Service that the server provides.
    pub service: ServiceName,
    /// Region and failure domain of the machine.
    pub place: Place,
    /// Address that accepts requests.
    pub addr: SocketAddr,
    /// Number of requests that the server can run at once.
    pub slots: u32,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
    /// Number that increases with each start of the server process.
    pub incarnation: u64,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub lifecycle: Lifecycle,
    /// The server's latest load report.
    #[serde(default)]
    pub load: Load,
}
