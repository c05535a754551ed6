//! Requests to the ledger, its responses and their postcard encoding.

use serde::{Deserialize, Serialize};
use world::{Error, ErrorKind};

use crate::answer::StoredAnswer;
use crate::ledger::Ledger;
use crate::operation::{AttemptId, OperationId, RequestDigest};

/// A request to the ledger. All but lookups change it and are replicated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// Looks up the state of an operation.
    #[serde(rename = "Look")]
    Lookup {
        /// Id of the operation.
        id: OperationId,
        /// Digest of the request that the client sent with the key.
        digest: RequestDigest,
    },
    /// Requests an execution grant for an operation.
    Begin {
        /// Id of the operation.
        id: OperationId,
        /// Digest of the request that the client sent with the key.
        digest: RequestDigest,
        /// Attempt that the grant is for.
        attempt: AttemptId,
        /// Ledger time that the sender received last, milliseconds.
        asked_ms: u64,
        /// Time within which a response is expected, milliseconds.
        run_ms: u64,
    },
    /// Stores the response of the backend server.
    Finish {
        /// Id of the operation.
        id: OperationId,
        /// Attempt that ran the operation.
        attempt: AttemptId,
        /// Response; `None` if it is too large to store.
        answer: Option<StoredAnswer>,
    },
    /// Withdraws an attempt that did not run and never will: it was not sent, or the
    /// backend server proved that it did not run it.
    Abandon {
        /// Id of the operation.
        id: OperationId,
        /// Attempt that is withdrawn.
        attempt: AttemptId,
        /// `asked_ms` of its last `Begin`, milliseconds of ledger time.
        asked_ms: u64,
    },
    /// Records that the attempt was sent and no response arrived.
    Lose {
        /// Id of the operation.
        id: OperationId,
        /// Attempt without a response.
        attempt: AttemptId,
    },
}

impl Request {
    /// Whether the request changes the ledger and so must be replicated.
    #[must_use]
    pub fn changes_ledger(&self) -> bool {
        !matches!(self, Self::Lookup { .. })
    }
}

/// A request with the leader's timestamp, as written to the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Ledger time when the leader received the request, milliseconds.
    pub now_ms: u64,
    /// Request to apply.
    pub request: Request,
}

/// Response of the ledger to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Response {
    /// The key is new, or its last attempt did not run.
    Free {
        /// Ledger time, milliseconds.
        now_ms: u64,
    },
    /// The attempt may run the operation.
    Granted {
        /// Fencing number, which grows with each grant.
        fence: u64,
    },
    /// An attempt is running.
    Running,
    /// An attempt was granted and its outcome is unknown.
    Unknown,
    /// The operation ran and returned this response.
    Done(StoredAnswer),
    /// The operation ran; its response was too large to store.
    NotKept,
    /// The key was used before with a different request.
    Reused,
    /// The key was used, and its response has expired.
    Expired,
    /// A bound is reached, so no new operation is accepted.
    Full,
    /// The `Begin` arrived too late; it may be retried with this ledger time.
    Stale {
        /// Ledger time, milliseconds.
        now_ms: u64,
    },
    /// `Finish`, `Abandon` or `Lose` was applied.
    Accepted,
    /// The attempt was abandoned, another attempt holds the grant, the operation has no
    /// entry, or an operation to abandon already has an outcome.
    Refused,
}

/// Implements the postcard encoding of a type; the label names it in errors.
macro_rules! impl_encoding {
    ($($kind:ident: $label:literal;)+) => {$(
        impl $kind {
            /// Encodes the value.
            ///
            /// # Errors
            /// [`ErrorKind::Internal`] when encoding fails.
            pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
                postcard::to_stdvec(self)
                    .map_err(|e| Error::new(ErrorKind::Internal, format!("encode {}: {e}", $label)))
            }

            /// Decodes a value.
            ///
            /// # Errors
            /// [`ErrorKind::Damaged`] when the bytes are not a valid encoding.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
                postcard::from_bytes(bytes)
                    .map_err(|e| Error::new(ErrorKind::Damaged, format!("decode {}: {e}", $label)))
            }
        }
    )+};
}

impl_encoding! {
    Command: "ledger command";
    Ledger: "ledger";
    Response: "ledger reply";
    Request: "ledger request";
}
