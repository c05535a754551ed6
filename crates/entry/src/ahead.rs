//! Word of a newer configuration at another process.

use tokio::sync::Notify;
use world::{MachineName, Rank, Ranked};

/// The highest version heard of and who has it.
#[derive(Debug)]
pub struct Ahead {
    heard: Ranked<Option<(u64, MachineName)>>,
    news: Notify,
}

impl Default for Ahead {
    fn default() -> Self {
        Self {
            heard: Ranked::new(Rank::Stats, None),
            news: Notify::new(),
        }
    }
}

impl Ahead {
    /// Notes the version on a message; `mine` is the version in force here.
    pub fn hear(&self, from: &MachineName, version: u64, mine: u64) {
        let mut heard = self.heard.lock();
        if version > heard.as_ref().map_or(mine, |(known, _)| mine.max(*known)) {
            *heard = Some((version, from.clone()));
            self.news.notify_one();
        }
    }

    /// Waits for word of a newer version.
    pub async fn wait(&self) {
        self.news.notified().await;
    }

    /// Who has a version above `mine`.
    #[must_use]
    pub fn take(&self, mine: u64) -> Option<MachineName> {
        let heard = self.heard.lock().take();
        heard
            .filter(|(version, _)| *version > mine)
            .map(|(_, from)| from)
    }
}
