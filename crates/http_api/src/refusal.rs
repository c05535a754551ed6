//! Body of an error response of the HTTP APIs.

use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use world::{Error, ErrorKind};

/// Body of the response to a refused request.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct Refusal {
    /// Code of the error kind.
    pub error: String,
    /// Whether the request was executed: `not run`, `unknown` or `ran`.
    pub ran: String,
    /// Time to wait before the request is sent again, milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Cause of the refusal, as text for people.
    pub detail: String,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let response = error.kind.response();
        Self {
            error: response.code.into(),
            ran: response.ran.as_str().into(),
            retry_after_ms: response.retry_after_ms,
            detail: error.detail,
        }
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Self {
        let kind = match error.status_code.as_u16() {
            413 => ErrorKind::TooLarge,
            400..=499 => ErrorKind::BadRequest,
            _ => ErrorKind::Internal,
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
        let kind = ErrorKind::from_code(&self.error).unwrap_or(ErrorKind::Internal);
        ErrorStatusCode::from_u16(kind.response().status)
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
