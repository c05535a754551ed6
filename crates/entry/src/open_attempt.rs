//! An attempt that has a connection, until its response has been read.

use std::sync::Arc;

use balancer::Outcome;

use crate::attempt::Failure;
use crate::destination::Destination;
use crate::pool::{Connection, Peer};
use crate::state::State;

/// An attempt with its slot and connection. Dropping it closes the connection, so that
/// the server learns that the client no longer waits.
pub struct OpenAttempt {
    /// Slot or permit that the attempt uses.
    pub destination: Destination,
    /// Name and address that the connection leads to.
    pub peer: Peer,
    /// Connection that carries the attempt.
    pub connection: Connection,
    state: Arc<State>,
}

impl OpenAttempt {
    /// An attempt over `connection`.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        destination: Destination,
        peer: Peer,
        connection: Connection,
    ) -> Self {
        Self {
            destination,
            peer,
            connection,
            state: Arc::clone(state),
        }
    }

    /// Ends the attempt after its whole response was read; the connection returns to
    /// the pool.
    pub fn finish(self) {
        self.state.pool.put(&self.peer, self.connection);
        if let Destination::Local(slot) = self.destination {
            slot.done(Outcome::Answered);
        }
    }

    /// Ends the attempt without a whole response and closes its connection.
    pub fn end(self, outcome: Outcome) {
        drop(self.connection);
        if let Destination::Local(slot) = self.destination {
            match outcome {
                Outcome::TimedOut | Outcome::Failed => slot.done_later(outcome),
                _ => slot.done(outcome),
            }
        }
    }

    /// Ends the attempt with the outcome and returns the failure.
    #[must_use]
    pub fn failed(self, failed: (Outcome, Failure)) -> Failure {
        self.end(failed.0);
        failed.1
    }
}
