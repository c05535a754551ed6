//! The site as this entry VM sees it: members, lookup tables and server owners.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use conf::Settings;
use peers::Links;
use peers::members::{Members, PlaceKey};
use peers::owner::{MembershipView, Owners, Ownership};
use rand::SeedableRng;
use rand::rngs::StdRng;
use steer::Blocks;
use tokio::time::Instant;
use world::unit::ms;
use world::{Config, Drain, EntryVm, LockRank, MachineName, Place, RankedMutex, ServerName};

use crate::client_shift::{ClientShift, DomainView};
use crate::state::State;

/// Incarnation with which this VM starts. The membership protocol raises it above the
/// incarnation that other members have recorded for this VM.
const FIRST_INCARNATION: u64 = 1;

/// Members, lookup tables and owners of backend servers.
pub struct Site {
    /// Members of the site.
    pub members: RankedMutex<Members>,
    client_shift: RankedMutex<ClientShift>,
    lookups: RankedMutex<Arc<steer::LookupTables>>,
    owners: RankedMutex<Owners>,
    links: OnceLock<Arc<Links<State>>>,
    membership_revision: AtomicU64,
}

impl Site {
    /// Creates a site in which only this VM is known.
    #[must_use]
    pub fn new(me: &EntryVm, settings: &Settings, blocks: Blocks, now: Instant) -> Self {
        let rng = StdRng::seed_from_u64(rand::random());
        let seeds = settings.seeds.clone();
        let members = Members::new(Arc::new(me.clone()), FIRST_INCARNATION, seeds, rng);
        let client_shift = ClientShift::new(
            &settings.zones,
            Arc::new(blocks),
            settings.lookup_ttl_ms,
            now,
        );
        let owners = Owners::new(me.name.clone(), ms(settings.lease_ms), now);
        let site = Self {
            lookups: RankedMutex::new(
                LockRank::Steering,
                Arc::new(client_shift.home_tables(members.live())),
            ),
            members: RankedMutex::new(LockRank::Members, members),
            client_shift: RankedMutex::new(LockRank::Steering, client_shift),
            owners: RankedMutex::new(LockRank::Members, owners),
            links: OnceLock::new(),
            membership_revision: AtomicU64::new(0),
        };
        site.refresh_view(now, me, &Config::default());
        site
    }

    /// Sets the links to other processes, once, at startup.
    pub fn set_links(&self, links: Arc<Links<State>>) {
        let _ = self.links.set(links);
    }

    /// Links to other processes; `None` while the role is starting.
    #[must_use]
    pub fn links(&self) -> Option<&Arc<Links<State>>> {
        self.links.get()
    }

    /// The current lookup tables.
    #[must_use]
    pub fn lookups(&self) -> Arc<steer::LookupTables> {
        Arc::clone(&self.lookups.lock())
    }

    /// Entry VMs of the whole site, sorted by name.
    #[must_use]
    pub fn entries(&self, now: Instant) -> Vec<Arc<EntryVm>> {
        let mut entries = self.members.lock().site(now);
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    /// Live entry VMs of this failure domain, sorted by name.
    #[must_use]
    pub fn domain_entries(&self) -> Vec<Arc<EntryVm>> {
        self.members.lock().live()
    }

    /// Who owns a backend server of this VM's failure domain now.
    #[must_use]
    pub fn server_ownership(&self, now: Instant, server: &ServerName) -> Ownership {
        self.owners.lock().ownership(now, server)
    }

    /// Digest of the live members, to send to other VMs of the failure domain.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Option<u64> {
        self.owners.lock().digest(now)
    }

    /// Records another VM's digest of the live members.
    pub fn record_peer_digest(&self, now: Instant, vm: &MachineName, digest: u64) {
        self.owners.lock().record_digest(now, vm, digest);
    }

    /// Calls [`Self::refresh_view`] if the membership has changed since the last call.
    pub fn refresh_view_if_changed(&self, now: Instant, me: &EntryVm, config: &Config) {
        let revision = self.members.lock().revision();
        if self.membership_revision.swap(revision, Ordering::Relaxed) != revision {
            self.refresh_view(now, me, config);
        }
    }

    /// Updates owners and lookup tables from the current membership.
    pub fn refresh_view(&self, now: Instant, me: &EntryVm, config: &Config) {
        let (view, mut entries, domains) = {
            let members = self.members.lock();
            (
                membership_view(&members),
                members.site(now),
                domains(&members, &me.place, now),
            )
        };
        self.owners.lock().update_view(now, view);
        let drained = |vm: &EntryVm| config.drains.contains(&Drain::Entry(vm.name.clone()));
        entries.retain(|vm| !drained(vm));
        let lookups = self
            .client_shift
            .lock()
            .step(now, entries, &domains, config);
        *self.lookups.lock() = Arc::new(lookups);
    }
}

fn membership_view(members: &Members) -> MembershipView {
    let left = peers::members::MemberState::Left;
    MembershipView {
        live: members.live().iter().map(|vm| vm.name.clone()).collect(),
        knows_others: members.records().any(|record| record.state != left),
        last_contact_at: members.last_contact_at(),
    }
}

fn domains(members: &Members, here: &Place, now: Instant) -> Vec<DomainView> {
    let here = PlaceKey::of(here);
    let to_view = |(place, fresh): (PlaceKey, bool)| DomainView {
        place,
        fresh: fresh || place == here,
        report: members.domains().load(place).cloned().unwrap_or_default(),
    };
    members.places(now).into_iter().map(to_view).collect()
}
