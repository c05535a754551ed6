//! Ledger of non-idempotent operations: each runs at most once.
//!
//! [`Ledger`] is a deterministic state machine whose commands are replicated
//! to a majority of replicas. [`Steward`] is the entry VM's side: it begins an
//! operation, hands it to a backend server, and stores the answer before the
//! caller sees its first byte. Both speak through [`LedgerClient`] and
//! [`Dispatch`], and know no sockets.

pub mod answer;
pub mod client;
pub mod clock;
pub mod dispatch;
pub mod ledger;
pub mod limits;
pub mod operation;
pub mod request;
mod spent;
pub mod steward;
mod usage;

pub use answer::{Header, Keep, StoredAnswer};
pub use client::LedgerClient;
pub use clock::LedgerClock;
pub use dispatch::{Dispatch, Right, Sent};
pub use ledger::Ledger;
pub use limits::Limits;
pub use operation::{AttemptId, OperationId, OperationKey, RequestDigest};
pub use request::{Command, Reply, Request};
pub use steward::{Job, Settled, Steward, Waits};
