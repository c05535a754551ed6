//! The entry role: answers look-ups, admits requests and forwards them.
//!
//! `ask`, `answer` and `body` know the encoding of requests; the decisions are
//! taken by the tables in [`state`].

pub mod ahead;
pub mod answer;
pub mod arrival;
pub mod ask;
pub mod attempt;
pub mod body;
pub mod booking;
pub mod credits;
pub mod crossing;
pub mod desk;
pub mod flow;
pub mod front;
pub mod gate;
pub mod gossip;
pub mod headers;
pub mod metrics;
pub mod notices;
pub mod path;
pub mod place;
pub mod pool;
pub mod pull;
pub mod serve;
pub mod shares;
pub mod site;
pub mod slot;
pub mod start;
pub mod state;
pub mod steering;
pub mod tend;
pub mod traffic;
pub mod tries;

pub use start::{Entry, start};
pub use state::State;
