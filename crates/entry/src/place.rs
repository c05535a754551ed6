//! Where a piece of work goes: to a backend server of this VM, or to another VM.

use std::net::SocketAddr;
use std::time::Duration;

use balancer::{NoSlot, Work};
use tokio::time::{Instant, timeout_at};
use world::{Contract, Error, Kind, ServerName};

use crate::crossing::Leave;
use crate::pool::Peer;
use crate::slot::Slot;
use crate::state::State;

/// Wait for a backend server when none is known.
const NO_SERVER_PATIENCE: Duration = Duration::from_secs(1);

/// Wait for a server that had no earlier attempt of the same work.
const OTHER_SERVER_PATIENCE: Duration = Duration::from_millis(250);

/// A place for one attempt.
pub enum Place {
    /// A slot of a backend server that this VM owns.
    Here(Slot),
    /// Leave to hand the work to the VM that owns the server.
    There(Leave),
}

impl Place {
    /// The backend server, when it is known.
    #[must_use]
    pub fn server(&self) -> Option<&ServerName> {
        match self {
            Self::Here(slot) => slot.server(),
            Self::There(_) => None,
        }
    }

    /// Where the connection leads.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the slot was given back before.
    pub fn peer(&self) -> Result<Peer, Error> {
        let gone = || Error::new(Kind::Internal, "the slot was given back");
        match self {
            Self::Here(slot) => Ok(Peer {
                name: slot.server().ok_or_else(gone)?.clone(),
                addr: slot.addr().ok_or_else(gone)?,
            }),
            Self::There(leave) => Ok(Peer {
                name: ServerName::new(leave.owner.name.as_str())?,
                addr: front(leave),
            }),
        }
    }
}

fn front(leave: &Leave) -> SocketAddr {
    leave.owner.front_addr
}

/// Waits for a place.
///
/// # Errors
/// [`Kind::NoServer`], [`Kind::DeadlineWaiting`] or [`Kind::Overloaded`]; the
/// work has not run.
pub async fn find(
    state: &State,
    contract: &Contract,
    work: &Work,
    deadline: Instant,
) -> Result<Place, Error> {
    let now = Instant::now();
    let alone = work.alone.then_some(work.fingerprint);
    let none = match state.gate.try_slot(now, &contract.service.name, work) {
        Ok(slot) => return Ok(Place::Here(slot.with_alone(alone))),
        Err(none) => none,
    };
    let patience = match none {
        NoSlot::NoServer if work.avoid.is_empty() => NO_SERVER_PATIENCE,
        NoSlot::NoServer => OTHER_SERVER_PATIENCE,
        NoSlot::Busy => deadline.saturating_duration_since(now),
    };
    let until = deadline.min(now + patience);
    match timeout_at(until, wait(state, contract, work, deadline)).await {
        Ok(Ok(Place::Here(slot))) => Ok(Place::Here(slot.with_alone(alone))),
        Ok(Ok(leave)) => Ok(leave),
        Ok(Err(error)) if error.kind == Kind::Overloaded => Err(error),
        _ if none == NoSlot::NoServer => Err(none.into()),
        _ => Err(admission::queue::late_error()),
    }
}

async fn wait(
    state: &State,
    contract: &Contract,
    work: &Work,
    deadline: Instant,
) -> Result<Place, Error> {
    let here = state.gate.wait(contract, work.clone(), deadline);
    let Some(crossing) = state.crossing() else {
        return here.await.map(Place::Here);
    };
    tokio::select! {
        slot = here => slot.map(Place::Here),
        leave = crossing.obtain(state, &contract.service.name) => Ok(Place::There(leave)),
    }
}
