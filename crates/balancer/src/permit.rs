//! A fleet that several tasks share, with RAII guards for slots and connections.

use std::sync::Arc;

use tokio::time::Instant;
use world::{Error, LockRank, RankedMutex, ServiceName};

use crate::choice::{LoadBalancingPolicy, Policy};
use crate::fleet::Fleet;
use crate::work::{ConnectionTicket, NoSlot, Outcome, Ticket, Work};

/// A [`Fleet`] behind a lock, shared by several tasks.
#[derive(Debug)]
pub struct SharedFleet<C = Policy> {
    table: Arc<RankedMutex<Fleet<C>>>,
}

impl<C> Clone for SharedFleet<C> {
    fn clone(&self) -> Self {
        Self {
            table: Arc::clone(&self.table),
        }
    }
}

impl<C: LoadBalancingPolicy> SharedFleet<C> {
    /// Wraps a fleet for sharing.
    #[must_use]
    pub fn new(fleet: Fleet<C>) -> Self {
        Self {
            table: Arc::new(RankedMutex::new(LockRank::Fleet, fleet)),
        }
    }

    /// The lock that holds the fleet.
    #[must_use]
    pub fn table(&self) -> &RankedMutex<Fleet<C>> {
        &self.table
    }

    /// Takes a slot that is freed when the permit is dropped.
    ///
    /// # Errors
    /// As [`Fleet::choose`].
    pub fn acquire(
        &self,
        now: Instant,
        service: &ServiceName,
        work: &Work,
    ) -> Result<Permit<C>, NoSlot> {
        let ticket = self.table.lock().choose(now, service, work)?;
        Ok(Permit {
            fleet: self.clone(),
            ticket: Some(ticket),
        })
    }

    /// Counts a new connection until the permit is dropped.
    ///
    /// # Errors
    /// As [`Fleet::connect`].
    pub fn connect(&self, ticket: &Ticket) -> Result<ConnectionPermit<C>, Error> {
        let ticket = self.table.lock().connect(ticket)?;
        Ok(ConnectionPermit {
            fleet: self.clone(),
            ticket,
        })
    }
}

/// A slot that is freed on drop; without an outcome its work counts as cancelled.
#[derive(Debug)]
pub struct Permit<C: LoadBalancingPolicy = Policy> {
    fleet: SharedFleet<C>,
    ticket: Option<Ticket>,
}

impl<C: LoadBalancingPolicy> Permit<C> {
    /// The ticket of the slot.
    ///
    /// # Panics
    /// Never: the ticket is taken only by [`Permit::done`], which consumes the permit.
    pub fn ticket(&self) -> &Ticket {
        self.ticket.as_ref().expect("a permit holds its ticket")
    }

    /// Frees the slot and records the outcome of its work.
    pub fn done(mut self, now: Instant, outcome: Outcome) {
        self.release(now, outcome);
    }

    fn release(&mut self, now: Instant, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.fleet.table.lock().done(now, ticket, outcome);
        }
    }
}

impl<C: LoadBalancingPolicy> Drop for Permit<C> {
    fn drop(&mut self) {
        if self.ticket.is_some() {
            self.release(Instant::now(), Outcome::Cancelled);
        }
    }
}

/// A connection that counts towards its server's limit until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit<C: LoadBalancingPolicy = Policy> {
    fleet: SharedFleet<C>,
    ticket: ConnectionTicket,
}

impl<C: LoadBalancingPolicy> Drop for ConnectionPermit<C> {
    fn drop(&mut self) {
        self.fleet.table.lock().disconnect(&self.ticket);
    }
}
