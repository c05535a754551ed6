//! Choice of a server for a request among the servers of one service.
//!
//! Servers are ordered by a hash of the object, and the cheapest of the first
//! few is chosen by `estimate::cost_ms`.

use std::collections::BTreeMap;
use std::sync::Arc;

use balancer::{Budget, BudgetSettings};
use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::{DomainName, Place, RegionName, ServerName, ServiceTerms};

use crate::cold;
use crate::estimate::{self, CostInputs};
use crate::request::{Choice, Full, Request};
use crate::round_trip::RoundTrip;
use crate::server::Server;
use crate::shares::{self, Shares};

/// Average response time before the first response, milliseconds.
const INITIAL_MEAN_RESPONSE_MS: f64 = 200.0;

/// Weight of a new response in the average response time.
const MEAN_RESPONSE_WEIGHT: f64 = 0.02;

/// Cap on a response time that enters the average, as a multiple of the average.
const RESPONSE_OUTLIER_CAP: f64 = 4.0;

/// Candidate servers in the region of an object: the first in preference order,
/// and two for when it has no free capacity.
const LOCAL_CANDIDATES: usize = 3;

/// Candidate servers in each other region, for when those have no free capacity.
const REMOTE_CANDIDATES: usize = 1;

/// Limit on the requests at a server per slot: one runs, and one waits for about
/// the average response time.
const MAX_LOAD_PER_SLOT: f64 = 2.0;

/// Share of its slots in use below which a server is lightly loaded.
const LIGHT_LOAD: f64 = 0.5;

/// Share of the retry budget that is used. The rest keeps the sum over entry VMs
/// under the limit while their number is known with some delay.
const BUDGET_SHARE: f64 = 0.75;

/// Budget of requests that leave the region of their object while that region
/// has servers: with the shift of shares by up to 10% in two seconds, the total
/// stays under 15%, the most that may change region in two seconds.
pub(crate) const OVERFLOW: BudgetSettings = BudgetSettings {
    share: 0.04,
    burst: 3.0,
};

/// A live entry VM.
#[derive(Clone, Debug)]
pub(crate) struct EntryVm {
    /// Hash of its name.
    pub hash: u64,
    pub region: RegionName,
}

/// State of the entry VM and the network that the choice of a server depends on.
pub(crate) struct Context<'a> {
    /// Region and failure domain of this entry VM.
    pub place: &'a Place,
    /// Failure domains that get no requests.
    pub evacuated: &'a [DomainName],
    pub round_trips: &'a BTreeMap<RegionName, RoundTrip>,
    /// Live entry VMs, this one included; empty until they are known.
    pub entries: &'a [EntryVm],
    /// Hash of the name of this entry VM.
    pub own_hash: u64,
    /// See [`crate::Settings::cold_factor`].
    pub cold_factor: f64,
    /// See [`crate::Settings::cold_slack`].
    pub cold_slack: f64,
}

/// One service with its servers, budgets and shares of regions.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Settings of the service; `None` until they are set.
    pub terms: Option<Arc<ServiceTerms>>,
    pub servers: BTreeMap<ServerName, Server>,
    pub budget: Budget,
    /// Requests that leave the region of their object for lack of capacity there.
    overflow: Budget,
    pub shares: Shares,
    /// Moving average of the response time, milliseconds.
    pub mean_response_ms: f64,
}

/// A server with its position in the preference order and its cost.
struct Candidate {
    name: ServerName,
    rank: usize,
    cost_ms: f64,
    expected_start_ms: f64,
    lightly_loaded: bool,
}

impl Candidate {
    /// Returns whether the server should process a request that has `left_ms`
    /// until its deadline. On a loaded server the cost must fit into that time,
    /// as a late response would take capacity from requests that can meet their
    /// deadline. On a lightly loaded server the request only has to start in time.
    fn is_worthwhile(&self, left_ms: f64) -> bool {
        let bound = if self.lightly_loaded {
            self.expected_start_ms
        } else {
            self.cost_ms
        };
        bound <= left_ms
    }
}

impl Service {
    pub fn new() -> Self {
        Self {
            terms: None,
            servers: BTreeMap::new(),
            budget: Budget::new(BudgetSettings {
                share: 0.0,
                burst: 0.0,
            }),
            overflow: Budget::new(OVERFLOW),
            shares: Shares::default(),
            mean_response_ms: INITIAL_MEAN_RESPONSE_MS,
        }
    }

    /// Sets this entry VM's part of the retry budget, which `entries` entry VMs share.
    pub fn set_budget(&mut self, ratio: f64, slack: f64, entries: usize) {
        let entries = count(entries);
        let settings = BudgetSettings {
            share: ratio * BUDGET_SHARE,
            burst: (slack * BUDGET_SHARE / entries).max(1.0),
        };
        self.budget.set(settings);
    }

    /// Updates the average response time with one response.
    pub fn record_response_time(&mut self, took_ms: f64) {
        let took_ms = took_ms.min(self.mean_response_ms * RESPONSE_OUTLIER_CAP);
        self.mean_response_ms += (took_ms - self.mean_response_ms) * MEAN_RESPONSE_WEIGHT;
    }

    /// Moves the shares of regions towards the target for the present slots, and divides
    /// the limits of servers anew.
    pub fn advance(&mut self, context: &Context<'_>, now: Instant) {
        let target = shares::target(&context.place.region, &self.slots(context));
        self.shares.advance(&target, now);
        self.divide_limits(context, now);
    }

    /// Returns the slots of each region.
    pub(crate) fn slots(&self, context: &Context<'_>) -> BTreeMap<RegionName, f64> {
        let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
        for server in self.servers.values().filter(|s| is_open(s, context)) {
            let region = server.place.region.clone();
            *slots.entry(region).or_default() += f64::from(server.slots);
        }
        slots
    }

    /// Chooses the server for a request and counts the request as in flight there.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        context: &Context<'_>,
        now: Instant,
    ) -> Result<Choice, Full> {
        let mut preference_order = self.preference_order(request, context, now);
        // Ranks stay, so that no further servers have to learn the object.
        preference_order.retain(|(_, name)| {
            let server = self.servers.get(name);
            server.is_some_and(|server| server.barred_for(now).is_zero())
        });
        let first_region_usable = preference_order
            .iter()
            .any(|(rank, _)| *rank < LOCAL_CANDIDATES);
        let candidates = self.candidates(preference_order, request, context, now);
        let left_ms = request.time_left.as_secs_f64() * 1_000.0;
        let Some(best) = self.best(&candidates, first_region_usable, left_ms) else {
            return Err(self.full(candidates.len(), request, context, now));
        };
        let count = candidates.len();
        let (rank, expected_ms) = (best.rank, whole_ms(best.cost_ms));
        let Some(server) = self.servers.get_mut(&best.name) else {
            return Err(self.full(count, request, context, now));
        };
        let cold = server.is_cold(now);
        server.attempt_started(now);
        Ok(Choice {
            service: request.service.clone(),
            server: server.name.clone(),
            addr: server.addr,
            place: server.place.clone(),
            born_ms: server.born_ms,
            expected_ms,
            rank,
            cold,
            report_age_ms: server.report_age_ms(now),
        })
    }

    /// Returns the cheapest candidate if it is worthwhile. While the first region in
    /// preference order has usable servers, [`OVERFLOW`] limits the requests to
    /// other regions.
    fn best<'a>(
        &mut self,
        candidates: &'a [Candidate],
        first_region_usable: bool,
        left_ms: f64,
    ) -> Option<&'a Candidate> {
        let cheapest = |any_region: bool| {
            let allowed = candidates
                .iter()
                .filter(|c| any_region || c.rank < LOCAL_CANDIDATES);
            let best = allowed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
            best.filter(|best| best.is_worthwhile(left_ms))
        };
        self.overflow.earn();
        let best = cheapest(true)?;
        if best.rank < LOCAL_CANDIDATES || !first_region_usable || self.overflow.spend() {
            return Some(best);
        }
        cheapest(false)
    }

    /// Returns the servers of `usable` that have free capacity, with their costs.
    fn candidates(
        &mut self,
        mut usable: Vec<(usize, ServerName)>,
        request: &Request<'_>,
        context: &Context<'_>,
        now: Instant,
    ) -> Vec<Candidate> {
        usable.retain(|(_, name)| self.has_free_capacity(name, context, now));
        let mean_response_ms = self.mean_response_ms;
        let cost = |(rank, name): (usize, ServerName)| {
            let server = self.servers.get(&name)?;
            let round_trip = context.round_trips.get(&server.place.region);
            let inputs = CostInputs {
                mean_response_ms,
                rtt_ms: round_trip.map_or(0.0, RoundTrip::mean_ms),
                cached: rank == 0 || request.object.is_none(),
            };
            Some(Candidate {
                name,
                rank,
                cost_ms: estimate::cost_ms(server, inputs, now),
                expected_start_ms: estimate::expected_start_ms(server, inputs, now),
                lightly_loaded: server.load(now) < f64::from(server.slots) * LIGHT_LOAD,
            })
        };
        usable.into_iter().filter_map(cost).collect()
    }

    /// Returns the usable servers with their positions in the preference order for
    /// the object: the first [`LOCAL_CANDIDATES`] of its region, then
    /// [`REMOTE_CANDIDATES`] of each other region. Without an object all servers
    /// of a region have the same position.
    fn preference_order(
        &self,
        request: &Request<'_>,
        context: &Context<'_>,
        now: Instant,
    ) -> Vec<(usize, ServerName)> {
        let allowed = |server: &&Server| {
            let region = &server.place.region;
            let reachable = !server.is_backing_off(now) && !request.tried.contains(&server.name);
            request.allows(region) && is_open(server, context) && reachable
        };
        let open = self.servers.values().filter(allowed);
        let Some(object) = request.object else {
            let rank = |server: &Server| {
                let away = server.place.region != context.place.region;
                if away { LOCAL_CANDIDATES } else { 0 }
            };
            let ranked = open.map(|server| (rank(server), server.name.clone()));
            return ranked.collect();
        };
        let stays = request.large && self.stays_in_domain(object, context);
        let mut regions: BTreeMap<&RegionName, Vec<(bool, f64, &ServerName)>> = BTreeMap::new();
        for server in open {
            let weight = f64::from(server.slots);
            let score = hash::score(object, server.hash, weight, Purpose::Server);
            let near = stays && server.place == *context.place;
            let rows = regions.entry(&server.place.region).or_default();
            rows.push((near, score, &server.name));
        }
        for rows in regions.values_mut() {
            rows.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        }
        let first = self.shares.region(&context.place.region, object);
        let first = if regions.contains_key(&first) {
            first
        } else {
            context.place.region.clone()
        };
        let mut preference_order = Vec::new();
        if let Some(rows) = regions.remove(&first) {
            let local = rows.into_iter().take(LOCAL_CANDIDATES).enumerate();
            preference_order.extend(local.map(|(rank, (_, _, name))| (rank, name.clone())));
        }
        for rows in regions.into_values() {
            let away = rows.into_iter().take(REMOTE_CANDIDATES).enumerate();
            preference_order
                .extend(away.map(|(rank, (_, _, name))| (rank + LOCAL_CANDIDATES, name.clone())));
        }
        preference_order
    }

    /// Returns whether this entry VM's failure domain should process a large object.
    /// It is true for all objects if the domain has at least the mean number of
    /// slots of the region's domains, else for a share of them.
    fn stays_in_domain(&self, object: u64, context: &Context<'_>) -> bool {
        let mut domains: BTreeMap<&DomainName, f64> = BTreeMap::new();
        let open = self.servers.values().filter(|s| is_open(s, context));
        for server in open.filter(|s| s.place.region == context.place.region) {
            *domains.entry(&server.place.domain).or_default() += f64::from(server.slots);
        }
        let own_slots = domains.get(&context.place.domain).copied().unwrap_or(0.0);
        let mean = domains.values().sum::<f64>() / count(domains.len());
        own_slots > 0.0 && hash::unit(object, Purpose::Domain) < own_slots / mean
    }

    /// Returns whether the server may get another request within its slots and,
    /// if it is cold, within this entry VM's quota.
    fn has_free_capacity(
        &mut self,
        name: &ServerName,
        context: &Context<'_>,
        now: Instant,
    ) -> bool {
        let quota = self.cold_quota(name, context);
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if server.is_cold(now) && !server.cold_sends.has_capacity(quota, cold::WINDOW, now) {
            return false;
        }
        server.load(now) < f64::from(server.slots) * MAX_LOAD_PER_SLOT
    }

    /// Returns how many requests per window ([`cold::quota`]) this entry VM may
    /// send to the server while it is cold.
    fn cold_quota(&self, name: &ServerName, context: &Context<'_>) -> usize {
        let (Some(terms), Some(server)) = (&self.terms, self.servers.get(name)) else {
            return 0;
        };
        if context.entries.is_empty() {
            return 0;
        }
        let total = terms.cold_per_s * context.cold_factor + context.cold_slack;
        let rank = rank(context.entries.iter(), server.hash, context.own_hash);
        cold::quota(total, context.entries.len(), rank)
    }
}

/// Returns the position of this entry VM among `entries`, in an order that differs by
/// server.
pub(crate) fn rank<'a>(
    entries: impl Iterator<Item = &'a EntryVm>,
    server_hash: u64,
    own_hash: u64,
) -> usize {
    let score = |entry: u64| hash::mix(server_hash, entry, Purpose::Cold);
    let own_score = score(own_hash);
    entries.filter(|e| score(e.hash) > own_score).count()
}

/// Returns whether the server may get new requests.
pub(crate) fn is_open(server: &Server, context: &Context<'_>) -> bool {
    !server.leaving && !context.evacuated.contains(&server.place.domain)
}

/// Returns a count as a float, at least 1.
fn count(things: usize) -> f64 {
    f64::from(u32::try_from(things.max(1)).unwrap_or(u32::MAX))
}

/// Converts a time that is not negative to whole milliseconds.
pub(crate) fn whole_ms(time_ms: f64) -> u64 {
    let time = std::time::Duration::try_from_secs_f64(time_ms / 1_000.0);
    time.map_or(u64::MAX, world::unit::as_ms)
}
