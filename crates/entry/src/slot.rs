//! A slot of a backend server that this VM owns, held by one piece of work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balancer::{Fingerprint, Outcome, Permit};
use tokio::runtime::Handle;
use tokio::time::sleep;
use world::{ServerName, ServiceName};

use crate::credits::Entrant;
use crate::gate::Gate;

/// Time until a server has surely seen that a connection closed, and stopped
/// the work that ran for it.
const CLOSE_GRACE: Duration = Duration::from_millis(25);

/// A slot; dropped without an outcome, its work counts as cancelled. Work that
/// waits is woken when it is given back.
pub struct Slot {
    gate: Arc<Gate>,
    service: ServiceName,
    permit: Option<Permit>,
    entrant: Option<Entrant>,
    alone: Option<Fingerprint>,
}

impl Slot {
    /// A slot that was taken.
    pub(crate) fn new(gate: Arc<Gate>, service: ServiceName, permit: Permit) -> Self {
        Self {
            gate,
            service,
            permit: Some(permit),
            entrant: None,
            alone: None,
        }
    }

    /// The same slot, taken on a credit.
    #[must_use]
    pub(crate) fn with_entrant(mut self, entrant: Entrant) -> Self {
        self.entrant = Some(entrant);
        self
    }

    /// The same slot, taken by work that runs alone as a suspect.
    #[must_use]
    pub fn with_alone(mut self, alone: Option<Fingerprint>) -> Self {
        self.alone = alone;
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

    /// The permit, until the slot is given back.
    #[must_use]
    pub fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Gives the slot back with the outcome of its work.
    pub fn done(mut self, outcome: Outcome) {
        self.release(outcome);
        self.gate.wake(&self.service);
    }

    /// Gives the slot back once the server has seen that nobody waits: until
    /// then it still runs the work.
    pub fn done_later(self, outcome: Outcome) {
        let Ok(workers) = Handle::try_current() else {
            return self.done(outcome);
        };
        workers.spawn(async move {
            sleep(CLOSE_GRACE).await;
            self.done(outcome);
        });
    }

    /// Gives the slot back unused, without waking work that waits.
    pub(crate) fn give_back(mut self) {
        self.release(Outcome::Cancelled);
    }

    fn release(&mut self, outcome: Outcome) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        self.gate.done(permit, self.alone, outcome);
        if let Some(entrant) = self.entrant.take() {
            self.gate.credits().lock().release(entrant);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let slot = Self {
            gate: Arc::clone(&self.gate),
            service: self.service.clone(),
            permit: Some(permit),
            entrant: self.entrant.take(),
            alone: self.alone,
        };
        slot.done_later(Outcome::Cancelled);
    }
}
