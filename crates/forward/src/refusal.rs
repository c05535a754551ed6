//! What a caller hears when its request is not answered by a backend server.

use world::{Error, Kind};

/// An error for the caller, with when to come back.
pub(crate) struct Refusal {
    pub error: Error,
    /// Milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            error: Error::new(kind, detail),
            retry_after_ms: kind.answer().retry_after_ms,
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let retry_after_ms = error.kind.answer().retry_after_ms;
        Self {
            error,
            retry_after_ms,
        }
    }
}
