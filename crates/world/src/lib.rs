//! Domain model: machines, zones, links between regions, and contracts.
//!
//! This crate opens no sockets and defines no message encoding. All other
//! crates use its types, its closed list of error kinds ([`kind`]) and its
//! lock order ([`lock`]).

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

/// A `Result` whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
