//! The entry role: answers look-ups, admits requests and forwards them.
//!
//! `ask`, `answer` and `body` know the encoding of requests; the decisions are
//! taken by the tables in [`state`].

pub mod ahead;
pub mod answer;
pub mod ask;
pub mod back;
pub mod body;
pub mod booking;
pub mod desk;
pub mod front;
pub mod gossip;
pub mod leases;
pub mod path;
pub mod pull;
pub mod serve;
pub mod site;
pub mod start;
pub mod state;
pub mod steering;

pub use start::{Entry, start};
pub use state::State;
