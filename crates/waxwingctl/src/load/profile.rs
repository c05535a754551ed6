//! Description of a load run.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use world::ServiceName;

/// Default deadline of a stream's requests, milliseconds after they are due.
const DEFAULT_DEADLINE_MS: u64 = 1_000;

/// A stream of similar requests to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name in the report.
    pub name: String,
    /// Service that is requested.
    pub service: ServiceName,
    /// Path after the service name, optionally with a query.
    #[serde(default = "root_path")]
    pub path: String,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Whether each request is an operation with its own idempotency key.
    #[serde(default)]
    pub operation: bool,
    /// Keys of customers; each request uses a random one.
    pub keys: Vec<String>,
    /// Time from when a request is due to its deadline, milliseconds.
    pub deadline_ms: u64,
}

/// Description of a load run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// API addresses of the entry VMs that serve lookups.
    pub desks: Vec<SocketAddr>,
    /// IP addresses passed in lookups, with a simulated client for each; empty for
    /// a single client without a given address.
    #[serde(default)]
    pub clients: Vec<IpAddr>,
    /// Length of the run, seconds.
    pub duration_s: f64,
    /// Seed of the random arrival times and keys.
    pub seed: u64,
    /// Streams, which run in parallel.
    pub streams: Vec<Stream>,
}

impl Stream {
    /// Creates a stream of requests to the root path of a service.
    #[must_use]
    pub fn new(service: ServiceName, rate_per_s: f64, keys: Vec<String>) -> Self {
        Self {
            name: service.to_string(),
            service,
            path: root_path(),
            rate_per_s,
            operation: false,
            keys,
            deadline_ms: DEFAULT_DEADLINE_MS,
        }
    }

    /// Sets the name and the path.
    #[must_use]
    pub fn with_path(mut self, name: &str, path: &str) -> Self {
        name.clone_into(&mut self.name);
        path.clone_into(&mut self.path);
        self
    }

    /// Sets the time from when a request is due to its deadline, milliseconds.
    #[must_use]
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Makes each request an operation with its own idempotency key.
    #[must_use]
    pub fn with_operations(mut self) -> Self {
        self.operation = true;
        self
    }
}

impl Profile {
    /// Creates a run without streams; `desks` are API addresses of entry VMs.
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

    /// Sets the streams.
    #[must_use]
    pub fn with_streams(mut self, streams: Vec<Stream>) -> Self {
        self.streams = streams;
        self
    }

    /// Sets `count` clients, each with an address in a /16 block of its own.
    #[must_use]
    pub fn with_clients(mut self, count: u8) -> Self {
        self.clients = (0..count).map(|n| IpAddr::from([10, n, 0, 1])).collect();
        self
    }

    /// Length of the run; zero if `duration_s` is not a valid duration.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.duration_s).unwrap_or_default()
    }
}

fn root_path() -> String {
    "/".into()
}
