//! Linearizability check of changes and reads of the configuration by operators.

use std::time::Duration;

use todc_utils::{Action, History, Specification, WGLChecker};

/// Kind and outcome of an operator's call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Start of the history, at this version.
    Start(u64),
    /// A change based on the first version was accepted as the second version.
    Changed(u64, u64),
    /// A change based on this version was refused, since another version was in effect.
    Conflict(u64),
    /// A change based on this version may have been accepted; no outcome is known.
    Unknown(u64),
    /// A read returned this version.
    Read(u64),
    /// A read failed or timed out.
    ReadFailed,
}

/// One call of an operator, with its start and end.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// Kind and outcome of the call.
    pub outcome: Outcome,
    /// Start of the call, since the start of the test run.
    pub from: Duration,
    /// End of the call, since the start of the test run.
    pub to: Duration,
}

impl Operation {
    /// Creates a call with its start and end.
    #[must_use]
    pub fn new(outcome: Outcome, from: Duration, to: Duration) -> Self {
        Self { outcome, from, to }
    }

    /// Returns whether the call is a change that may still take effect while `version` is
    /// in effect.
    #[must_use]
    pub fn is_pending_at(&self, version: u64) -> bool {
        self.outcome == Outcome::Unknown(version)
    }
}

/// Specification of the configuration's version: an accepted change is based on the
/// version in effect and raises it by one.
#[derive(Debug)]
pub struct Versions;

impl Specification for Versions {
    type Operation = Outcome;
    type State = u64;

    fn init() -> u64 {
        0
    }

    fn apply(outcome: &Outcome, version: &u64) -> (bool, u64) {
        let version = *version;
        match *outcome {
            Outcome::Start(first) => (true, first),
            Outcome::Changed(base, made) if base == version && made == base + 1 => (true, made),
            Outcome::Changed(..) => (false, version),
            Outcome::Conflict(base) => (base != version, version),
            Outcome::Unknown(base) if base == version => (true, version + 1),
            Outcome::Read(read) => (read == version, version),
            Outcome::Unknown(_) | Outcome::ReadFailed => (true, version),
        }
    }
}

/// Returns whether the calls are linearizable.
///
/// A change of unknown outcome may take effect at any time after its start, even
/// after all other calls.
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let mut actions = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        let to = match operation.outcome {
            Outcome::Unknown(_) => Duration::MAX,
            _ => operation.to,
        };
        let call = Action::Call(operation.outcome);
        let response = Action::Response(operation.outcome);
        actions.push((operation.from, false, process, call));
        actions.push((to, true, process, response));
    }
    actions.sort_by_key(|(at, is_response, process, _)| (*at, *is_response, *process));
    let actions = actions.into_iter().map(|(_, _, p, action)| (p, action));
    WGLChecker::<Versions>::is_linearizable(History::from_actions(actions.collect()))
}
