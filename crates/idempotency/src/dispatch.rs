//! The way to the backend servers, as the steward sees it.

use std::future::Future;

use tokio::time::Instant;
use world::Error;

use crate::answer::Keep;
use crate::operation::AttemptId;

/// The right of one attempt to run an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Right {
    /// Attempt that holds it.
    pub attempt: AttemptId,
    /// Number that grows with each right.
    pub fence: u64,
    /// The first byte must have gone out before this moment of the holder's own clock.
    pub ends: Instant,
    /// An answer is waited for until this moment.
    pub deadline: Instant,
}

/// What became of one send.
#[derive(Debug)]
pub enum Sent<A> {
    /// No byte went out, or the backend server proved that it did not run the operation.
    NotRun(Error),
    /// Some byte went out and no whole answer came.
    Unknown(Error),
    /// The whole answer.
    Answer(A),
}

/// Hands operations to backend servers.
pub trait Dispatch: Send {
    /// A slot and a connection that was proven just now.
    type Ready: Send;
    /// A whole answer.
    type Answer: Keep + Send;

    /// Waits for a slot and a connection; sends nothing.
    ///
    /// # Errors
    /// A kind whose work has not run.
    fn ready(
        &mut self,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self::Ready, Error>> + Send;

    /// Sends the operation once. The first byte goes out only before `right.ends`.
    fn send(
        &mut self,
        ready: Self::Ready,
        right: &Right,
    ) -> impl Future<Output = Sent<Self::Answer>> + Send;
}
