//! Routes of a routed site: which requests go to which services, and under which limits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{HostName, RegionName, RouteName, ServiceName};

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may run any number of times.
    Safe,
    /// The request must run at most once.
    Unsafe,
    /// The request may run any number of times, and its response is large.
    Download,
}

impl RequestKind {
    /// Whether running the request more than once is harmless.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }

    /// Returns the kind as text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Download => "download",
        }
    }
}

/// A service of a route, with its share of the route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Maps requests for a host and a path prefix to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name, unique in the site.
    pub name: RouteName,
    /// Host that the route matches.
    pub host: HostName,
    /// Path prefix that the route matches.
    pub prefix: Arc<str>,
    /// Whether the requests may be run more than once.
    pub kind: RequestKind,
    /// Timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// Response time in milliseconds up to which a response counts as on time.
    pub target_ms: u64,
    /// Priority; 0 is the highest, while in [`crate::contract::Plan::priority`] it is the lowest.
    pub priority: u32,
    /// Maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether backend servers keep state for the object that a request names, so that
    /// requests for the same object should reach the same servers.
    pub sticky: bool,
    /// Regions that may serve the route; if empty, all regions may.
    pub homes: Vec<RegionName>,
    /// Services that share the route's requests; at least one.
    pub parts: Vec<WeightedService>,
}

/// Capacity and health check of a routed service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check on a backend server.
    pub health_path: Arc<str>,
    /// Maximum number of connections that a backend server accepts from all clients together.
    pub connections: u32,
    /// Time in milliseconds that a backend server takes to warm up after a start.
    pub warmup_ms: u64,
    /// Requests per second that a backend server can handle while it warms up.
    pub cold_per_s: f64,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Maximum size of a request's header section in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request's header section, in milliseconds.
    pub header_ms: u64,
    /// Idle timeout of a client connection in milliseconds.
    pub idle_ms: u64,
}
