//! The tables that all workers of an entry VM share.

use std::sync::{Arc, OnceLock};

use tokio::sync::watch;
use world::{Book, Config, EntryVm, Error, Kind, Rank, Ranked, Secret};

use crate::ahead::Ahead;
use crate::booking::Bookings;
use crate::leases::Leases;
use crate::site::Site;

/// A configuration and the book made from it.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub config: Config,
    /// Its lists, indexed.
    pub book: Book,
}

/// Limits of time that the settings give, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time that callers may keep a look-up's answer.
    pub lookup_ttl_ms: u64,
    /// Length of a backend server's lease.
    pub lease_ms: u64,
    /// Longest time that a shutdown waits for work in flight.
    pub shutdown_ms: u64,
}

/// The tables of an entry VM.
pub struct State {
    /// This machine.
    pub me: EntryVm,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Limits of time.
    pub times: Times,
    /// Members, look-ups and owners.
    pub site: Site,
    /// Word of a newer configuration elsewhere.
    pub ahead: Ahead,
    /// Backend servers of the failure domain.
    pub leases: Ranked<Leases>,
    bookings: OnceLock<Arc<Bookings>>,
    in_force: Ranked<Arc<InForce>>,
    version: watch::Sender<u64>,
}

impl State {
    /// Empty tables for this machine.
    #[must_use]
    pub fn new(me: EntryVm, secret: Secret, times: Times, site: Site) -> Self {
        Self {
            site,
            ahead: Ahead::default(),
            leases: Ranked::new(Rank::Fleet, Leases::default()),
            bookings: OnceLock::new(),
            in_force: Ranked::new(Rank::Config, Arc::default()),
            version: watch::Sender::new(0),
            me,
            secret,
            times,
        }
    }

    /// Sets what runs non-idempotent operations, once, at the start.
    pub fn set_bookings(&self, bookings: Arc<Bookings>) {
        let _ = self.bookings.set(bookings);
    }

    /// What runs non-idempotent operations.
    ///
    /// # Errors
    /// [`Kind::LedgerUnread`] while the role is starting.
    pub fn bookings(&self) -> Result<&Arc<Bookings>, Error> {
        let starting = || Error::new(Kind::LedgerUnread, "this entry VM is starting");
        self.bookings.get().ok_or_else(starting)
    }

    /// The configuration in force here.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.in_force.lock())
    }

    /// Version of the configuration in force here.
    #[must_use]
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Puts a configuration in force if it is newer; never goes back.
    pub fn adopt(&self, config: Config) -> bool {
        let book = Book::new(&config.lists);
        let mut in_force = self.in_force.lock();
        let version = config.version;
        if version <= in_force.config.version {
            return false;
        }
        *in_force = Arc::new(InForce { config, book });
        self.version.send_replace(version);
        true
    }
}
