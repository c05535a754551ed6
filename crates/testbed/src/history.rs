//! Linearizability check of the requests and runs of one idempotency key.
//!
//! Requests of clients and runs on backend servers are operations of one history,
//! so the check also fails when a request was reported as not run although it ran.

use todc_utils::{Action, History, Specification, WGLChecker};

/// What a client learned from the response to its request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Observed {
    /// The response that the run of the request with this number produced.
    Answer(usize),
    /// The request was not run.
    NotRun,
    /// The request may have run; the ledger has no outcome of it.
    Unknown,
    /// No response, or one that says nothing about runs.
    Nothing,
}

/// One operation of a history.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The client's request with this number, and its result.
    Request(usize, Observed),
    /// A backend server started to run the request with this number.
    Run(usize),
}

/// An operation and the interval in which it took effect, in any unit of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timed {
    /// The operation.
    pub event: Event,
    /// Earliest time at which it may have taken effect.
    pub from: u64,
    /// Latest time at which it may have taken effect; `None`: not known.
    pub to: Option<u64>,
}

impl Timed {
    /// Creates an operation that took effect in this interval.
    #[must_use]
    pub fn new(event: Event, from: u64, to: Option<u64>) -> Self {
        Self { event, from, to }
    }
}

/// Specification of the operation with one key: it runs at most once, never for a request
/// that was reported as not run, and after a client has received the response of the run,
/// the outcome is never unknown again.
#[derive(Debug)]
pub struct AtMostOnce;

/// State of one key in [`AtMostOnce`].
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct KeyState {
    ran: Option<usize>,
    answered: bool,
    reported_not_run: Vec<usize>,
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
            Event::Request(_, Observed::Nothing) => true,
            Event::Request(_, Observed::Unknown) => !state.answered,
            Event::Request(_, Observed::Answer(run)) => {
                next.answered = true;
                state.ran == Some(run)
            }
            Event::Request(request, Observed::NotRun) => {
                next.reported_not_run.push(request);
                next.reported_not_run.sort_unstable();
                state.ran.is_none()
            }
            Event::Run(request) => {
                next.ran = Some(request);
                state.ran.is_none() && !state.reported_not_run.contains(&request)
            }
        };
        if valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}

/// Returns whether the operations on one key are linearizable.
///
/// An operation without a known latest time may take effect after all others.
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
