//! Chooses the destination of an attempt: a backend server that this VM owns, or
//! another entry VM. [`Work`] is what the balancer knows of a request.

use std::net::SocketAddr;
use std::time::Duration;

use balancer::{NoSlot, Work};
use tokio::time::{Instant, timeout_at};
use world::{Contract, Error, ErrorKind, ServerName};

use crate::cross_vm::CrossVmPermit;
use crate::pool::Peer;
use crate::slot::Slot;
use crate::state::State;

/// Wait for a backend server when none is known.
const NO_SERVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait for a server that no earlier attempt of the same request used.
const OTHER_SERVER_TIMEOUT: Duration = Duration::from_millis(250);

/// Destination of one attempt.
pub enum Destination {
    /// A slot of a backend server that this VM owns.
    Local(Slot),
    /// Permit to forward the request to the VM that owns the server.
    Remote(CrossVmPermit),
}

impl Destination {
    /// The backend server; `None` when the owner chooses it.
    #[must_use]
    pub fn server(&self) -> Option<&ServerName> {
        match self {
            Self::Local(slot) => slot.server(),
            Self::Remote(_) => None,
        }
    }

    /// Name and address to connect to.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the slot has already been released.
    pub fn peer(&self) -> Result<Peer, Error> {
        let gone = || Error::new(ErrorKind::Internal, "the slot was given back");
        match self {
            Self::Local(slot) => Ok(Peer {
                name: slot.server().ok_or_else(gone)?.clone(),
                addr: slot.addr().ok_or_else(gone)?,
            }),
            Self::Remote(permit) => Ok(Peer {
                name: ServerName::new(permit.owner.name.as_str())?,
                addr: owner_addr(permit),
            }),
        }
    }
}

fn owner_addr(permit: &CrossVmPermit) -> SocketAddr {
    permit.owner.front_addr
}

/// Waits for a free slot here or for a permit to forward the request.
///
/// # Errors
/// [`ErrorKind::NoServer`], [`ErrorKind::DeadlineWaiting`] or [`ErrorKind::Overloaded`]; the
/// request has not run.
pub async fn acquire_destination(
    state: &State,
    contract: &Contract,
    work: &Work,
    deadline: Instant,
) -> Result<Destination, Error> {
    let now = Instant::now();
    let suspect = work.alone.then_some(work.fingerprint);
    let no_slot = match state.admission.try_slot(now, &contract.service.name, work) {
        Ok(slot) => return Ok(Destination::Local(slot.with_suspect(suspect))),
        Err(no_slot) => no_slot,
    };
    let timeout = match no_slot {
        NoSlot::NoServer if work.avoid.is_empty() => NO_SERVER_TIMEOUT,
        NoSlot::NoServer => OTHER_SERVER_TIMEOUT,
        NoSlot::Busy => deadline.saturating_duration_since(now),
    };
    let until = deadline.min(now + timeout);
    match timeout_at(until, wait(state, contract, work, deadline)).await {
        Ok(Ok(Destination::Local(slot))) => Ok(Destination::Local(slot.with_suspect(suspect))),
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(error)) if error.kind == ErrorKind::Overloaded => Err(error),
        _ if no_slot == NoSlot::NoServer => Err(no_slot.into()),
        _ => Err(admission::queue::late_error()),
    }
}

async fn wait(
    state: &State,
    contract: &Contract,
    work: &Work,
    deadline: Instant,
) -> Result<Destination, Error> {
    let local = state.admission.wait(contract, work.clone(), deadline);
    let Some(credit_requester) = state.credit_requester() else {
        return local.await.map(Destination::Local);
    };
    tokio::select! {
        slot = local => slot.map(Destination::Local),
        permit = credit_requester.obtain(state, &contract.service.name) => Ok(Destination::Remote(permit)),
    }
}
