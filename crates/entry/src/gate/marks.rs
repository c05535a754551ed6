//! What the gate holds against requests that crash backend servers.

use balancer::{Crash, Fingerprint, Mark};
use tokio::time::Instant;
use world::{Error, Kind};

use super::Gate;

impl Gate {
    /// Whether the work must run alone.
    ///
    /// # Errors
    /// [`world::Kind::Poison`] when it crashed backend servers.
    pub fn alone(&self, now: Instant, fingerprint: Fingerprint) -> Result<bool, Error> {
        self.poison.lock().check(now, fingerprint).must_run_alone()
    }

    /// Marks of requests that crashed backend servers, for other entry VMs.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<Mark> {
        self.poison.lock().marks(now)
    }

    /// Takes in other entry VMs' marks.
    pub fn merge_marks(&self, now: Instant, marks: &[Mark]) {
        self.poison.lock().merge(now, marks);
    }

    pub(super) fn blame(&self, now: Instant, crashes: &[Crash]) {
        for crash in crashes {
            log::warn!(target: "entry", crash = crash.id, ran = crash.ran.len(); "backend server crashed");
            self.poison.lock().record_crash(now, crash);
        }
        if !crashes.is_empty() {
            self.news.notify_one();
        }
    }

    /// Takes in that two servers broke off while they ran the same request;
    /// gives what its caller is told.
    pub fn broke_twice(&self, now: Instant, fingerprint: Fingerprint) -> Error {
        self.poison.lock().record_second_crash(now, fingerprint);
        self.news.notify_one();
        Error::new(
            Kind::Poison,
            "two backend servers broke off while they ran it",
        )
    }

    /// Waits for something that other entry VMs should know at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// The mark of one request.
    #[must_use]
    pub fn mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<Mark> {
        self.poison.lock().mark(now, fingerprint)
    }
}
