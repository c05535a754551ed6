//! The state machine that applies the commands of a log.

use world::Result;

/// A deterministic state machine.
pub trait StateMachine {
    /// Result of a command, returned to its proposer.
    type Output;

    /// Applies the committed command at `index`. Must be deterministic: the same
    /// commands in the same order lead to the same state on every replica.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Output;

    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by that of a snapshot.
    ///
    /// # Errors
    /// [`world::ErrorKind::Damaged`] when the bytes can't be decoded.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;
}
