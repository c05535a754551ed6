//! The state that the commands of a log change.

use world::Result;

/// A deterministic state machine.
pub trait Machine {
    /// What a command answers.
    type Output;

    /// Applies the committed command at `index`. Equal commands in equal order
    /// must lead to equal states on every replica.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Output;

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Puts the state of a snapshot in place of its own.
    ///
    /// # Errors
    /// [`world::Kind::Damaged`] when the bytes can't be read.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;
}
