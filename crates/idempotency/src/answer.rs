//! Answers as the ledger keeps them.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// One header of a stored answer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value, which need not be text.
    #[serde_as(as = "Bytes")]
    pub value: Vec<u8>,
}

/// The whole answer of a backend server to one operation.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that a resend gets as well.
    pub headers: Vec<Header>,
    /// Whole body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// An answer without headers.
    #[must_use]
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.headers.push(Header {
            name: name.into(),
            value: value.into(),
        });
        self
    }

    /// Bytes of headers and body.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// An answer that can be stored.
pub trait Keep {
    /// The whole answer, or `None` when it is over the ledger's bound.
    fn keep(&self) -> Option<StoredAnswer>;
}

impl Keep for StoredAnswer {
    fn keep(&self) -> Option<StoredAnswer> {
        Some(self.clone())
    }
}
