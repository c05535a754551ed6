//! Claims that are still to be spread.

use world::MachineName;

/// Claims on one message at most.
pub const NEWS_MAX: usize = 8;
/// Times that a claim is sent for each doubling of the domain's size.
const SPREAD_FACTOR: u32 = 3;

/// Members whose records are still to be sent, and how often.
#[derive(Clone, Debug, Default)]
pub struct News {
    queue: Vec<(MachineName, u32)>,
}

impl News {
    /// Puts a member's record up for spreading in a domain of `members`.
    pub fn push(&mut self, name: &MachineName, members: usize) {
        self.queue.retain(|(queued, _)| queued != name);
        let doublings = usize::BITS - members.leading_zeros();
        self.queue.push((name.clone(), SPREAD_FACTOR * doublings));
    }

    /// Whether nothing is left to spread.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Names for the next message, those sent least often first.
    pub fn take(&mut self) -> Vec<MachineName> {
        self.queue.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut names = Vec::new();
        for (name, left) in self.queue.iter_mut().take(NEWS_MAX) {
            *left -= 1;
            names.push(name.clone());
        }
        self.queue.retain(|(_, left)| *left > 0);
        names
    }
}
