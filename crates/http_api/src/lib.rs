//! Parts shared by the HTTP APIs of control VMs and entry VMs: start of the
//! server, header names and error responses.

pub mod refusal;
pub mod server;

pub use refusal::Refusal;
pub use server::{header, start};

/// Header that carries a customer's or an operator's key.
pub const KEY_HEADER: &str = "x-waxwing-key";

/// Header that carries a SHA-256 digest made with the deployment's secret, as hex,
/// which proves that the sender knows the secret.
pub const SECRET_HEADER: &str = "x-waxwing-secret";

/// Maximum size of a request body, bytes. It must hold the customer list and
/// the plan list of a large site.
pub const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;
