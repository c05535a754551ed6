//! Identifiers of operations, their requests and the attempts to run them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};
use world::{CustomerName, Error, ErrorKind};

/// Longest allowed idempotency key, bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Length of an [`AttemptId`], bytes.
const ATTEMPT_ID_BYTES: usize = 16;

/// An idempotency key, chosen by the client.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperationKey(Arc<str>);

impl OperationKey {
    /// Validates a key.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] unless it has 1 to [`KEY_MAX_BYTES`] visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, Error> {
        let fits = (1..=KEY_MAX_BYTES).contains(&text.len());
        if fits && text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text.into()));
        }
        Err(Error::new(
            ErrorKind::BadRequest,
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

/// Identifies an operation. Equal keys of different customers are different
/// operations.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OperationId {
    /// Customer of the operation.
    pub customer: CustomerName,
    /// Idempotency key of the operation.
    pub key: OperationKey,
}

impl OperationId {
    /// Creates an id from customer and key.
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

/// SHA-256 digest of a request's method, service, path, query and body.
#[serde_as]
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(#[serde_as(as = "Bytes")] [u8; 32]);

impl RequestDigest {
    /// Computes the digest; `target` is the service with path and query.
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

/// Identifies one attempt to run an operation; an id is never reused.
#[serde_as]
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AttemptId(#[serde_as(as = "Bytes")] [u8; ATTEMPT_ID_BYTES]);

impl AttemptId {
    /// Creates a random id, so that ids don't repeat after a restart.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Creates an id from a number, for repeatable tests.
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
