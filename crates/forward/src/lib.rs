//! The entry VM of a routed site: takes requests of callers, finds their
//! route, and has them answered by a backend server.
//!
//! How requests and answers look on the wire is the business of a [`Dialect`];
//! everything here speaks of [`Call`]s and [`Reply`]s.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod connection;
pub mod dialect;
pub mod explain;
pub mod follow;
pub mod front;
pub mod large;
pub mod pace;
pub mod path;
pub mod pause;
pub mod pool;
mod refusal;
pub mod state;
pub mod stats;
mod tries;

pub use body::AnswerBody;
pub use dialect::{Call, Dialect, Hop, Reply};
pub use follow::Follow;
pub use state::{Settings, State};
pub use stats::Stats;
