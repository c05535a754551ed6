//! Parameters and results of [`crate::AffinityBalancer`].

use std::net::SocketAddr;
use std::time::Duration;

use world::{Place, RegionName, ServerName, ServiceName};

/// A request that needs a backend server.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Requested service.
    pub service: &'a ServiceName,
    /// Hash of the requested object, if servers of the service cache objects.
    pub object: Option<u64>,
    /// Whether the response is large, which favours a server in the same failure domain.
    pub large: bool,
    /// Servers that earlier attempts went to.
    pub tried: &'a [ServerName],
    /// Regions that may serve the request; all if empty.
    pub homes: &'a [RegionName],
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

impl Request<'_> {
    /// Returns whether servers of this region may serve the request.
    pub(crate) fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// The backend server chosen for an attempt. The attempt occupies a slot until
/// [`crate::AffinityBalancer::end_attempt`].
#[derive(Clone, Debug)]
pub struct Choice {
    /// Service of the server.
    pub service: ServiceName,
    /// Name of the server.
    pub server: ServerName,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Region and failure domain of the server.
    pub place: Place,
    /// Start time of the server's incarnation, Unix milliseconds.
    pub born_ms: u64,
    /// Cost by `estimate::cost_ms`, milliseconds; only for comparing servers.
    pub expected_ms: u64,
    /// Position of the server in the preference order for the object; 0 is the first.
    pub rank: usize,
    /// Whether the server is cold.
    pub cold: bool,
    /// Age of the server's last load report, milliseconds.
    pub report_age_ms: Option<u64>,
}

/// Error: no server has free capacity for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full {
    /// Expected time until a server has free capacity, milliseconds.
    pub retry_after_ms: u32,
    /// Number of servers that were considered.
    pub candidates: usize,
}

/// Load as a backend server reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Present processing time relative to the usual time, percent; a slow server
    /// reports more than 100.
    pub pace_percent: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The server responded.
    Answered,
    /// The server responded with an internal failure.
    Failed,
    /// The server responded that it did not run the request.
    NotRun,
    /// Another server uses the address now.
    Replaced,
    /// The connection was refused, so nothing was sent.
    Refused,
    /// The connection was not established in time, so nothing was sent.
    Unreached,
    /// The connection was lost after the request was sent.
    Broken,
    /// The server did not respond in time.
    Silent,
    /// The attempt was cancelled: the client disconnected, or another attempt
    /// finished first.
    Dropped,
}

impl AttemptEnd {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Dropped => "dropped",
        }
    }
}
