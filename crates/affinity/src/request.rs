//! What is asked of a [`crate::Spread`], and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use world::{Place, RegionName, ServerName, ServiceName};

/// A request that wants a backend server.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Hash of the object that it concerns, where servers remember objects.
    pub object: Option<u64>,
    /// Whether its answer is large, so that its way counts.
    pub large: bool,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerName],
    /// Regions that may serve it; empty: all.
    pub homes: &'a [RegionName],
    /// Time in which an answer is still of use.
    pub left: Duration,
}

/// A backend server that was picked. Its slot is held until [`crate::Spread::end`].
#[derive(Clone, Debug)]
pub struct Pick {
    /// Service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// Its address.
    pub addr: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Its start, Unix milliseconds.
    pub born_ms: u64,
    /// Expected time to the answer, milliseconds.
    pub expected_ms: u64,
    /// Place of the server in the order for the object; 0 is the first.
    pub rank: usize,
    /// Whether the server is cold.
    pub cold: bool,
    /// Age of the server's last load report, milliseconds.
    pub report_age_ms: Option<u64>,
}

/// No server takes the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full {
    /// When there will be room, milliseconds.
    pub retry_after_ms: u32,
    /// Servers that could have been asked.
    pub candidates: usize,
}

/// A load report of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// How long work takes now, relative to the usual time, percent.
    pub pace_percent: u32,
}

/// How a send to a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It said that it did not run the request.
    NotRun,
    /// Another server stands at the address.
    Replaced,
    /// Nothing was sent: the connection was refused.
    Refused,
    /// Nothing was sent: no connection came about in time.
    Unreached,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer came in time.
    Silent,
    /// The caller left, or another send won.
    Dropped,
}

impl End {
    /// The end as it stands in logs and metrics.
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
