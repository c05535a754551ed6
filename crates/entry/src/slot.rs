//! A slot of a backend server that this VM owns, in use by one request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balancer::{Fingerprint, Outcome, Permit};
use tokio::runtime::Handle;
use tokio::time::sleep;
use world::{ServerName, ServiceName};

use crate::admission_control::AdmissionControl;
use crate::credits::CreditedWork;

/// Time in which a server notices a closed connection and stops the work that ran for
/// it.
const CLOSE_DELAY: Duration = Duration::from_millis(25);

/// A slot in use. Dropped without an outcome, its work counts as cancelled. Its release
/// lets a queued request run.
pub struct Slot {
    admission: Arc<AdmissionControl>,
    service: ServiceName,
    permit: Option<Permit>,
    credited: Option<CreditedWork>,
    /// Fingerprint of a suspected poison request that runs alone in this slot.
    suspect: Option<Fingerprint>,
}

impl Slot {
    /// Wraps an acquired permit.
    pub(crate) fn new(
        admission: Arc<AdmissionControl>,
        service: ServiceName,
        permit: Permit,
    ) -> Self {
        Self {
            admission,
            service,
            permit: Some(permit),
            credited: None,
            suspect: None,
        }
    }

    /// Sets the credit claim that ends with the slot.
    #[must_use]
    pub(crate) fn with_credited_work(mut self, credited: CreditedWork) -> Self {
        self.credited = Some(credited);
        self
    }

    /// Sets the fingerprint of a suspected poison request that runs alone.
    #[must_use]
    pub fn with_suspect(mut self, suspect: Option<Fingerprint>) -> Self {
        self.suspect = suspect;
        self
    }

    /// The backend server.
    #[must_use]
    pub fn server(&self) -> Option<&ServerName> {
        self.permit.as_ref().map(|permit| permit.ticket().server())
    }

    /// Address of the backend server.
    #[must_use]
    pub fn addr(&self) -> Option<SocketAddr> {
        self.permit.as_ref().map(|permit| permit.ticket().addr())
    }

    /// The permit; `None` after the slot is released.
    #[must_use]
    pub fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Releases the slot with the outcome of its work and assigns it to a queued
    /// request.
    pub fn done(mut self, outcome: Outcome) {
        self.release(outcome);
        self.admission.assign_slots(&self.service);
    }

    /// Releases the slot after [`CLOSE_DELAY`]: until the server notices the closed
    /// connection, it still runs the work.
    pub fn done_later(self, outcome: Outcome) {
        let Ok(runtime) = Handle::try_current() else {
            return self.done(outcome);
        };
        runtime.spawn(async move {
            sleep(CLOSE_DELAY).await;
            self.done(outcome);
        });
    }

    /// Releases the slot unused, without assigning it to a queued request.
    pub(crate) fn return_unused(mut self) {
        self.release(Outcome::Cancelled);
    }

    fn release(&mut self, outcome: Outcome) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        self.admission.done(permit, self.suspect, outcome);
        if let Some(credited) = self.credited.take() {
            self.admission.credits().lock().release(credited);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let slot = Self {
            admission: Arc::clone(&self.admission),
            service: self.service.clone(),
            permit: Some(permit),
            credited: self.credited.take(),
            suspect: self.suspect,
        };
        slot.done_later(Outcome::Cancelled);
    }
}
