//! Histories of one idempotency key, checked for linearizability.
//!
//! Sends of callers and runs on backend servers are operations of the same
//! history: a "not run" whose key shows a run fails it.

use todc_utils::{Action, History, Specification, WGLChecker};

/// What a caller heard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Heard {
    /// The answer of the run that this send made.
    Answer(usize),
    /// That its work was not run.
    NotRun,
    /// That the ledger does not know the outcome.
    Unknown,
    /// Nothing that binds the system, or nothing at all.
    Nothing,
}

/// One operation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A send of a caller, by number, and what it heard.
    Send(usize, Heard),
    /// A backend server started the work of this send.
    Run(usize),
}

/// An operation and when it took place, on any scale that grows with time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timed {
    /// Operation.
    pub event: Event,
    /// It did not take place before this.
    pub from: u64,
    /// It did not take place after this; `None`: its end was not seen.
    pub to: Option<u64>,
}

impl Timed {
    /// An operation between two points in time.
    #[must_use]
    pub fn new(event: Event, from: u64, to: Option<u64>) -> Self {
        Self { event, from, to }
    }
}

/// A key runs at most once, never for a send that heard "not run", and once an
/// answer was heard the ledger has it for good.
#[derive(Debug)]
pub struct AtMostOnce;

/// State of one key.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct KeyState {
    ran: Option<usize>,
    answered: bool,
    refused: Vec<usize>,
}

impl Specification for AtMostOnce {
    type Operation = Event;
    type State = KeyState;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(event: &Event, state: &KeyState) -> (bool, KeyState) {
        let mut next = state.clone();
        let valid = match *event {
            Event::Send(_, Heard::Nothing) => true,
            Event::Send(_, Heard::Unknown) => !state.answered,
            Event::Send(_, Heard::Answer(run)) => {
                next.answered = true;
                state.ran == Some(run)
            }
            Event::Send(send, Heard::NotRun) => {
                next.refused.push(send);
                next.refused.sort_unstable();
                state.ran.is_none()
            }
            Event::Run(send) => {
                next.ran = Some(send);
                state.ran.is_none() && !state.refused.contains(&send)
            }
        };
        if valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}

/// Whether the operations on one key are linearizable.
///
/// One whose end was not seen is closed at the very end.
#[must_use]
pub fn is_linearizable(operations: &[Timed]) -> bool {
    if operations.is_empty() {
        return true;
    }
    let mut actions = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        let to = operation.to.unwrap_or(u64::MAX);
        let call = Action::Call(operation.event);
        let response = Action::Response(operation.event);
        actions.push((operation.from, false, process, call));
        actions.push((to, true, process, response));
    }
    actions.sort_by_key(|(at, is_response, process, _)| (*at, *is_response, *process));
    let actions = actions.into_iter().map(|(_, _, p, action)| (p, action));
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions.collect()))
}
