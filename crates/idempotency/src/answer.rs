//! Responses of backend servers as the ledger stores them.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// One header of a stored response.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: String,
    /// Header value, which may be other than UTF-8 text.
    #[serde_as(as = "Bytes")]
    pub value: Vec<u8>,
}

/// The complete response of a backend server to one operation.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are returned again when the client repeats the request.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Creates a stored response without headers.
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

    /// Size of headers and body, bytes.
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

/// A response that can be stored in the ledger.
pub trait Storable {
    /// The response to store, or `None` when it is larger than the ledger allows.
    fn to_stored(&self) -> Option<StoredAnswer>;
}

impl Storable for StoredAnswer {
    fn to_stored(&self) -> Option<StoredAnswer> {
        Some(self.clone())
    }
}
