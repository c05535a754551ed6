//! What names an operation and one attempt to run it.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};
use world::{CustomerName, Error, Kind};

/// Longest idempotency key, bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Bytes of an attempt's id.
const ATTEMPT_BYTES: usize = 16;

/// An idempotency key as its caller chose it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperationKey(Arc<str>);

impl OperationKey {
    /// Checks a key.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] unless it has 1 to [`KEY_MAX_BYTES`] visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, Error> {
        let fits = (1..=KEY_MAX_BYTES).contains(&text.len());
        if fits && text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text.into()));
        }
        Err(Error::new(
            Kind::BadRequest,
            format!("idempotency key must have 1 to {KEY_MAX_BYTES} visible ASCII characters"),
        ))
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for OperationKey {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::new(&text)
    }
}

impl From<OperationKey> for String {
    fn from(key: OperationKey) -> Self {
        key.0.as_ref().into()
    }
}

/// Names an operation: keys of different customers never meet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OperationId {
    /// Customer whose operation it is.
    pub customer: CustomerName,
    /// Key that the caller chose.
    pub key: OperationKey,
}

impl OperationId {
    /// An id from its two parts.
    #[must_use]
    pub fn new(customer: CustomerName, key: OperationKey) -> Self {
        Self { customer, key }
    }

    /// First eight bytes of the SHA-256 digest of the id.
    pub(crate) fn short_digest(&self) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.customer.as_str().as_bytes());
        hash.update([0]);
        hash.update(self.key.as_str().as_bytes());
        let digest: [u8; 32] = hash.finalize().into();
        digest.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
    }
}

/// SHA-256 digest of a request's method, service, path and body.
#[serde_as]
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(#[serde_as(as = "Bytes")] [u8; 32]);

impl RequestDigest {
    /// Digest of one request; `target` is the service with path and query.
    #[must_use]
    pub fn new(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), target.as_bytes()] {
            hash.update(part);
            hash.update([0]);
        }
        hash.update(body);
        Self(hash.finalize().into())
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Names one attempt to run an operation; never used for a second one.
#[serde_as]
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AttemptId(#[serde_as(as = "Bytes")] [u8; ATTEMPT_BYTES]);

impl AttemptId {
    /// A fresh id, random so that no restart repeats one.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// An id from a number, for repeatable runs.
    #[must_use]
    pub fn from_number(number: u128) -> Self {
        Self(number.to_be_bytes())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AttemptId({self})")
    }
}
