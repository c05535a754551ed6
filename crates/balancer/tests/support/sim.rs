//! Discrete-event simulation of one entry VM, its backend servers and a stream of
//! requests, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt;
use std::time::Duration;

use balancer::{Fleet, FleetSettings, Hedge, HedgeSettings, Outcome, Policy, Ticket, Work};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use world::Class;

use super::{long, server, server_name, service, short};

/// Parameters of a simulation.
#[derive(Clone)]
pub struct SimParams {
    /// Load balancing policy.
    pub policy: Policy,
    /// Whether hedges are sent.
    pub hedging: bool,
    /// Settings of the fleet, except for the lease and the warm-up.
    pub settings: FleetSettings,
    /// Number of backend servers.
    pub servers: u32,
    /// Slots of each server.
    pub slots: u32,
    /// Number of servers, from the first, that are slower by [`SLOWED_FACTOR`].
    pub slowed: u32,
    /// Rate of requests, as a share of the capacity for short work.
    pub load: f64,
    /// One in this many requests is long; 0 for none.
    pub long_one_in: u64,
    /// One in this many short requests is a straggler; 0 for none.
    pub straggler_one_in: u64,
    /// Number of requests.
    pub requests: u64,
    /// Seed of the fleet and of the simulated arrivals and run times.
    pub seed: u64,
}

/// Mean run time of short work, microseconds.
pub const SHORT_MEAN_US: f64 = 10_000.0;
/// Mean run time of long work, microseconds.
pub const LONG_MEAN_US: f64 = 500_000.0;
/// Run time on a slowed server, as a multiple of that on another server.
pub const SLOWED_FACTOR: f64 = 5.0;
/// Mean run time of a straggler, as a multiple of [`SHORT_MEAN_US`].
pub const STRAGGLER_FACTOR: f64 = 100.0;

impl Default for SimParams {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            hedging: true,
            settings: FleetSettings::default(),
            servers: 4,
            slots: 10,
            slowed: 0,
            load: 0.5,
            long_one_in: 0,
            straggler_one_in: 0,
            requests: 10_000,
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// Request and attempt.
    Finish(u64, usize),
    /// Request.
    Hedge(u64),
}

struct Request {
    work: Work,
    arrived_us: u64,
    /// Run time of the first attempt on a server that isn't slowed.
    base_us: f64,
    attempts: Vec<Option<Ticket>>,
    finished: bool,
}

/// Results of a simulation.
#[derive(Default)]
pub struct Report {
    short_us: Vec<u64>,
    long_us: Vec<u64>,
    /// Hedges that got a slot.
    pub hedges: u64,
    /// Attempts that got a slot, hedges included.
    pub attempts: u64,
}

struct Sim {
    params: SimParams,
    start: Instant,
    fleet: Fleet,
    hedge: Hedge,
    rng: SmallRng,
    /// Time in microseconds, sequence number and event, earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    requests: BTreeMap<u64, Request>,
    waiting: VecDeque<u64>,
    arrived: u64,
    report: Report,
}

/// Runs one simulation to its end.
pub fn run(params: &SimParams) -> Report {
    let start = Instant::now();
    let settings = FleetSettings {
        lease_ms: 1_000_000,
        warmup_ms: 0,
        ..params.settings.clone()
    };
    let mut fleet = Fleet::new(settings, params.policy, params.seed);
    for number in 0..params.servers {
        fleet.announce(start, &server(number, params.slots));
    }
    let hedging = HedgeSettings {
        enabled: params.hedging,
        ..HedgeSettings::default()
    };
    let mut sim = Sim {
        params: params.clone(),
        start,
        fleet,
        hedge: Hedge::new(hedging),
        rng: SmallRng::seed_from_u64(params.seed),
        events: BinaryHeap::new(),
        next_event: 0,
        requests: BTreeMap::new(),
        waiting: VecDeque::new(),
        arrived: 0,
        report: Report::default(),
    };
    sim.schedule(0, Event::Arrive);
    while let Some(Reverse((at_us, _, event))) = sim.events.pop() {
        match event {
            Event::Arrive => sim.arrive(at_us),
            Event::Finish(id, attempt) => sim.finish(at_us, id, attempt),
            Event::Hedge(id) => sim.hedge(at_us, id),
        }
    }
    sim.report
}

impl Sim {
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn now(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    fn exponential_us(&mut self, mean_us: f64) -> f64 {
        -mean_us * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn one_in(&mut self, count: u64) -> bool {
        count > 0 && self.rng.random_range(0..count) == 0
    }

    fn arrive(&mut self, at_us: u64) {
        let id = self.arrived;
        self.arrived += 1;
        let is_long = self.one_in(self.params.long_one_in);
        let (work, mean_us) = if is_long {
            (long(id), LONG_MEAN_US)
        } else if self.one_in(self.params.straggler_one_in) {
            (short(id), SHORT_MEAN_US * STRAGGLER_FACTOR)
        } else {
            (short(id), SHORT_MEAN_US)
        };
        let base_us = self.exponential_us(mean_us);
        let request = Request {
            work,
            arrived_us: at_us,
            base_us,
            attempts: Vec::new(),
            finished: false,
        };
        self.requests.insert(id, request);
        if !self.dispatch(at_us, id) {
            self.waiting.push_back(id);
        }
        if self.arrived < self.params.requests {
            let slots = f64::from(self.params.servers * self.params.slots);
            let gap_us = self.exponential_us(SHORT_MEAN_US / slots / self.params.load);
            self.schedule(at_us + truncated_us(gap_us), Event::Arrive);
        }
    }

    fn dispatch(&mut self, at_us: u64, id: u64) -> bool {
        let now = self.now(at_us);
        let request = &self.requests[&id];
        let Ok(ticket) = self.fleet.choose(now, &service(), &request.work) else {
            return false;
        };
        let slowed = (0..self.params.slowed).any(|n| *ticket.server() == server_name(n));
        let factor = if slowed { SLOWED_FACTOR } else { 1.0 };
        // A second attempt runs beside other work, so its run time is drawn again.
        let base_us = if request.attempts.is_empty() {
            request.base_us
        } else {
            self.exponential_us(SHORT_MEAN_US)
        };
        let request = self.requests.get_mut(&id).expect("request");
        let attempt = request.attempts.len();
        request.work.avoid.push(ticket.server().clone());
        request.attempts.push(Some(ticket));
        self.report.attempts += 1;
        self.schedule(
            at_us + truncated_us(base_us * factor),
            Event::Finish(id, attempt),
        );
        if attempt == 0
            && let Some(delay) = self.hedge.delay(&service(), &self.requests[&id].work)
        {
            let delay_us = u64::try_from(delay.as_micros()).expect("small");
            self.schedule(at_us + delay_us, Event::Hedge(id));
        }
        true
    }

    fn hedge(&mut self, at_us: u64, id: u64) {
        if self.requests.get(&id).is_some_and(|r| !r.finished)
            && self.hedge.spend()
            && self.dispatch(at_us, id)
        {
            self.report.hedges += 1;
        }
    }

    fn finish(&mut self, at_us: u64, id: u64, attempt: usize) {
        let now = self.now(at_us);
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let first_at = request.attempts[0].as_ref().expect("ticket").started_at();
        for (number, ticket) in request.attempts.drain(..).enumerate() {
            let outcome = if number == attempt {
                Outcome::Answered
            } else {
                Outcome::Cancelled
            };
            self.fleet.done(now, ticket.expect("ticket"), outcome);
        }
        let taken_us = at_us - request.arrived_us;
        if request.work.class == Class::Short {
            self.hedge.record(&service(), now - first_at);
            self.report.short_us.push(taken_us);
        } else {
            self.report.long_us.push(taken_us);
        }
        self.drain_waiting(at_us);
    }

    fn drain_waiting(&mut self, at_us: u64) {
        let waiting: Vec<u64> = self.waiting.drain(..).collect();
        let mut blocked = [false; 2];
        for id in waiting {
            let class = usize::from(self.requests[&id].work.class == Class::Long);
            if blocked[class] || !self.dispatch(at_us, id) {
                blocked[class] = true;
                self.waiting.push_back(id);
            }
        }
    }
}

impl Report {
    /// Quantile of the response times of short work, microseconds.
    pub fn short_us(&self, share: f64) -> u64 {
        quantile(&self.short_us, share)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |all: &[u64], share| quantile(all, share) / 1_000;
        write!(
            f,
            "short p50 {:>3} ms, p99 {:>4} ms, p99.9 {:>4} ms",
            ms(&self.short_us, 0.5),
            ms(&self.short_us, 0.99),
            ms(&self.short_us, 0.999)
        )?;
        if !self.long_us.is_empty() {
            write!(
                f,
                "; long p50 {} ms, p99 {} ms",
                ms(&self.long_us, 0.5),
                ms(&self.long_us, 0.99)
            )?;
        }
        write!(f, "; {} hedges in {} attempts", self.hedges, self.attempts)
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncated_us(us: f64) -> u64 {
    us as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn quantile(all: &[u64], share: f64) -> u64 {
    let mut sorted = all.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * share) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
