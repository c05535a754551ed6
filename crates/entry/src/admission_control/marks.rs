//! Poison marks, which record requests that crash backend servers.

use balancer::{Crash, Fingerprint, Mark};
use tokio::time::Instant;
use world::{Error, ErrorKind};

use super::AdmissionControl;

impl AdmissionControl {
    /// Whether the request must run alone, as it is suspected of a crash.
    ///
    /// # Errors
    /// [`world::ErrorKind::Poison`] when its mark is confirmed.
    pub fn runs_alone(&self, now: Instant, fingerprint: Fingerprint) -> Result<bool, Error> {
        self.poison.lock().check(now, fingerprint).must_run_alone()
    }

    /// Poison marks to send to other entry VMs.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<Mark> {
        self.poison.lock().marks(now)
    }

    /// Merges poison marks received from other entry VMs.
    pub fn merge_marks(&self, now: Instant, marks: &[Mark]) {
        self.poison.lock().merge(now, marks);
    }

    pub(super) fn record_crashes(&self, now: Instant, crashes: &[Crash]) {
        for crash in crashes {
            log::warn!(target: "entry", crash = crash.id, ran = crash.ran.len(); "backend server crashed");
            self.poison.lock().record_crash(now, crash);
        }
        if !crashes.is_empty() {
            self.new_marks.notify_one();
        }
    }

    /// Records that two servers lost the connection while running the same request;
    /// returns the error for the client.
    pub fn report_second_crash(&self, now: Instant, fingerprint: Fingerprint) -> Error {
        self.poison.lock().record_second_crash(now, fingerprint);
        self.new_marks.notify_one();
        Error::new(
            ErrorKind::Poison,
            "two backend servers broke off while they ran it",
        )
    }

    /// Waits until new poison marks must be sent to the other entry VMs at once.
    pub async fn wait_new_marks(&self) {
        self.new_marks.notified().await;
    }

    /// The poison mark of one request.
    #[must_use]
    pub fn mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<Mark> {
        self.poison.lock().mark(now, fingerprint)
    }
}
