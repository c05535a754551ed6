//! The entry role: answers look-ups, admits requests and forwards them.
//!
//! `ask`, `answer` and `body` know the encoding of requests; the decisions are
//! taken by the tables in [`state`].

pub mod answer;
pub mod ask;
pub mod back;
pub mod body;
pub mod booking;
pub mod desk;
pub mod front;
pub mod leases;
pub mod members;
pub mod path;
pub mod pull;
pub mod serve;
pub mod start;
pub mod state;

pub use start::{Entry, start};
pub use state::State;
