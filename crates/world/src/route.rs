//! Contracts of the routed kind: which requests go to which services, and on what terms.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{HostName, RegionName, RouteName, ServiceName};

/// What may be done with a request a second time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once for each request of a caller.
    Unsafe,
    /// May run any number of times; its answer is large.
    Download,
}

impl RequestKind {
    /// Whether a second run does no harm.
    #[must_use]
    pub fn repeats(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }

    /// The kind as it stands in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Download => "download",
        }
    }
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// Requests of one host and path, and where they go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name, unique in the site.
    pub name: RouteName,
    /// Host of the requests.
    pub host: HostName,
    /// Beginning of their path.
    pub prefix: Arc<str>,
    /// What may be done with them twice.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting, milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is good, milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether backend servers remember the object of a request.
    pub sticky: bool,
    /// Regions that may serve it; empty: all.
    pub homes: Vec<RegionName>,
    /// Services, at least one.
    pub parts: Vec<Part>,
}

/// Terms of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Service.
    pub name: ServiceName,
    /// Path that tells whether a backend server is well.
    pub health_path: Arc<str>,
    /// Connections that a backend server accepts from all callers together.
    pub connections: u32,
    /// Time for which a backend server stays cold after a start, milliseconds.
    pub warmup_ms: u64,
    /// Requests a second that a cold backend server bears.
    pub cold_per_s: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub header_bytes: u64,
    /// Largest body of a request, bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request, milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may stay idle, milliseconds.
    pub idle_ms: u64,
}
