//! Turns of the followers for changes that take several responses.
//!
//! Load pattern: after a change of many routes, or a restart, two control VMs have the same
//! rows for an entry VM, whose link is too narrow for one of them beside the clients' work.

/// Which follower receives rows while changes take several responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transfer {
    /// Position of the follower whose last response left rows out.
    receiver: Option<usize>,
}

impl Transfer {
    /// Whether the follower takes rows now. The others only ask how far their control VM
    /// is until the transfer has ended.
    #[must_use]
    pub fn takes_rows(&self, follower: usize) -> bool {
        self.receiver.is_none_or(|receiver| receiver == follower)
    }

    /// Whether the follower is in the middle of a transfer, so that its next response is
    /// due at once.
    #[must_use]
    pub fn is_receiver(&self, follower: usize) -> bool {
        self.receiver == Some(follower)
    }

    /// Records a response with rows; `has_more` tells whether it left rows out.
    pub fn record(&mut self, follower: usize, has_more: bool) {
        if !has_more {
            self.end(follower);
        } else if self.receiver.is_none() {
            self.receiver = Some(follower);
        }
    }

    /// Ends the transfer of a follower that has stopped.
    pub fn end(&mut self, follower: usize) {
        if self.is_receiver(follower) {
            self.receiver = None;
        }
    }
}
