//! Errors returned to a client by the entry VM itself.

use world::{Error, ErrorKind};

/// An error for the client and the time to wait before a retry.
pub(crate) struct Refusal {
    pub error: Error,
    /// When the client may retry, milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            error: Error::new(kind, detail),
            retry_after_ms: kind.response().retry_after_ms,
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let retry_after_ms = error.kind.response().retry_after_ms;
        Self {
            error,
            retry_after_ms,
        }
    }
}
