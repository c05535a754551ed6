//! Lookups of the entry VMs that a client should use, in preference order.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

use world::{EntryVm, ServiceName};

use crate::blocks::Blocks;
use crate::hash::{self, Purpose};
use crate::places::{PlaceId, Places};
use crate::plan::Plan;

/// Largest number of entry VMs in an answer.
pub const ENTRIES_MAX: usize = 4;
/// Largest number of entry VMs of the first place, unless other places have too
/// few to complete the answer.
const FIRST_PLACE_MAX: usize = 2;
/// Shortest lifetime of an answer relative to the longest. Lifetimes differ so
/// that clients don't repeat their lookups all at once.
const TTL_SHARE_MIN: f64 = 0.75;

/// The tables from which lookups are answered. A change replaces them as a whole.
#[derive(Clone, Debug)]
pub struct LookupTables {
    places: Places,
    blocks: Arc<Blocks>,
    entries: Vec<Vec<Entry>>,
    plans: HashMap<ServiceName, Plan>,
    at_home: Plan,
    ttl_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    hash: u64,
    vm: Arc<EntryVm>,
}

/// The answer to a lookup.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Entry VMs in preference order; empty if none is known.
    pub entries: Vec<Arc<EntryVm>>,
    /// Time for which the client may cache the answer, milliseconds.
    pub ttl_ms: u64,
    /// Home place of the client.
    pub home: PlaceId,
    /// Place of the first entry VM in the answer.
    pub place: Option<PlaceId>,
}

impl LookupTables {
    /// Creates tables without entry VMs, where every client stays at home. `ttl_ms` is
    /// the longest lifetime of an answer.
    #[must_use]
    pub fn new(places: Places, blocks: Arc<Blocks>, ttl_ms: u64) -> Self {
        Self {
            entries: vec![Vec::new(); places.len()],
            at_home: Plan::at_home(places.len()),
            plans: HashMap::new(),
            places,
            blocks,
            ttl_ms,
        }
    }

    /// Replaces the entry VMs, which should be the live ones that are not leaving.
    #[must_use]
    pub fn with_entries(mut self, vms: impl IntoIterator<Item = Arc<EntryVm>>) -> Self {
        self.entries = vec![Vec::new(); self.places.len()];
        for vm in vms {
            if let Some(place) = self.places.id(&vm.place) {
                let hash = hash::name(vm.name.as_str());
                self.entries[place.index()].push(Entry { hash, vm });
            }
        }
        self
    }

    /// Sets the plan of a service.
    #[must_use]
    pub fn with_plan(mut self, service: ServiceName, plan: Plan) -> Self {
        self.plans.insert(service, plan);
        self
    }

    /// Returns the places to which the ids in answers refer.
    #[must_use]
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Returns the home of a client: that of its block, or else one chosen by hash.
    #[must_use]
    pub fn home(&self, client: IpAddr) -> Option<PlaceId> {
        self.blocks.home(client).or_else(|| {
            let key = hash::client(client);
            let weighted = self.places.ids().map(|p| (p, 1.0));
            best(key, weighted, Purpose::Home)
        })
    }

    /// Returns the entry VMs that a client should use for a service, or `None` if the
    /// site has no place.
    #[must_use]
    pub fn lookup(&self, client: IpAddr, service: &str) -> Option<Answer> {
        let key = hash::client(client);
        let home = self.home(client)?;
        let plan = self.plans.get(service).unwrap_or(&self.at_home);
        let mut entries = Vec::with_capacity(ENTRIES_MAX);
        let mut place = None;
        let ranked = self.ranked_places(key, home, plan);
        for next in &ranked {
            let limit = if entries.is_empty() {
                FIRST_PLACE_MAX
            } else {
                1
            };
            self.push_entries(key, *next, limit, &mut entries);
            if !entries.is_empty() {
                place.get_or_insert(*next);
            }
            if entries.len() == ENTRIES_MAX {
                break;
            }
        }
        // A small site has fewer places than the answer has entries, so more
        // entry VMs of the same places are added.
        for next in &ranked {
            self.push_entries(key, *next, ENTRIES_MAX, &mut entries);
        }
        Some(Answer {
            entries,
            ttl_ms: self.ttl_ms(key),
            home,
            place,
        })
    }

    /// Returns whether to refuse a request that is served away from the client's home.
    /// `request_key` is a hash that selects the share of refused requests.
    #[must_use]
    pub fn refuses(&self, service: &str, client: IpAddr, priority: u8, request_key: u64) -> bool {
        let Some(plan) = self.plans.get(service) else {
            return false;
        };
        self.home(client).is_some_and(|home| {
            plan.homes[home.index()]
                .cutoff
                .refuses(priority, request_key)
        })
    }

    /// Returns the places for a client in preference order: the one assigned by the
    /// plan, the others of its home region, those of other regions, and last the
    /// places that take no new clients.
    fn ranked_places(&self, key: u64, home: PlaceId, plan: &Plan) -> Vec<PlaceId> {
        let first = first_place(key, home, plan);
        let rank = |place: PlaceId| {
            let index = place.index();
            let near = self.places.same_region(place, home);
            let weight = plan.free_per_s[index].max(f64::MIN_POSITIVE);
            let score = score(key, place, weight, Purpose::Fallback);
            (plan.open[index], near, score, place)
        };
        let others = self.places.ids().filter(|p| Some(*p) != first);
        let mut rest: Vec<_> = others.map(rank).collect();
        rest.sort_unstable_by(|a, b| (b.0, b.1).cmp(&(a.0, a.1)).then(b.2.total_cmp(&a.2)));
        let rest = rest.into_iter().map(|ranked| ranked.3);
        first.into_iter().chain(rest).collect()
    }

    fn push_entries(&self, key: u64, place: PlaceId, limit: usize, out: &mut Vec<Arc<EntryVm>>) {
        let limit = limit.min(ENTRIES_MAX - out.len());
        for _ in 0..limit {
            let next = self.entries[place.index()]
                .iter()
                .filter(|entry| !out.iter().any(|vm| Arc::ptr_eq(vm, &entry.vm)))
                .max_by_key(|entry| hash::mix(key, entry.hash, Purpose::Entry));
            let Some(entry) = next else { return };
            out.push(Arc::clone(&entry.vm));
        }
    }

    fn ttl_ms(&self, key: u64) -> u64 {
        let span = 1.0 - TTL_SHARE_MIN;
        let share = TTL_SHARE_MIN + span * hash::unit(key, Purpose::Ttl);
        let ttl = world::unit::ms(self.ttl_ms).mul_f64(share);
        world::unit::as_ms(ttl)
    }
}

/// Returns the place that the plan assigns to a client.
fn first_place(key: u64, home: PlaceId, plan: &Plan) -> Option<PlaceId> {
    let row = &plan.homes[home.index()];
    if hash::unit(key, Purpose::Shift) < row.kept {
        return Some(home);
    }
    let weighted = row
        .shifted
        .iter()
        .map(|shifted| (shifted.to, shifted.rate_per_s));
    best(key, weighted, Purpose::Target)
}

fn score(key: u64, place: PlaceId, weight: f64, purpose: Purpose) -> f64 {
    hash::score(key, u64::from(place.raw()), weight, purpose)
}

/// Returns the place with the highest rendezvous score for a client.
fn best(
    key: u64,
    weighted: impl Iterator<Item = (PlaceId, f64)>,
    purpose: Purpose,
) -> Option<PlaceId> {
    weighted
        .map(|(place, weight)| (place, score(key, place, weight, purpose)))
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(place, _)| place)
}
