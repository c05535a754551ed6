//! The stated order of locks over the shared tables.
//!
//! Workers of the pool share tables, each behind a [`Ranked`] lock. A worker
//! that holds a lock may take only locks of a higher [`Rank`]. Debug builds
//! panic at the first lock taken out of order. Guards are not `Send`, so the
//! compiler refuses a spawned task that would hold one across an await.

use std::ops::{Deref, DerefMut};

use parking_lot::{Mutex, MutexGuard};

/// The order in which locks are taken: top first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// Configuration in force.
    Config,
    /// Members of the site and their liveness.
    Members,
    /// Machines and backend servers as they announced themselves.
    Roster,
    /// Look-ups and shifts.
    Steering,
    /// Links between processes.
    Links,
    /// Replicated log and its state machine.
    Log,
    /// Operations of the ledger.
    Ledger,
    /// Plan limits and queues of waiting work.
    Queues,
    /// Credits issued and held.
    Credits,
    /// Backend servers, leases and slots.
    Fleet,
    /// Backend servers that requests are spread over, and their load.
    Spread,
    /// Connections to backend servers.
    Connections,
    /// Budgets for hedges and retries.
    Budgets,
    /// Requests that crashed backend servers.
    Poison,
    /// Counters and histograms.
    Stats,
}

/// A table behind a lock with a place in the order.
#[derive(Debug)]
pub struct Ranked<T> {
    rank: Rank,
    table: Mutex<T>,
}

impl<T> Ranked<T> {
    /// Puts a table behind a lock of this rank.
    #[must_use]
    pub fn new(rank: Rank, table: T) -> Self {
        Self {
            rank,
            table: Mutex::new(table),
        }
    }

    /// Waits for the lock.
    ///
    /// # Panics
    /// In debug builds, when this thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        held::enter(self.rank);
        Guard {
            rank: self.rank,
            table: self.table.lock(),
        }
    }
}

/// Access to a locked table; unlocks when dropped.
pub struct Guard<'a, T> {
    rank: Rank,
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
        held::leave(self.rank);
    }
}

#[cfg(debug_assertions)]
mod held {
    use std::cell::RefCell;

    use super::Rank;

    thread_local! {
        static HELD: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
    }

    pub fn enter(rank: Rank) {
        HELD.with_borrow_mut(|held| {
            if let Some(top) = held.iter().max()
                && *top >= rank
            {
                panic!("lock {rank:?} taken while {top:?} is held");
            }
            held.push(rank);
        });
    }

    pub fn leave(rank: Rank) {
        HELD.with_borrow_mut(|held| {
            if let Some(at) = held.iter().rposition(|r| *r == rank) {
                held.remove(at);
            }
        });
    }
}

#[cfg(not(debug_assertions))]
mod held {
    use super::Rank;

    pub fn enter(_rank: Rank) {}

    pub fn leave(_rank: Rank) {}
}
