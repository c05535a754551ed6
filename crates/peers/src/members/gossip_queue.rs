//! Queue of changed records to piggyback on messages.

use world::MachineName;

/// Most records that one message takes from the queue.
pub const RECORDS_PER_MESSAGE_MAX: usize = 8;
/// A record is sent this many times the binary logarithm of the domain's size.
const RETRANSMIT_FACTOR: u32 = 3;

/// Members whose records are still to be sent, each with the remaining number of
/// transmissions.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queue: Vec<(MachineName, u32)>,
}

impl GossipQueue {
    /// Queues a member's record in a domain of `members`, in place of an earlier entry.
    pub fn push(&mut self, name: &MachineName, members: usize) {
        self.queue.retain(|(queued, _)| queued != name);
        let size_bits = usize::BITS - members.leading_zeros();
        self.queue
            .push((name.clone(), RETRANSMIT_FACTOR * size_bits));
    }

    /// Whether no record is left to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the members whose records go on the next message, those sent least often
    /// first, and counts the transmission.
    pub fn take(&mut self) -> Vec<MachineName> {
        self.queue
            .sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let mut names = Vec::new();
        for (name, remaining) in self.queue.iter_mut().take(RECORDS_PER_MESSAGE_MAX) {
            *remaining -= 1;
            names.push(name.clone());
        }
        self.queue.retain(|(_, remaining)| *remaining > 0);
        names
    }
}
