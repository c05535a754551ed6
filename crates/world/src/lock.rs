//! Locks with a fixed order, which prevents deadlocks between worker threads.
//!
//! Workers share tables, each behind a [`RankedMutex`] lock. A thread that holds a
//! lock may take only locks of a higher [`LockRank`]; debug builds panic when a lock
//! is taken out of order. Guards are not `Send`, so the compiler rejects a
//! spawned task that holds a guard across an await.

use std::ops::{Deref, DerefMut};

use parking_lot::{Mutex, MutexGuard};

/// Position of a lock in the lock order; the first variant is the lowest rank.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LockRank {
    /// Current configuration.
    Config,
    /// Membership table: entry VMs and whether they are alive.
    Members,
    /// Registry of machines and backend servers that have announced themselves.
    Registry,
    /// Lookups of entry VMs by clients, and shifts of clients between places.
    Steering,
    /// Connections between processes.
    Links,
    /// Replicated log and the state machine it is applied to.
    Log,
    /// Operations recorded in the ledger.
    Ledger,
    /// Plan limits, and queues of requests that wait for a slot.
    Queues,
    /// Credits issued to other entry VMs and received from them.
    Credits,
    /// Backend servers with their leases and slots.
    Fleet,
    /// Candidate backend servers by the object that a request names, and their load.
    Affinity,
    /// Connections to backend servers.
    Connections,
    /// Budgets of hedges and retries.
    Budgets,
    /// Poison marks: requests that have crashed backend servers.
    Poison,
    /// Metrics: counters and histograms.
    Stats,
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: LockRank,
    table: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Wraps a table in a lock of this rank.
    #[must_use]
    pub fn new(rank: LockRank, table: T) -> Self {
        Self {
            rank,
            table: Mutex::new(table),
        }
    }

    /// Blocks until the lock is acquired.
    ///
    /// # Panics
    /// In debug builds, if this thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        thread_ranks::record_acquire(self.rank);
        Guard {
            rank: self.rank,
            table: self.table.lock(),
        }
    }
}

/// Guard that gives access to a locked table; dropping it releases the lock.
pub struct Guard<'a, T> {
    rank: LockRank,
    table: MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.table
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.table
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        thread_ranks::record_release(self.rank);
    }
}

/// Ranks of the locks that the current thread holds.
#[cfg(debug_assertions)]
mod thread_ranks {
    use std::cell::RefCell;

    use super::LockRank;

    thread_local! {
        static HELD: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
    }

    pub fn record_acquire(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(highest) = held.iter().max()
                && *highest >= rank
            {
                panic!("lock {rank:?} taken while {highest:?} is held");
            }
            held.push(rank);
        });
    }

    pub fn record_release(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(position) = held.iter().rposition(|r| *r == rank) {
                held.remove(position);
            }
        });
    }
}

/// Release builds don't check the lock order.
#[cfg(not(debug_assertions))]
mod thread_ranks {
    use super::LockRank;

    pub fn record_acquire(_rank: LockRank) {}

    pub fn record_release(_rank: LockRank) {}
}
