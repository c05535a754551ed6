//! Idempotency keys: runs each non-idempotent operation at most once.
//!
//! [`Ledger`] is a deterministic state machine whose commands are replicated to a
//! majority of replicas. [`Coordinator`] runs on the entry VM: it begins an operation
//! in the ledger, sends it to a backend server, and stores the response before
//! the client receives its first byte. [`LedgerClient`] and [`Dispatch`] connect
//! both to the network; the crate itself does no I/O.

pub mod answer;
pub mod client;
pub mod clock;
pub mod coordinator;
pub mod dispatch;
pub mod ledger;
pub mod limits;
pub mod operation;
pub mod request;
mod spent_keys;
mod usage;

pub use answer::{Header, Storable, StoredAnswer};
pub use client::LedgerClient;
pub use clock::LedgerClock;
pub use coordinator::{Coordinator, Job, OperationOutcome, Timeouts};
pub use dispatch::{Dispatch, DispatchResult, ExecutionGrant};
pub use ledger::Ledger;
pub use limits::Limits;
pub use operation::{AttemptId, OperationId, OperationKey, RequestDigest};
pub use request::{Command, Request, Response};
