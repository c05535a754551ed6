//! Failures of the tool and their exit codes, which scripts rely on.

use std::fmt;
use std::process::ExitCode;

use serde::Serialize;
use world::ErrorKind;

/// Kind of failure; its number is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The request was refused, a file has mistakes, or another step failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change was accepted after the base version of this one.
    Conflict = 3,
    /// A machine could not be reached; nothing was changed.
    Unreachable = 4,
    /// The outcome is unknown: the change may have taken effect or may still do so.
    Unknown = 5,
    /// The change was accepted, but isn't in effect on every entry VM yet.
    Partial = 6,
}

/// A failure with advice for the operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Kind, which determines the exit code.
    pub sort: FailureKind,
    /// What happened.
    pub text: String,
    /// What the operator can do next.
    pub next: String,
}

impl Failure {
    /// Creates a failure from its kind, its message and the advice.
    #[must_use]
    pub fn new(sort: FailureKind, text: impl Into<String>, next: impl Into<String>) -> Self {
        Self {
            sort,
            text: text.into(),
            next: next.into(),
        }
    }

    /// Creates a failure for wrong usage of the subcommand `command`.
    #[must_use]
    pub fn usage(text: impl fmt::Display, command: &str) -> Self {
        let next = format!("see `waxwingctl {command} --help`");
        Self::new(FailureKind::Usage, text.to_string(), next)
    }

    /// Creates a failure for a refusal by a control VM.
    #[must_use]
    pub fn refused(kind: ErrorKind, detail: &str) -> Self {
        let (sort, next) = match kind {
            ErrorKind::Conflict => (
                FailureKind::Conflict,
                "look at what is in force with `waxwingctl show`, put your change on top of it \
                 and apply it with `--base` of that version",
            ),
            ErrorKind::ChangeIdReused => (
                FailureKind::Failed,
                "apply the change again under a new --id",
            ),
            ErrorKind::BadKey => (
                FailureKind::Failed,
                "check --key-file; its digest must stand among the operators of the plans list",
            ),
            ErrorKind::BadLists => (
                FailureKind::Failed,
                "mend the lists; `waxwingctl check` names mistakes",
            ),
            ErrorKind::NoQuorum | ErrorKind::Internal => (
                FailureKind::Unknown,
                "send the change again with the same --id; it takes effect once at most",
            ),
            _ => (FailureKind::Failed, "see docs/OPERATIONS.md for this error"),
        };
        Self::new(sort, format!("{kind}: {detail}"), next)
    }

    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.sort as u8)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\nnext: {}", self.text, self.next)
    }
}

impl std::error::Error for Failure {}
