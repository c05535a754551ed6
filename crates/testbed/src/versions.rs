//! Histories of changes and reads of the configuration, checked for
//! linearizability.

use std::time::Duration;

use todc_utils::{Action, History, Specification, WGLChecker};

/// What an operator asked for and heard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Asked {
    /// The history begins at this version.
    Start(u64),
    /// A change made from the first version was accepted as the second.
    Changed(u64, u64),
    /// A change made from this version lost against another.
    Conflict(u64),
    /// Whether a change made from this version was accepted is not known.
    Unknown(u64),
    /// This version was read.
    Read(u64),
    /// A read had no answer.
    Nothing,
}

/// One call of an operator, with the times of its beginning and end.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// What was asked and heard.
    pub asked: Asked,
    /// Beginning, since the beginning of the run.
    pub from: Duration,
    /// End, since the beginning of the run.
    pub to: Duration,
}

impl Operation {
    /// A call between two points in time.
    #[must_use]
    pub fn new(asked: Asked, from: Duration, to: Duration) -> Self {
        Self { asked, from, to }
    }

    /// Whether it may still take effect at `version`, at any later time.
    #[must_use]
    pub fn is_open_at(&self, version: u64) -> bool {
        self.asked == Asked::Unknown(version)
    }
}

/// The version grows by one with each accepted change, from the version that
/// the change was made from.
#[derive(Debug)]
pub struct Versions;

impl Specification for Versions {
    type Operation = Asked;
    type State = u64;

    fn init() -> u64 {
        0
    }

    fn apply(asked: &Asked, version: &u64) -> (bool, u64) {
        let version = *version;
        match *asked {
            Asked::Start(first) => (true, first),
            Asked::Changed(base, made) if base == version && made == base + 1 => (true, made),
            Asked::Changed(..) => (false, version),
            Asked::Conflict(base) => (base != version, version),
            Asked::Unknown(base) if base == version => (true, version + 1),
            Asked::Read(read) => (read == version, version),
            Asked::Unknown(_) | Asked::Nothing => (true, version),
        }
    }
}

/// Whether the calls are linearizable. A change of unknown outcome may take
/// effect at any time after its beginning, or after everything else.
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let mut actions = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        let to = match operation.asked {
            Asked::Unknown(_) => Duration::MAX,
            _ => operation.to,
        };
        let call = Action::Call(operation.asked);
        let response = Action::Response(operation.asked);
        actions.push((operation.from, false, process, call));
        actions.push((to, true, process, response));
    }
    actions.sort_by_key(|(at, is_response, process, _)| (*at, *is_response, *process));
    let actions = actions.into_iter().map(|(_, _, p, action)| (p, action));
    WGLChecker::<Versions>::is_linearizable(History::from_actions(actions.collect()))
}
