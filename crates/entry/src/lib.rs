//! The entry role: handles lookups, admits requests and forwards them to backend
//! servers.
//!
//! `inbound`, `forwarded`, `attempt`, `operations`, `body` and `refusal` read and write
//! HTTP; admission and the choice of a server are decided on the tables in [`state`].

pub mod admission_control;
pub mod api;
pub mod attempt;
pub mod body;
pub mod client_shift;
pub mod config_sync;
pub mod credits;
pub mod cross_vm;
pub mod destination;
pub mod forwarded;
pub mod front;
pub mod gossip;
pub mod handler;
pub mod headers;
pub mod inbound;
pub mod link_handler;
pub mod maintenance;
pub mod metrics;
pub mod newer_version;
pub mod open_attempt;
pub mod operations;
pub mod pool;
pub mod refusal;
pub mod retry;
pub mod shares;
pub mod site;
pub mod slot;
pub mod start;
pub mod state;
pub mod status_notices;
pub mod traffic;

pub use start::{Entry, start};
pub use state::State;
