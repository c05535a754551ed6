//! Tracks whether a peer has a newer configuration than this VM.

use tokio::sync::Notify;
use world::{LockRank, MachineName, RankedMutex};

/// The highest version that a peer reported, and that peer.
#[derive(Debug)]
pub struct NewerVersion {
    highest: RankedMutex<Option<(u64, MachineName)>>,
    changed: Notify,
}

impl Default for NewerVersion {
    fn default() -> Self {
        Self {
            highest: RankedMutex::new(LockRank::Stats, None),
            changed: Notify::new(),
        }
    }
}

impl NewerVersion {
    /// Records the version carried by a message of `from`; `own` is the version in
    /// effect here.
    pub fn record(&self, from: &MachineName, version: u64, own: u64) {
        let mut highest = self.highest.lock();
        if version > highest.as_ref().map_or(own, |(known, _)| own.max(*known)) {
            *highest = Some((version, from.clone()));
            self.changed.notify_one();
        }
    }

    /// Waits until a newer version is recorded.
    pub async fn wait(&self) {
        self.changed.notified().await;
    }

    /// Returns and clears the peer with the highest version, if that is above `own`.
    #[must_use]
    pub fn take_source(&self, own: u64) -> Option<MachineName> {
        let highest = self.highest.lock().take();
        highest
            .filter(|(version, _)| *version > own)
            .map(|(_, from)| from)
    }
}
