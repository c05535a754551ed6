//! The closed list of error kinds, and the response that each kind maps to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a failed request has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The work has not run and will not run.
    NotRun,
    /// The work may have run or may still run.
    Unknown,
    /// The work has run.
    Ran,
}

impl RunStatus {
    /// Returns the value's text in response headers and bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Response to a client for one kind of error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// Name of the kind in responses, logs and metrics.
    pub code: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the work has run.
    pub ran: RunStatus,
    /// Delay before a retry, in milliseconds; `None` if retrying the same request can't succeed.
    pub retry_after_ms: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $code:literal, $status:literal, $ran:ident, $retry:expr;)+) => {
        /// Kind of an error.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)+
        }

        impl ErrorKind {
            /// All kinds, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Returns the response for this kind.
            #[must_use]
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(Self::$kind => ErrorResponse {
                        code: $code,
                        status: $status,
                        ran: RunStatus::$ran,
                        retry_after_ms: $retry,
                    },)+
                }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest => "bad_request", 400, NotRun, None;
    /// A settings file is invalid.
    BadSettings => "bad_settings", 400, NotRun, None;
    /// The customer list or the plan list is invalid.
    BadLists => "bad_lists", 422, NotRun, None;
    /// The key belongs to no customer or operator, or the proof of the deployment's secret is
    /// missing or wrong.
    BadKey => "bad_key", 401, NotRun, None;
    /// The service is not in the plan list.
    NoSuchService => "no_such_service", 404, NotRun, None;
    /// No route matches the request's host and path.
    NoRoute => "no_route", 404, NotRun, None;
    /// This process has not received a configuration yet.
    NoConfig => "no_config", 503, NotRun, Some(300);
    /// The customer's plan doesn't include the service.
    NotInPlan => "not_in_plan", 403, NotRun, None;
    /// The customer exceeds a limit of its plan.
    OverPlan => "over_plan", 429, NotRun, Some(1_000);
    /// A capacity limit (slots, queue, connections, credits or ledger) is reached, and more
    /// important requests go first.
    Overloaded => "overloaded", 503, NotRun, Some(500);
    /// No backend server of the service accepts requests now.
    NoServer => "no_server", 503, NotRun, Some(500);
    /// The deadline passed before the request was sent to a backend server.
    DeadlineWaiting => "deadline_waiting", 504, NotRun, Some(0);
    /// The deadline passed after the request was sent to a backend server.
    DeadlineRunning => "deadline_running", 504, Unknown, Some(0);
    /// The backend server failed or closed its connection after the request was sent to it.
    ServerFailed => "server_failed", 502, Unknown, Some(100);
    /// The backend server's response was truncated or belonged to another request.
    BadAnswer => "bad_answer", 502, Unknown, Some(100);
    /// The backend server rejected the request without running it.
    ServerShed => "server_shed", 503, NotRun, Some(200);
    /// The request is refused because backend servers crash when they run it.
    Poison => "poison", 422, Unknown, Some(60_000);
    /// The request is not sent, because backend servers have crashed when they ran an equal
    /// one.
    Quarantined => "quarantined", 503, NotRun, Some(60_000);
    /// A request for a non-idempotent operation has no idempotency key.
    KeyMissing => "key_missing", 400, NotRun, None;
    /// The idempotency key was used before for a different request.
    KeyReused => "key_reused", 409, NotRun, None;
    /// The idempotency key is older than the retention time of stored responses.
    KeyExpired => "key_expired", 410, Unknown, None;
    /// The operation with this idempotency key is still running.
    StillRunning => "still_running", 409, Unknown, Some(500);
    /// The operation with this idempotency key was sent to a backend server, and its outcome
    /// is unknown.
    OutcomeUnknown => "outcome_unknown", 409, Unknown, None;
    /// The operation with this idempotency key has run, but its response was too large to store.
    AnswerNotKept => "answer_not_kept", 409, Ran, None;
    /// The ledger can't be read, so it is unknown whether the operation has run before.
    LedgerUnread => "ledger_unread", 503, Unknown, Some(1_000);
    /// The ledger can't be reached in time, so the operation was not started.
    LedgerAway => "ledger_away", 503, NotRun, Some(1_000);
    /// The change is based on another version than the current one.
    Conflict => "conflict", 409, NotRun, None;
    /// A newer order may be in effect already; one that still stands is sent again.
    Outdated => "outdated", 503, Unknown, Some(0);
    /// The change id was used before for a different change.
    ChangeIdReused => "change_id_reused", 409, NotRun, None;
    /// This replica is not the leader of its group.
    NotLeader => "not_leader", 421, NotRun, Some(200);
    /// No majority of replicas responds; a proposed change may still be committed.
    NoQuorum => "no_quorum", 503, Unknown, Some(1_000);
    /// The process serves no requests because it is starting or shutting down.
    Leaving => "leaving", 503, NotRun, Some(0);
    /// A header or body exceeds its size limit.
    TooLarge => "too_large", 413, NotRun, None;
    /// The client sends its request too slowly.
    SlowCaller => "slow_caller", 408, NotRun, Some(0);
    /// Another process can't be reached.
    Unreachable => "unreachable", 503, NotRun, Some(500);
    /// Stored or encoded data can't be read, or the storage can't be used.
    Damaged => "damaged", 500, NotRun, None;
    /// An internal error of the system.
    Internal => "internal", 500, Unknown, Some(1_000);
}

impl ErrorKind {
    /// Returns the kind whose [`ErrorResponse::code`] is `code`.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.response().code == code)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().code)
    }
}

/// An error: its kind, and a description for people.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Error {
    /// Kind, which determines the response to the client.
    pub kind: ErrorKind,
    /// Description of what happened.
    pub detail: String,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}
