//! What the ledger is asked and what it replies.

use serde::{Deserialize, Serialize};
use world::{Error, Kind};

use crate::answer::StoredAnswer;
use crate::ledger::Ledger;
use crate::operation::{AttemptId, OperationId, RequestDigest};

/// A question to the ledger. All but `Look` change it and are replicated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// How an operation stands.
    Look {
        /// Operation.
        id: OperationId,
        /// Request that the caller sent with the key.
        digest: RequestDigest,
    },
    /// Asks for the right to run an operation.
    Begin {
        /// Operation.
        id: OperationId,
        /// Request that the caller sent with the key.
        digest: RequestDigest,
        /// Attempt that the right is for.
        attempt: AttemptId,
        /// Ledger time that the asker last heard, milliseconds.
        asked_ms: u64,
        /// Time within which an answer is expected, milliseconds.
        run_ms: u64,
    },
    /// Stores the answer. `None`: it is too large to keep.
    Finish {
        /// Operation.
        id: OperationId,
        /// Attempt that ran it.
        attempt: AttemptId,
        /// Answer.
        answer: Option<StoredAnswer>,
    },
    /// The attempt was not sent, or was provably not run, and never will be.
    Abandon {
        /// Operation.
        id: OperationId,
        /// Attempt.
        attempt: AttemptId,
        /// Ledger time that stood in its last `Begin`, milliseconds.
        asked_ms: u64,
    },
    /// The attempt was sent and no answer came.
    Lose {
        /// Operation.
        id: OperationId,
        /// Attempt.
        attempt: AttemptId,
    },
}

impl Request {
    /// Whether it changes the ledger and so has to be replicated.
    #[must_use]
    pub fn changes(&self) -> bool {
        !matches!(self, Self::Look { .. })
    }
}

/// A request with the leader's stamp, as it stands in the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Ledger time, milliseconds.
    pub now_ms: u64,
    /// Request.
    pub request: Request,
}

/// What the ledger replies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The key is new, or its last attempt did not run.
    Free {
        /// Ledger time, milliseconds.
        now_ms: u64,
    },
    /// The attempt may run the operation.
    Granted {
        /// Number that grows with each right.
        fence: u64,
    },
    /// An attempt is running.
    Running,
    /// An attempt was begun and its outcome is not known.
    Unknown,
    /// The operation ran; this is its answer.
    Done(StoredAnswer),
    /// The operation ran; its answer was too large to keep.
    NotKept,
    /// The key was used with another request.
    Reused,
    /// The key is older than answers are kept.
    Expired,
    /// The ledger is at a bound and takes no new operation.
    Full,
    /// The `Begin` took too long to arrive; ask again with this ledger time.
    Stale {
        /// Ledger time, milliseconds.
        now_ms: u64,
    },
    /// `Finish`, `Abandon` or `Lose` is done.
    Accepted,
    /// The attempt doesn't hold the operation.
    Refused,
}

/// Gives a type the ledger's own encoding, postcard.
macro_rules! encoded {
    ($($kind:ident: $what:literal;)+) => {$(
        impl $kind {
            /// Encodes it.
            ///
            /// # Errors
            /// [`Kind::Internal`] when it can't be encoded.
            pub fn to_bytes(&self) -> Result<Vec<u8>, Error> {
                postcard::to_stdvec(self)
                    .map_err(|e| Error::new(Kind::Internal, format!("encode {}: {e}", $what)))
            }

            /// Decodes it.
            ///
            /// # Errors
            /// [`Kind::Damaged`] when the bytes hold none.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
                postcard::from_bytes(bytes)
                    .map_err(|e| Error::new(Kind::Damaged, format!("decode {}: {e}", $what)))
            }
        }
    )+};
}

encoded! {
    Command: "ledger command";
    Ledger: "ledger";
    Reply: "ledger reply";
    Request: "ledger request";
}
