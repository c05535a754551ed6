//! Who owns a backend server, and when a new owner may use it.
//!
//! Rendezvous hashing over the live entry VMs of a failure domain names the
//! owner. A new owner waits until the old one's right has surely ended: a
//! right lasts one lease beyond the last time that its holder looked at the
//! members and had heard from another process. The wait ends early when every
//! other live VM has told that it sees the same VMs live, since none of them
//! then holds a right by an older sight.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use world::{MachineName, ServerName};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Leases that a VM waits after its own start: the others may learn of it late.
const JOIN_LEASES: u32 = 2;

/// Leases after which a VM that hears nobody goes on alone.
const ALONE_LEASES: u32 = 10;

/// The entry VM that owns a backend server.
#[must_use]
pub fn owner<'a>(server: &ServerName, live: &'a [MachineName]) -> Option<&'a MachineName> {
    let key = xxh3_64(server.as_str().as_bytes());
    live.iter()
        .max_by_key(|name| (xxh3_64_with_seed(name.as_str().as_bytes(), key), *name))
}

/// Digest of a set of VMs, given by name in order; never 0.
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
pub enum Right {
    /// It may.
    Owner,
    /// It will, once the right of an earlier owner has ended.
    From(Instant),
    /// Another entry VM owns it.
    Elsewhere(MachineName),
    /// This VM has not looked at the members for too long, or hears nobody.
    Lapsed,
}

/// What the membership says.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// Live entry VMs of the domain, this one included, by name.
    pub live: Vec<MachineName>,
    /// Whether other entry VMs of the domain are known that have not left.
    pub others: bool,
    /// When any other process was last heard of.
    pub heard_at: Option<Instant>,
}

/// Another VM's word on which VMs are live.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    digest: u64,
    at: Instant,
}

/// Owners of the backend servers of a failure domain.
#[derive(Debug)]
pub struct Owners {
    me: MachineName,
    lease: Duration,
    sight: Sight,
    seen_at: Instant,
    joined_at: Instant,
    changed_at: Instant,
    lost_at: Option<Instant>,
    agreed: HashMap<MachineName, Agreement>,
    mine_from: HashMap<ServerName, Instant>,
}

impl Owners {
    /// A table of a VM that has just started.
    #[must_use]
    pub fn new(me: MachineName, lease: Duration, now: Instant) -> Self {
        Self {
            me,
            lease,
            sight: Sight::default(),
            seen_at: now,
            joined_at: now,
            changed_at: now,
            lost_at: None,
            agreed: HashMap::new(),
            mine_from: HashMap::new(),
        }
    }

    /// Takes in what the membership says now.
    pub fn look(&mut self, now: Instant, sight: Sight) {
        let slept = now.duration_since(self.seen_at) >= self.lease;
        if slept || self.was_silent(sight.heard_at) {
            // Others may have taken over, and may not have noticed the return.
            self.joined_at = now;
            self.agreed.clear();
        }
        self.seen_at = now;
        if sight.live != self.sight.live {
            self.changed_at = now;
            if self.sight.live.iter().any(|vm| !sight.live.contains(vm)) {
                self.lost_at = Some(now);
            }
            let me = self.me.clone();
            let from = now + self.lease;
            let owners = (&self.sight.live, &sight.live);
            self.mine_from
                .retain(|server, _| owner(server, owners.1) == Some(&me));
            for (server, mine_from) in &mut self.mine_from {
                if owner(server, owners.0) != Some(&me) {
                    *mine_from = from;
                }
            }
        }
        self.sight = sight;
    }

    /// Whether this VM may send work to `server` now.
    pub fn right(&mut self, now: Instant, server: &ServerName) -> Right {
        match owner(server, &self.sight.live) {
            Some(name) if *name == self.me => {}
            Some(name) => return Right::Elsewhere(name.clone()),
            None => return Right::Lapsed,
        }
        if now.duration_since(self.seen_at) >= self.lease || self.is_cut_off(now) {
            return Right::Lapsed;
        }
        let first_seen = self.changed_at + self.lease;
        let mine_from = match self.mine_from.get(server) {
            Some(from) => *from,
            None => *self.mine_from.entry(server.clone()).or_insert(first_seen),
        };
        let joined = self.joined_at + self.lease * JOIN_LEASES;
        let from = mine_from.max(joined);
        if now < from && !self.all_agree(now) {
            return Right::From(from);
        }
        Right::Owner
    }

    /// What to tell the other VMs: a digest of the VMs that are live, once no
    /// right of a lost one can be left.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Option<u64> {
        (!self.is_right_left(now)).then(|| digest(&self.sight.live))
    }

    /// Takes in another VM's digest. It holds no right by any other sight than
    /// the one that it tells, so agreement ends the wait for its rights.
    pub fn agree(&mut self, now: Instant, vm: &MachineName, digest: u64) {
        let agreement = Agreement { digest, at: now };
        self.agreed.insert(vm.clone(), agreement);
    }

    /// Drops a backend server whose lease has ended.
    pub fn forget(&mut self, server: &ServerName) {
        self.mine_from.remove(server);
    }

    /// Whether a VM that was lost may still use its rights.
    fn is_right_left(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|at| now < at + self.lease)
    }

    /// Whether every other live VM told the same sight after this one took it.
    fn all_agree(&self, now: Instant) -> bool {
        let since = self.changed_at.max(self.joined_at);
        let mine = digest(&self.sight.live);
        let agrees = |vm: &MachineName| {
            self.agreed
                .get(vm)
                .is_some_and(|a| a.digest == mine && a.at > since && now < a.at + self.lease)
        };
        let mut others = self.sight.live.iter().filter(|vm| **vm != self.me);
        self.sight.live.len() > 1 && !self.is_right_left(now) && others.all(agrees)
    }

    /// Whether nobody was heard for a lease before `heard_at`.
    fn was_silent(&self, heard_at: Option<Instant>) -> bool {
        match (self.sight.heard_at, heard_at) {
            (Some(before), Some(at)) => at.saturating_duration_since(before) >= self.lease,
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// Whether others may take this VM for dead while it still runs. After
    /// [`ALONE_LEASES`] it goes on alone and serves what it can.
    fn is_cut_off(&self, now: Instant) -> bool {
        let silent = self
            .sight
            .heard_at
            .map_or(self.lease, |at| now.duration_since(at));
        self.sight.others && silent >= self.lease && silent < self.lease * ALONE_LEASES
    }
}
