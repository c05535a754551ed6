//! An exchange under way: its place and its connection, until it ends.

use std::sync::Arc;

use balancer::Outcome;

use crate::attempt::Failure;
use crate::place::Place;
use crate::pool::{Connection, Peer};
use crate::state::State;

/// An exchange under way; dropped before its end, its connection closes, so
/// that the other side learns that nobody waits.
pub struct Flow {
    /// Where it goes.
    pub place: Place,
    /// Where the connection leads.
    pub peer: Peer,
    /// The connection.
    pub connection: Connection,
    state: Arc<State>,
}

impl Flow {
    /// An exchange over `connection`.
    #[must_use]
    pub fn new(state: &Arc<State>, place: Place, peer: Peer, connection: Connection) -> Self {
        Self {
            place,
            peer,
            connection,
            state: Arc::clone(state),
        }
    }

    /// The whole answer was read: the connection may be used again.
    pub fn finish(self) {
        self.state.pool.keep(&self.peer, self.connection);
        if let Place::Here(slot) = self.place {
            slot.done(Outcome::Answered);
        }
    }

    /// The exchange ended without a whole answer; its connection closes.
    pub fn end(self, outcome: Outcome) {
        drop(self.connection);
        if let Place::Here(slot) = self.place {
            match outcome {
                Outcome::TimedOut | Outcome::Failed => slot.done_later(outcome),
                _ => slot.done(outcome),
            }
        }
    }

    /// Ends the exchange and gives its failure.
    #[must_use]
    pub fn failed(self, failed: (Outcome, Failure)) -> Failure {
        self.end(failed.0);
        failed.1
    }
}
