//! A slot of a backend server that this VM owns, held by one piece of work.

use std::net::SocketAddr;
use std::sync::Arc;

use pick::{Fingerprint, Outcome, Permit};
use world::{ServerName, ServiceName};

use crate::credits::Entrant;
use crate::gate::Gate;

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

    /// Gives the slot back unused, without waking work that waits.
    pub(crate) fn give_back(mut self) {
        self.release(Outcome::Cancelled);
    }

    fn release(&mut self, outcome: Outcome) -> bool {
        let Some(permit) = self.permit.take() else {
            return false;
        };
        self.gate.done(permit, self.alone, outcome);
        if let Some(entrant) = self.entrant.take() {
            self.gate.credits().lock().release(entrant);
        }
        true
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.release(Outcome::Cancelled) {
            self.gate.wake(&self.service);
        }
    }
}
