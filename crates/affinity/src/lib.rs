//! Load balancing with object affinity over the backend servers of a service.
//!
//! Every entry VM chooses servers on its own and connects to them directly, so
//! a request takes one hop. An object is the data that a request names, known here
//! by its hash. All entry VMs compute the same region and the same order of servers
//! for an object by hashing. A server that processed an object recently is several
//! times as fast on it, so requests for an object go to few servers, and to others
//! only when waiting there would cost more than processing the object anew.

pub mod affinity_balancer;
pub mod cold;
pub mod estimate;
pub mod limit;
mod limit_division;
pub mod request;
mod restrictions;
mod retry_after;
pub mod round_trip;
pub mod server;
pub mod service;
pub mod settings;
pub mod shares;

pub use affinity_balancer::AffinityBalancer;
pub use request::{AttemptEnd, Choice, Full, Report, Request};
pub use settings::Settings;
