//! The entry VM of a routed site: a reverse proxy that matches client requests
//! to routes and forwards them to backend servers.
//!
//! A [`Dialect`] decodes and encodes request and response headers; the rest of
//! the crate works on [`RequestHead`]s and [`ResponseHead`]s.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod catalog_copy;
pub mod connection;
pub mod crashes;
pub mod dialect;
pub mod feed_link;
pub mod findings;
pub mod follow;
pub mod front;
pub mod handler;
pub mod head_limit;
pub mod large;
pub mod memory;
pub mod metrics;
pub mod pace;
pub mod pool;
mod refusal;
mod request_body;
pub mod request_log;
mod restrictions;
mod retry;
pub mod shutdown;
pub mod state;
pub mod transfer;

pub use body::ResponseBody;
pub use dialect::{AttemptHead, Dialect, RequestHead, ResponseHead, Restrictions};
pub use follow::ControlFollower;
pub use metrics::Metrics;
pub use shutdown::Shutdown;
pub use state::{Settings, State};
