//! Spreads requests over the backend servers of a service.
//!
//! Every entry VM decides for itself and opens connections to every server, so
//! a request takes one hop. What makes the decisions of many entry VMs fit
//! together is computed alike by all of them: the region in which an object is
//! worked on, and the order of servers for it. A server that has worked on an
//! object lately is several times as fast, so an object stays with few servers
//! and moves on only when waiting there costs more than working anew.

pub mod cold;
pub mod estimate;
pub mod request;
pub mod server;
pub mod service;
pub mod settings;
pub mod shares;
pub mod spread;

pub use request::{End, Full, Pick, Report, Request};
pub use settings::Settings;
pub use spread::Spread;
