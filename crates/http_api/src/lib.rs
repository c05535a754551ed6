//! What the desks of all roles share: refusals, keys and the server's start.

pub mod refusal;
pub mod server;

pub use refusal::Refusal;
pub use server::{header, start};

/// Header with a customer's or an operator's key.
pub const KEY_HEADER: &str = "x-waxwing-key";

/// Header with the proof of the deployment's secret, as hex.
pub const SECRET_HEADER: &str = "x-waxwing-secret";

/// Largest body that a desk takes, bytes: both lists of a large site.
pub const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;
