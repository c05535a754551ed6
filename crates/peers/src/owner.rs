//! Ownership of backend servers: which entry VM of a failure domain admits work
//! to a server, and from when.
//!
//! Rendezvous hashing over the domain's live entry VMs determines the owner. An
//! ownership lasts until one lease after its holder last refreshed its view of
//! the membership while in contact with another process. A new owner waits that
//! long, so that two VMs never own a server at once. The wait ends early when
//! every other live VM has reported a digest of the same live VMs, because none
//! of them can then own a server under an older view.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use world::{MachineName, ServerName};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Leases that a VM waits after its own start: the others may notice the start
/// up to a lease late.
const START_WAIT_LEASES: u32 = 2;

/// Leases without contact after which an isolated VM owns servers again.
const ISOLATION_LEASES: u32 = 10;

/// Returns the entry VM of `live` that owns a backend server.
#[must_use]
pub fn owner<'a>(server: &ServerName, live: &'a [MachineName]) -> Option<&'a MachineName> {
    let key = xxh3_64(server.as_str().as_bytes());
    live.iter()
        .max_by_key(|name| (xxh3_64_with_seed(name.as_str().as_bytes(), key), *name))
}

/// Digest of a set of VMs, which `live` holds sorted by name; never 0.
fn digest(live: &[MachineName]) -> u64 {
    let mut hash = Xxh3::new();
    for name in live {
        hash.update(name.as_str().as_bytes());
        hash.update(&[0]);
    }
    hash.digest().max(1)
}

/// Whether this VM may send work to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// This VM owns the server and may send work now.
    Owner,
    /// This VM owns the server and may send work from this time on, when the lease of
    /// an earlier owner has ended.
    OwnerFrom(Instant),
    /// This other entry VM owns the server.
    OwnedBy(MachineName),
    /// This VM has not refreshed its view for a lease, or has lost contact with
    /// all other processes, or no entry VM is live.
    Lapsed,
}

/// A view of the membership of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Live entry VMs of the domain, this one included, sorted by name.
    pub live: Vec<MachineName>,
    /// Whether any other entry VM of the domain is known that has not left.
    pub knows_others: bool,
    /// When a message of any other process was last received.
    pub last_contact_at: Option<Instant>,
}

/// The last digest of live VMs that another VM reported.
#[derive(Clone, Copy, Debug)]
struct ReportedDigest {
    digest: u64,
    at: Instant,
}

/// Ownership of the backend servers of a failure domain, as one entry VM sees it.
#[derive(Debug)]
pub struct Owners {
    me: MachineName,
    lease: Duration,
    view: MembershipView,
    /// When the view was last refreshed.
    refreshed_at: Instant,
    /// When this VM started, or resumed after a pause or a loss of contact.
    joined_at: Instant,
    /// When the live VMs of the view last changed.
    changed_at: Instant,
    /// When a VM last disappeared from the live ones.
    vm_lost_at: Option<Instant>,
    reported_digests: HashMap<MachineName, ReportedDigest>,
    /// Time from which this VM may send work to each server that it owns.
    owned_from: HashMap<ServerName, Instant>,
}

impl Owners {
    /// Creates the table of a VM that has just started.
    #[must_use]
    pub fn new(me: MachineName, lease: Duration, now: Instant) -> Self {
        Self {
            me,
            lease,
            view: MembershipView::default(),
            refreshed_at: now,
            joined_at: now,
            changed_at: now,
            vm_lost_at: None,
            reported_digests: HashMap::new(),
            owned_from: HashMap::new(),
        }
    }

    /// Replaces the view of the membership by a current one. To be called more often
    /// than once a lease, or ownership lapses.
    pub fn update_view(&mut self, now: Instant, view: MembershipView) {
        let paused = now.duration_since(self.refreshed_at) >= self.lease;
        if paused || self.was_out_of_contact(view.last_contact_at) {
            // Other VMs may own the servers by now, and may not have noticed the return.
            // The wait is therefore as long as after a start.
            self.joined_at = now;
            self.reported_digests.clear();
        }
        self.refreshed_at = now;
        if view.live != self.view.live {
            self.changed_at = now;
            if self.view.live.iter().any(|vm| !view.live.contains(vm)) {
                self.vm_lost_at = Some(now);
            }
            let me = self.me.clone();
            let from = now + self.lease;
            let owners = (&self.view.live, &view.live);
            self.owned_from
                .retain(|server, _| owner(server, owners.1) == Some(&me));
            for (server, owned_from) in &mut self.owned_from {
                if owner(server, owners.0) != Some(&me) {
                    *owned_from = from;
                }
            }
        }
        self.view = view;
    }

    /// Returns whether this VM may send work to `server` now.
    pub fn ownership(&mut self, now: Instant, server: &ServerName) -> Ownership {
        match owner(server, &self.view.live) {
            Some(name) if *name == self.me => {}
            Some(name) => return Ownership::OwnedBy(name.clone()),
            None => return Ownership::Lapsed,
        }
        if now.duration_since(self.refreshed_at) >= self.lease || self.is_isolated(now) {
            return Ownership::Lapsed;
        }
        let after_change = self.changed_at + self.lease;
        let owned_from = match self.owned_from.get(server) {
            Some(from) => *from,
            None => *self
                .owned_from
                .entry(server.clone())
                .or_insert(after_change),
        };
        let after_start = self.joined_at + self.lease * START_WAIT_LEASES;
        let from = owned_from.max(after_start);
        if now < from && !self.all_others_agree(now) {
            return Ownership::OwnerFrom(from);
        }
        Ownership::Owner
    }

    /// Digest of the live VMs to report to the other VMs; `None` while a VM that is
    /// no longer live may still own servers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Option<u64> {
        (!self.may_lost_vm_own(now)).then(|| digest(&self.view.live))
    }

    /// Records another VM's digest. That VM owns servers only under the view that it
    /// reports, so an equal digest ends the wait for it.
    pub fn record_digest(&mut self, now: Instant, vm: &MachineName, digest: u64) {
        let reported = ReportedDigest { digest, at: now };
        self.reported_digests.insert(vm.clone(), reported);
    }

    /// Removes a backend server whose registration has ended.
    pub fn forget(&mut self, server: &ServerName) {
        self.owned_from.remove(server);
    }

    /// Whether a VM that is no longer live may still use the servers it owned.
    fn may_lost_vm_own(&self, now: Instant) -> bool {
        self.vm_lost_at.is_some_and(|at| now < at + self.lease)
    }

    /// Whether every other live VM has reported the same live VMs since this VM's
    /// view last changed.
    fn all_others_agree(&self, now: Instant) -> bool {
        let since = self.changed_at.max(self.joined_at);
        let mine = digest(&self.view.live);
        let agrees = |vm: &MachineName| {
            self.reported_digests
                .get(vm)
                .is_some_and(|a| a.digest == mine && a.at > since && now < a.at + self.lease)
        };
        let mut others = self.view.live.iter().filter(|vm| **vm != self.me);
        self.view.live.len() > 1 && !self.may_lost_vm_own(now) && others.all(agrees)
    }

    /// Whether the contact at `last_contact_at` ended a lease or more without contact.
    fn was_out_of_contact(&self, last_contact_at: Option<Instant>) -> bool {
        match (self.view.last_contact_at, last_contact_at) {
            (Some(before), Some(at)) => at.saturating_duration_since(before) >= self.lease,
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// Whether other VMs may consider this VM dead while it still runs. After
    /// [`ISOLATION_LEASES`] the VM counts as the only one left and serves what it can.
    fn is_isolated(&self, now: Instant) -> bool {
        let silent = self
            .view
            .last_contact_at
            .map_or(self.lease, |at| now.duration_since(at));
        self.view.knows_others && silent >= self.lease && silent < self.lease * ISOLATION_LEASES
    }
}
