//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work that an answer speaks of has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It has not run and will not.
    NotRun,
    /// It may have run, or may still.
    Unknown,
    /// It has run.
    Ran,
}

impl Ran {
    /// The value as it stands in an answer's header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// What a caller is told about an error of some kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The kind in answers, logs and metrics.
    pub code: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// When to send again, milliseconds; `None`: sending the same again is of no use.
    pub retry_after_ms: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $code:literal, $status:literal, $ran:ident, $retry:expr;)+) => {
        /// Every kind of error there is.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[$doc])* $kind,)+
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// The table from kind to answer.
            #[must_use]
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        code: $code,
                        status: $status,
                        ran: Ran::$ran,
                        retry_after_ms: $retry,
                    },)+
                }
            }
        }
    };
}

kinds! {
    /// The request can't be read.
    BadRequest => "bad_request", 400, NotRun, None;
    /// A settings file has mistakes.
    BadSettings => "bad_settings", 400, NotRun, None;
    /// The lists have mistakes.
    BadLists => "bad_lists", 422, NotRun, None;
    /// No customer, operator or process has this key.
    BadKey => "bad_key", 401, NotRun, None;
    /// The lists name no such service.
    NoSuchService => "no_such_service", 404, NotRun, None;
    /// No route takes the request's host and path.
    NoRoute => "no_route", 404, NotRun, None;
    /// No configuration is known here yet.
    NoConfig => "no_config", 503, NotRun, Some(300);
    /// The customer's plan may not use the service.
    NotInPlan => "not_in_plan", 403, NotRun, None;
    /// The customer is over its plan's limit.
    OverPlan => "over_plan", 429, NotRun, Some(1_000);
    /// There is more work than slots, and this piece was the least important.
    Overloaded => "overloaded", 503, NotRun, Some(500);
    /// No backend server of the service takes work now.
    NoServer => "no_server", 503, NotRun, Some(500);
    /// The deadline passed while the work waited.
    DeadlineWaiting => "deadline_waiting", 504, NotRun, Some(0);
    /// The deadline passed after the work was handed to a backend server.
    DeadlineRunning => "deadline_running", 504, Unknown, Some(0);
    /// The backend server failed or its connection broke after the work was handed over.
    ServerFailed => "server_failed", 502, Unknown, Some(100);
    /// The answer was cut off, or belonged to another request.
    BadAnswer => "bad_answer", 502, Unknown, Some(100);
    /// The backend server refused before running the work.
    ServerShed => "server_shed", 503, NotRun, Some(200);
    /// The request crashes the backend servers that run it.
    Poison => "poison", 422, Unknown, Some(60_000);
    /// A non-idempotent operation came without a key.
    KeyMissing => "key_missing", 400, NotRun, None;
    /// The idempotency key was used before with another request.
    KeyReused => "key_reused", 409, NotRun, None;
    /// The idempotency key is older than answers are kept.
    KeyExpired => "key_expired", 410, Unknown, None;
    /// The operation with this key is still running.
    StillRunning => "still_running", 409, Unknown, Some(500);
    /// The operation with this key was handed over and its outcome is not known.
    OutcomeUnknown => "outcome_unknown", 409, Unknown, None;
    /// The operation with this key ran; its answer was too large to keep.
    AnswerNotKept => "answer_not_kept", 409, Ran, None;
    /// The ledger can't be read, so whether the operation ran before is not known.
    LedgerUnread => "ledger_unread", 503, Unknown, Some(1_000);
    /// The ledger can't be reached, and the operation was not started.
    LedgerAway => "ledger_away", 503, NotRun, Some(1_000);
    /// The change was made from another version.
    Conflict => "conflict", 409, NotRun, None;
    /// The change id was used before with another content.
    ChangeIdReused => "change_id_reused", 409, NotRun, None;
    /// Another replica leads.
    NotLeader => "not_leader", 421, NotRun, Some(200);
    /// No majority of replicas answers; the change may still come into force.
    NoQuorum => "no_quorum", 503, Unknown, Some(1_000);
    /// The process is leaving.
    Leaving => "leaving", 503, NotRun, Some(0);
    /// A header or body is over its bound.
    TooLarge => "too_large", 413, NotRun, None;
    /// The caller sends too slowly.
    SlowCaller => "slow_caller", 408, NotRun, Some(0);
    /// Another process can't be reached.
    Unreachable => "unreachable", 503, NotRun, Some(500);
    /// Stored state is damaged.
    Damaged => "damaged", 500, NotRun, None;
    /// A fault of the system itself.
    Internal => "internal", 500, Unknown, Some(1_000);
}

impl Kind {
    /// The kind with this code.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|k| k.answer().code == code)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// An error: its kind and what a reader should know.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Error {
    /// Kind, which decides the answer.
    pub kind: Kind,
    /// What happened, for people.
    pub detail: String,
}

impl Error {
    /// An error of this kind.
    #[must_use]
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}
