//! The servers of one service.

use std::collections::BTreeMap;
use std::sync::Arc;

use balancer::{Budget, BudgetSettings};
use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::{DomainName, Place, RegionName, ServerName, ServiceTerms};

use crate::cold;
use crate::estimate::{self, Standing};
use crate::request::{Full, Pick, Request};
use crate::server::Server;
use crate::shares::{self, Shares};

/// Typical time of an answer before any is known, milliseconds.
const TYPICAL_START_MS: f64 = 200.0;

/// Weight of one more answer in the typical time.
const TYPICAL_WEIGHT: f64 = 0.02;

/// An answer counts as at most this many typical times.
const TYPICAL_CAP: f64 = 4.0;

/// Servers of the region of an object that may work on it: the first, and two
/// for when it has no room.
const COPIES: usize = 3;

/// Servers of each other region that are considered when those have no room.
const COPIES_AWAY: usize = 1;

/// Requests that may be at a server for each slot: one runs, and one waits for
/// about one typical time.
const BUSY_MAX: f64 = 2.0;

/// Share of its slots below which a server counts as little used.
const IDLE_BELOW: f64 = 0.5;

/// Share of the bound on second sends that is used: the sum over entry VMs
/// holds while their number is known with some delay.
const BUDGET_SHARE: f64 = 0.75;

/// Requests that may leave the region of their object while that has servers:
/// with the shares' 10% in two seconds this stays under the bound of 15%.
const OVERFLOW: BudgetSettings = BudgetSettings {
    share: 0.04,
    burst: 3.0,
};

/// Shortest time to come back after that is told, milliseconds.
const RETRY_MIN_MS: f64 = 50.0;

/// Longest time to come back after that is told, milliseconds.
const RETRY_MAX_MS: f64 = 1_000.0;

/// What the choice needs from outside of the service.
pub(crate) struct Site<'a> {
    /// Where this entry VM stands.
    pub place: &'a Place,
    /// Failure domains that get no work.
    pub evacuated: &'a [DomainName],
    /// Time to each region and back, milliseconds.
    pub ways_ms: &'a BTreeMap<RegionName, f64>,
    /// Hashes of the names of the live entry VMs; none until they are known.
    pub entries: &'a [u64],
    /// Hash of the name of this one.
    pub me: u64,
    pub cold_factor: f64,
    pub cold_slack: f64,
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub terms: Option<Arc<ServiceTerms>>,
    pub servers: BTreeMap<ServerName, Server>,
    pub budget: Budget,
    /// Requests that leave the region of their object for want of room.
    overflow: Budget,
    pub shares: Shares,
    typical_ms: f64,
}

/// A server with its place in the order and what it costs.
struct Candidate {
    name: ServerName,
    rank: usize,
    cost_ms: f64,
    start_ms: f64,
    idle: bool,
}

impl Candidate {
    /// Whether the request should be taken. On a server that is well used,
    /// work that costs more than the time in which an answer is of use would
    /// be paid for by requests that fit; elsewhere it only has to begin in time.
    fn is_worth(&self, left_ms: f64) -> bool {
        let bound = if self.idle {
            self.start_ms
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
            typical_ms: TYPICAL_START_MS,
        }
    }

    /// Sets this entry VM's part of the bound on second sends.
    pub fn set_budget(&mut self, ratio: f64, slack: f64, entries: usize) {
        let entries = count(entries);
        let settings = BudgetSettings {
            share: ratio * BUDGET_SHARE,
            burst: (slack * BUDGET_SHARE / entries).max(1.0),
        };
        self.budget.set(settings);
    }

    /// Takes in the time of an answer.
    pub fn answered(&mut self, took_ms: f64) {
        let took_ms = took_ms.min(self.typical_ms * TYPICAL_CAP);
        self.typical_ms += (took_ms - self.typical_ms) * TYPICAL_WEIGHT;
    }

    /// Moves the shares of regions towards what the servers allow.
    pub fn advance(&mut self, site: &Site<'_>, now: Instant) {
        let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
        for server in self.servers.values().filter(|s| is_open(s, site)) {
            let region = server.place.region.clone();
            *slots.entry(region).or_default() += f64::from(server.slots);
        }
        let target = shares::target(&site.place.region, &slots);
        self.shares.advance(&target, now);
    }

    /// Picks a server, or says when there will be room.
    pub fn pick(
        &mut self,
        request: &Request<'_>,
        site: &Site<'_>,
        now: Instant,
    ) -> Result<Pick, Full> {
        let ordered = self.ordered(request, site, now);
        let bounded = ordered.iter().any(|(rank, _)| *rank < COPIES);
        let candidates = self.candidates(ordered, request, site, now);
        let left_ms = request.left.as_secs_f64() * 1_000.0;
        let Some(best) = self.best(&candidates, bounded, left_ms) else {
            return Err(self.full(candidates.len()));
        };
        let count = candidates.len();
        let (rank, expected_ms) = (best.rank, whole_ms(best.cost_ms));
        let Some(server) = self.servers.get_mut(&best.name) else {
            return Err(self.full(count));
        };
        let cold = server.is_cold(now);
        server.begin(now);
        Ok(Pick {
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

    /// The cheapest candidate that is worth it. While the object's region has
    /// servers that can be reached, few requests leave it.
    fn best<'a>(
        &mut self,
        candidates: &'a [Candidate],
        bounded: bool,
        left_ms: f64,
    ) -> Option<&'a Candidate> {
        let cheapest = |away: bool| {
            let allowed = candidates.iter().filter(|c| away || c.rank < COPIES);
            let best = allowed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
            best.filter(|best| best.is_worth(left_ms))
        };
        self.overflow.earn();
        let best = cheapest(true)?;
        if best.rank < COPIES || !bounded || self.overflow.spend() {
            return Some(best);
        }
        cheapest(false)
    }

    fn full(&self, candidates: usize) -> Full {
        let retry_ms = self.typical_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        Full {
            retry_after_ms: u32::try_from(whole_ms(retry_ms)).unwrap_or(u32::MAX),
            candidates,
        }
    }

    /// The few servers that may take the request now.
    fn candidates(
        &mut self,
        mut usable: Vec<(usize, ServerName)>,
        request: &Request<'_>,
        site: &Site<'_>,
        now: Instant,
    ) -> Vec<Candidate> {
        usable.retain(|(_, name)| self.has_room(name, site, now));
        let typical_ms = self.typical_ms;
        let cost = |(rank, name): (usize, ServerName)| {
            let server = self.servers.get(&name)?;
            let way_ms = site.ways_ms.get(&server.place.region).copied();
            let standing = Standing {
                typical_ms,
                way_ms: way_ms.unwrap_or(0.0),
                remembers: rank == 0 || request.object.is_none(),
            };
            Some(Candidate {
                name,
                rank,
                cost_ms: estimate::cost_ms(server, standing, now),
                start_ms: estimate::start_ms(server, standing, now),
                idle: server.busy(now) < f64::from(server.slots) * IDLE_BELOW,
            })
        };
        usable.into_iter().filter_map(cost).collect()
    }

    /// Servers in the order for the object: those of its region, then one of
    /// each other region. Without an object every server is as good.
    fn ordered(
        &self,
        request: &Request<'_>,
        site: &Site<'_>,
        now: Instant,
    ) -> Vec<(usize, ServerName)> {
        let allowed = |server: &&Server| {
            let region = &server.place.region;
            let home = request.homes.is_empty() || request.homes.contains(region);
            let reached = !server.is_avoided(now) && !request.tried.contains(&server.name);
            home && is_open(server, site) && reached
        };
        let open = self.servers.values().filter(allowed);
        let Some(object) = request.object else {
            let rank = |server: &Server| {
                let away = server.place.region != site.place.region;
                if away { COPIES } else { 0 }
            };
            let ranked = open.map(|server| (rank(server), server.name.clone()));
            return ranked.collect();
        };
        let stays = request.large && self.stays_in_domain(object, site);
        let mut regions: BTreeMap<&RegionName, Vec<(bool, f64, &ServerName)>> = BTreeMap::new();
        for server in open {
            let weight = f64::from(server.slots);
            let score = hash::score(object, server.hash, weight, Purpose::Server);
            let near = stays && server.place == *site.place;
            let rows = regions.entry(&server.place.region).or_default();
            rows.push((near, score, &server.name));
        }
        for rows in regions.values_mut() {
            rows.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        }
        let first = self.shares.region(&site.place.region, object);
        let first = if regions.contains_key(&first) {
            first
        } else {
            site.place.region.clone()
        };
        let mut ordered = Vec::new();
        if let Some(rows) = regions.remove(&first) {
            let copies = rows.into_iter().take(COPIES).enumerate();
            ordered.extend(copies.map(|(rank, (_, _, name))| (rank, name.clone())));
        }
        for rows in regions.into_values() {
            let away = rows.into_iter().take(COPIES_AWAY).enumerate();
            ordered.extend(away.map(|(rank, (_, _, name))| (rank + COPIES, name.clone())));
        }
        ordered
    }

    /// Whether a large object is worked on in this entry VM's failure domain:
    /// all of them where the domain has its part of the region's slots.
    fn stays_in_domain(&self, object: u64, site: &Site<'_>) -> bool {
        let mut domains: BTreeMap<&DomainName, f64> = BTreeMap::new();
        let open = self.servers.values().filter(|s| is_open(s, site));
        for server in open.filter(|s| s.place.region == site.place.region) {
            *domains.entry(&server.place.domain).or_default() += f64::from(server.slots);
        }
        let own = domains.get(&site.place.domain).copied().unwrap_or(0.0);
        let mean = domains.values().sum::<f64>() / count(domains.len());
        own > 0.0 && hash::unit(object, Purpose::Domain) < own / mean
    }

    fn has_room(&mut self, name: &ServerName, site: &Site<'_>, now: Instant) -> bool {
        let part = self.cold_part(name, site);
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if server.is_cold(now) && !server.cold_sent.fits(part, now) {
            return false;
        }
        server.busy(now) < f64::from(server.slots) * BUSY_MAX
    }

    /// Requests a second that this entry VM may send to the server while it is cold.
    fn cold_part(&self, name: &ServerName, site: &Site<'_>) -> usize {
        let (Some(terms), Some(server)) = (&self.terms, self.servers.get(name)) else {
            return 0;
        };
        if site.entries.is_empty() {
            return 0;
        }
        let total = terms.cold_per_s * site.cold_factor + site.cold_slack;
        let score = |entry: u64| hash::mix(server.hash, entry, Purpose::Cold);
        let mine = score(site.me);
        let rank = site.entries.iter().filter(|e| score(**e) > mine).count();
        cold::part(total, site.entries.len(), rank)
    }
}

fn is_open(server: &Server, site: &Site<'_>) -> bool {
    !server.leaving && !site.evacuated.contains(&server.place.domain)
}

/// A number of things, at least one.
fn count(things: usize) -> f64 {
    f64::from(u32::try_from(things.max(1)).unwrap_or(u32::MAX))
}

/// Whole milliseconds of a time that is not negative.
fn whole_ms(time_ms: f64) -> u64 {
    let time = std::time::Duration::try_from_secs_f64(time_ms / 1_000.0);
    time.map_or(u64::MAX, world::unit::as_ms)
}
