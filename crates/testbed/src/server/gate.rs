//! Slots of a stand-in backend server and the requests that wait for one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};
use world::{Rank, Ranked};

/// Work at the gate now, and the most there has been.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crowd {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Most requests that ran at once.
    pub highest_running: u32,
    /// Most requests that ran or waited at once.
    pub highest_offered: u32,
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turned {
    /// Too many wait already.
    Shed,
    /// Its deadline passed while it waited.
    Late,
}

/// Gate before the slots.
#[derive(Debug)]
pub struct Gate {
    slots: Arc<Semaphore>,
    crowd: Arc<Ranked<Crowd>>,
}

/// Right to run one request; gives the slot back when dropped.
#[derive(Debug)]
pub struct Ticket {
    crowd: Arc<Ranked<Crowd>>,
    _permit: OwnedSemaphorePermit,
}

struct Waiting {
    crowd: Arc<Ranked<Crowd>>,
}

impl Gate {
    /// A gate before this many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            crowd: Arc::new(Ranked::new(Rank::Queues, Crowd::default())),
        }
    }

    /// Waits for a slot until `until`, behind `queue` others at most.
    ///
    /// # Errors
    /// [`Turned`]: nothing of the request has run.
    pub async fn enter(&self, queue: u32, until: Instant) -> Result<Ticket, Turned> {
        let slots = Arc::clone(&self.slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            return Ok(self.run(permit));
        }
        let waiting = self.wait(queue)?;
        let permit = timeout_at(until, slots.acquire_owned()).await;
        drop(waiting);
        match permit {
            Ok(Ok(permit)) => Ok(self.run(permit)),
            _ => Err(Turned::Late),
        }
    }

    /// Work at the gate now.
    #[must_use]
    pub fn crowd(&self) -> Crowd {
        *self.crowd.lock()
    }

    fn run(&self, permit: OwnedSemaphorePermit) -> Ticket {
        let mut crowd = self.crowd.lock();
        crowd.running += 1;
        crowd.note();
        Ticket {
            crowd: Arc::clone(&self.crowd),
            _permit: permit,
        }
    }

    fn wait(&self, queue: u32) -> Result<Waiting, Turned> {
        let mut crowd = self.crowd.lock();
        if crowd.queued >= queue {
            return Err(Turned::Shed);
        }
        crowd.queued += 1;
        crowd.note();
        Ok(Waiting {
            crowd: Arc::clone(&self.crowd),
        })
    }
}

impl Crowd {
    fn note(&mut self) {
        self.highest_running = self.highest_running.max(self.running);
        self.highest_offered = self.highest_offered.max(self.running + self.queued);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.crowd.lock().running -= 1;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.crowd.lock().queued -= 1;
    }
}
