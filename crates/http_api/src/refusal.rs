//! The answer to a call that a desk refuses.

use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use world::{Error, Kind};

/// A refusal, as callers and operators get it.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct Refusal {
    /// Code of the error kind.
    pub error: String,
    /// `not run`, `unknown` or `ran`.
    pub ran: String,
    /// When to send again, milliseconds.
    pub retry_after_ms: Option<u32>,
    /// What happened, for people.
    pub detail: String,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let answer = error.kind.answer();
        Self {
            error: answer.code.into(),
            ran: answer.ran.as_str().into(),
            retry_after_ms: answer.retry_after_ms,
            detail: error.detail,
        }
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Self {
        let kind = match error.status_code.as_u16() {
            413 => Kind::TooLarge,
            400..=499 => Kind::BadRequest,
            _ => Kind::Internal,
        };
        Self::from(Error::new(kind, error.external_message))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error, self.detail)
    }
}

impl HttpResponseError for Refusal {
    fn status_code(&self) -> ErrorStatusCode {
        let kind = Kind::from_code(&self.error).unwrap_or(Kind::Internal);
        ErrorStatusCode::from_u16(kind.answer().status)
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
