//! Interface through which the coordinator sends operations to backend servers.

use std::future::Future;

use tokio::time::Instant;
use world::Error;

use crate::answer::Storable;
use crate::operation::AttemptId;

/// Permission of one attempt to run an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExecutionGrant {
    /// Attempt that holds the grant.
    pub attempt: AttemptId,
    /// Fencing number, which grows with each grant.
    pub fence: u64,
    /// Time on this VM's clock before which the first byte must be sent.
    pub expires_at: Instant,
    /// Time until which the response is awaited.
    pub deadline: Instant,
}

/// Result of sending an operation to a backend server.
#[derive(Debug)]
pub enum DispatchResult<A> {
    /// No byte was sent, or the backend server proved that it did not run the operation.
    NotRun(Error),
    /// At least one byte was sent and no complete response arrived.
    Unknown(Error),
    /// The complete response arrived.
    Answer(A),
}

/// Sends operations to backend servers.
pub trait Dispatch: Send {
    /// A slot and a connection that was just verified.
    type Ready: Send;
    /// A complete response.
    type Answer: Storable + Send;

    /// Waits for a slot and a connection, without sending anything.
    ///
    /// # Errors
    /// An error whose kind says that the operation has not run.
    fn ready(
        &mut self,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self::Ready, Error>> + Send;

    /// Sends the operation once; the first byte is sent only before `grant.expires_at`.
    fn send(
        &mut self,
        ready: Self::Ready,
        grant: &ExecutionGrant,
    ) -> impl Future<Output = DispatchResult<Self::Answer>> + Send;
}
