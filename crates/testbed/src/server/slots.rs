//! Slots of a stand-in backend server and the queue of requests that wait for a slot.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};
use world::{LockRank, RankedMutex};

/// Number of running and waiting requests, now and at their peaks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occupancy {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait for a slot now.
    pub queued: u32,
    /// Peak of running requests.
    pub highest_running: u32,
    /// Peak of running and waiting requests together.
    pub highest_offered: u32,
}

/// Reason why a request got no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSlot {
    /// The queue is full.
    QueueFull,
    /// The request's deadline passed while it waited.
    DeadlinePassed,
}

/// Slots and their queue, in order of arrival.
#[derive(Debug)]
pub struct SlotQueue {
    slots: Arc<Semaphore>,
    occupancy: Arc<RankedMutex<Occupancy>>,
}

/// Occupies one slot; releases it when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    occupancy: Arc<RankedMutex<Occupancy>>,
    _permit: OwnedSemaphorePermit,
}

/// Occupies one place in the queue; releases it when dropped.
struct QueueGuard {
    occupancy: Arc<RankedMutex<Occupancy>>,
}

impl SlotQueue {
    /// Creates this number of free slots with an empty queue.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            occupancy: Arc::new(RankedMutex::new(LockRank::Queues, Occupancy::default())),
        }
    }

    /// Acquires a slot, if necessary after a wait until `deadline`; at most `queue_max`
    /// requests wait at once.
    ///
    /// # Errors
    /// When the queue is full or no slot was released in time.
    pub async fn acquire_slot(
        &self,
        queue_max: u32,
        deadline: Instant,
    ) -> Result<SlotGuard, NoSlot> {
        let slots = Arc::clone(&self.slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            return Ok(self.occupy(permit));
        }
        let waiting = self.join_queue(queue_max)?;
        let permit = timeout_at(deadline, slots.acquire_owned()).await;
        drop(waiting);
        match permit {
            Ok(Ok(permit)) => Ok(self.occupy(permit)),
            _ => Err(NoSlot::DeadlinePassed),
        }
    }

    /// Returns the current number of running and waiting requests, and the peaks.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        *self.occupancy.lock()
    }

    fn occupy(&self, permit: OwnedSemaphorePermit) -> SlotGuard {
        let mut occupancy = self.occupancy.lock();
        occupancy.running += 1;
        occupancy.update_peaks();
        SlotGuard {
            occupancy: Arc::clone(&self.occupancy),
            _permit: permit,
        }
    }

    fn join_queue(&self, queue_max: u32) -> Result<QueueGuard, NoSlot> {
        let mut occupancy = self.occupancy.lock();
        if occupancy.queued >= queue_max {
            return Err(NoSlot::QueueFull);
        }
        occupancy.queued += 1;
        occupancy.update_peaks();
        Ok(QueueGuard {
            occupancy: Arc::clone(&self.occupancy),
        })
    }
}

impl Occupancy {
    fn update_peaks(&mut self) {
        self.highest_running = self.highest_running.max(self.running);
        self.highest_offered = self.highest_offered.max(self.running + self.queued);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.occupancy.lock().running -= 1;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.occupancy.lock().queued -= 1;
    }
}
