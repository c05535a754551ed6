//! The things the system speaks of: machines, zones, links and contracts.
//!
//! Nothing here knows a socket or an encoding of messages. Every other crate
//! builds on these objects, on the closed list of error kinds in [`kind`] and
//! on the lock order in [`lock`].

pub mod config;
pub mod contract;
pub mod key;
pub mod kind;
pub mod link;
pub mod lock;
pub mod machine;
pub mod name;
pub mod route;
pub mod unit;
pub mod zone;

pub use config::{Action, Change, Config, Drain};
pub use contract::{Book, Class, Contract, Customer, Lists, Operator, Plan, Service, Use};
pub use key::{KeyDigest, Secret};
pub use kind::{Answer, Error, Kind, Ran};
pub use link::Link;
pub use lock::{Rank, Ranked};
pub use machine::{BackendServer, EntryVm, Lifecycle, Load};
pub use name::{
    ChangeId, CustomerName, DomainName, HostName, MachineName, PlanName, RegionName, RouteName,
    ServerName, ServiceName,
};
pub use route::{Limits, Part, RequestKind, Route, ServiceTerms};
pub use zone::{FailureDomain, Place, Region, Zones};

/// Result with the system's own [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
