//! Look-ups: the entry VMs that a client should use, best first.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

use world::{EntryVm, ServiceName};

use crate::blocks::Blocks;
use crate::hash::{self, Purpose};
use crate::places::{PlaceId, Places};
use crate::plan::Plan;

/// Entry VMs named in one answer at most.
pub const ENTRIES_MAX: usize = 4;
/// Entry VMs of the first place in one answer at most.
const FIRST_PLACE_MAX: usize = 2;
/// Shortest lifetime of an answer as a share of the longest; lifetimes
/// differ so that callers do not all come back at once.
const TTL_SHARE_MIN: f64 = 0.75;

/// Everything that look-ups are answered from; replaced whole on a change.
#[derive(Clone, Debug)]
pub struct Steer {
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

/// The answer to a look-up.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Entry VMs, best first; empty when none is known.
    pub entries: Vec<Arc<EntryVm>>,
    /// For how long the answer may be kept, milliseconds.
    pub ttl_ms: u64,
    /// Home of the client.
    pub home: PlaceId,
    /// Place of the first entry VM.
    pub place: Option<PlaceId>,
}

impl Steer {
    /// Look-ups over these blocks, with no entry VM yet and every client at home.
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

    /// With these entry VMs: the live ones that are not leaving.
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

    /// With this plan for a service.
    #[must_use]
    pub fn with_plan(mut self, service: ServiceName, plan: Plan) -> Self {
        self.plans.insert(service, plan);
        self
    }

    /// The places that ids in answers speak of.
    #[must_use]
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Home of a client: that of its block, or one by hash.
    #[must_use]
    pub fn home(&self, client: IpAddr) -> Option<PlaceId> {
        self.blocks.home(client).or_else(|| {
            let key = hash::client(client);
            let weighted = self.places.ids().map(|p| (p, 1.0));
            best(key, weighted, Purpose::Home)
        })
    }

    /// The entry VMs that a client should use for a service.
    #[must_use]
    pub fn lookup(&self, client: IpAddr, service: &str) -> Option<Answer> {
        let key = hash::client(client);
        let home = self.home(client)?;
        let plan = self.plans.get(service).unwrap_or(&self.at_home);
        let mut entries = Vec::with_capacity(ENTRIES_MAX);
        let mut place = None;
        let ranked = self.ranked_places(key, home, plan);
        for next in &ranked {
            let most = if entries.is_empty() {
                FIRST_PLACE_MAX
            } else {
                1
            };
            self.push_entries(key, *next, most, &mut entries);
            if !entries.is_empty() {
                place.get_or_insert(*next);
            }
            if entries.len() == ENTRIES_MAX {
                break;
            }
        }
        // A small site has more entry VMs than places: the rest fill up.
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

    /// Whether a request that is served away from the client's home is refused.
    #[must_use]
    pub fn refuses(&self, service: &str, client: IpAddr, priority: u8, request: u64) -> bool {
        let Some(plan) = self.plans.get(service) else {
            return false;
        };
        self.home(client)
            .is_some_and(|home| plan.homes[home.index()].cutoff.refuses(priority, request))
    }

    /// Places for a client, best first: the one the plan gives it, the rest
    /// of its home region, other regions, and closed places as a last resort.
    fn ranked_places(&self, key: u64, home: PlaceId, plan: &Plan) -> Vec<PlaceId> {
        let first = first_place(key, home, plan);
        let rank = |place: PlaceId| {
            let index = place.index();
            let near = self.places.same_region(place, home);
            let weight = plan.spare_per_s[index].max(f64::MIN_POSITIVE);
            let score = score(key, place, weight, Purpose::Fallback);
            (plan.open[index], near, score, place)
        };
        let others = self.places.ids().filter(|p| Some(*p) != first);
        let mut rest: Vec<_> = others.map(rank).collect();
        rest.sort_unstable_by(|a, b| (b.0, b.1).cmp(&(a.0, a.1)).then(b.2.total_cmp(&a.2)));
        let rest = rest.into_iter().map(|ranked| ranked.3);
        first.into_iter().chain(rest).collect()
    }

    fn push_entries(&self, key: u64, place: PlaceId, most: usize, out: &mut Vec<Arc<EntryVm>>) {
        let most = most.min(ENTRIES_MAX - out.len());
        for _ in 0..most {
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

fn first_place(key: u64, home: PlaceId, plan: &Plan) -> Option<PlaceId> {
    let row = &plan.homes[home.index()];
    if hash::unit(key, Purpose::Move) < row.kept {
        return Some(home);
    }
    let weighted = row.lent.iter().map(|lent| (lent.to, lent.rate_per_s));
    best(key, weighted, Purpose::Target)
}

fn score(key: u64, place: PlaceId, weight: f64, purpose: Purpose) -> f64 {
    hash::score(key, u64::from(place.raw()), weight, purpose)
}

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
