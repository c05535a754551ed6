//! What a load run sends.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use world::ServiceName;

/// Deadline of a stream that is given none, milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Requests of one sort.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name in the report.
    pub name: String,
    /// Service.
    pub service: ServiceName,
    /// Path after the service, with a query if need be.
    #[serde(default = "root")]
    pub path: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Whether each is an operation with an idempotency key of its own.
    #[serde(default)]
    pub operation: bool,
    /// Keys of customers, of which each request takes one.
    pub keys: Vec<String>,
    /// Time that a caller waits, milliseconds.
    pub deadline_ms: u64,
}

/// A whole load run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Desks of entry VMs that callers ask for look-ups.
    pub desks: Vec<SocketAddr>,
    /// Addresses of the clients that look-ups are for, each a caller of its
    /// own; empty: one caller, from this machine.
    #[serde(default)]
    pub clients: Vec<IpAddr>,
    /// Length of the run, seconds.
    pub duration_s: f64,
    /// Seed of arrivals and of the choice of customers.
    pub seed: u64,
    /// What is sent.
    pub streams: Vec<Stream>,
}

impl Stream {
    /// Requests for a service at a rate, for customers with these keys.
    #[must_use]
    pub fn new(service: ServiceName, rate_per_s: f64, keys: Vec<String>) -> Self {
        Self {
            name: service.to_string(),
            service,
            path: root(),
            rate_per_s,
            operation: false,
            keys,
            deadline_ms: DEADLINE_MS,
        }
    }

    /// The same under another name and with another path.
    #[must_use]
    pub fn with_path(mut self, name: &str, path: &str) -> Self {
        name.clone_into(&mut self.name);
        path.clone_into(&mut self.path);
        self
    }

    /// The same with another deadline.
    #[must_use]
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// The same as operations with an idempotency key each.
    #[must_use]
    pub fn with_operations(mut self) -> Self {
        self.operation = true;
        self
    }
}

impl Profile {
    /// A run against these desks.
    #[must_use]
    pub fn new(desks: Vec<SocketAddr>, duration_s: f64, seed: u64) -> Self {
        Self {
            desks,
            clients: Vec::new(),
            duration_s,
            seed,
            streams: Vec::new(),
        }
    }

    /// The same with these streams.
    #[must_use]
    pub fn with_streams(mut self, streams: Vec<Stream>) -> Self {
        self.streams = streams;
        self
    }

    /// The same with this many callers, each from a client block of its own.
    #[must_use]
    pub fn with_clients(mut self, count: u8) -> Self {
        self.clients = (0..count).map(|n| IpAddr::from([10, n, 0, 1])).collect();
        self
    }

    /// Length of the run.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.duration_s).unwrap_or_default()
    }
}

fn root() -> String {
    "/".into()
}
