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
pub mod status;
pub mod unit;
pub mod zone;

pub use config::{Action, Change, Config, Drain};
pub use contract::{
    Class, Contract, ContractBook, Customer, Lists, Operator, Plan, Service, ServiceQuota,
};
pub use key::{KeyDigest, Secret};
pub use kind::{Error, ErrorKind, ErrorResponse, RunStatus};
pub use link::Link;
pub use lock::{LockRank, RankedMutex};
pub use machine::{BackendServer, EntryVm, Lifecycle, Load};
pub use name::{
    ChangeId, CustomerName, DomainName, HostName, MachineName, PlanName, RegionName, RouteName,
    ServerName, ServiceName,
};
pub use route::{RequestKind, RequestLimits, Route, ServiceTerms, WeightedService};
pub use status::FINAL_STATUSES;
pub use zone::{FailureDomain, Place, Region, Zones};

/// A `Result` whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
