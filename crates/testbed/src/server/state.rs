//! Shared tables of a stand-in backend server.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use world::unit::{as_ms, as_us, ms};
use world::{BackendServer, Lifecycle, Load, Rank, Ranked};

use super::behaviour::{Behaviour, Fate, Report};
use super::gate::Gate;
use super::options::Options;
use super::order::Order;
use super::runs::{Run, Runs, Stats};

/// Load reports that are kept for late reporting.
const REPORTS_MAX: usize = 1_024;

/// Time without work after which a leaving server takes itself for idle.
const QUIET_MS: u64 = 500;

/// Tables of one stand-in; their locks are taken one at a time.
#[derive(Debug)]
pub struct State {
    /// What the server was started with.
    pub options: Options,
    /// Slots.
    pub gate: Gate,
    addr: SocketAddr,
    born: Instant,
    behaviour: Ranked<Behaviour>,
    desks: Ranked<BTreeSet<SocketAddr>>,
    runs: Ranked<Runs>,
    stats: Ranked<Stats>,
    chance: Ranked<StdRng>,
    reports: Ranked<VecDeque<(Instant, Load)>>,
    crash: watch::Sender<bool>,
    /// Wakes the announcer before its time.
    pub announce: Notify,
}

impl State {
    /// Tables of a server that listens on `addr`.
    #[must_use]
    pub fn new(options: Options, addr: SocketAddr) -> Self {
        let seed = options.seed;
        Self {
            gate: Gate::new(options.slots),
            addr: options.advertise.unwrap_or(addr),
            born: Instant::now(),
            behaviour: Ranked::new(Rank::Config, options.behaviour.clone()),
            desks: Ranked::new(Rank::Members, options.desks.iter().copied().collect()),
            runs: Ranked::new(Rank::Ledger, Runs::default()),
            stats: Ranked::new(Rank::Stats, Stats::default()),
            chance: Ranked::new(Rank::Fleet, StdRng::seed_from_u64(seed)),
            reports: Ranked::new(Rank::Links, VecDeque::new()),
            crash: watch::Sender::new(false),
            announce: Notify::new(),
            options,
        }
    }

    /// How the server behaves now.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().clone()
    }

    /// Changes how the server behaves, and announces it.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
        self.announce.notify_one();
    }

    /// Announces that the server is leaving.
    pub fn start_drain(&self) {
        self.behaviour.lock().draining = true;
        self.announce.notify_one();
    }

    /// Waits until the server has been without work for a while.
    pub async fn idle(&self) {
        let mut quiet_since = Instant::now();
        loop {
            tokio::time::sleep(ms(QUIET_MS / 10)).await;
            let crowd = self.gate.crowd();
            if crowd.running + crowd.queued > 0 {
                quiet_since = Instant::now();
            }
            if quiet_since.elapsed() >= ms(QUIET_MS) {
                return;
            }
        }
    }

    /// Ends the server because a marked request asked for it.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Waits for a crash.
    pub async fn crashed(&self) {
        let mut crash = self.crash.subscribe();
        let _ = crash.wait_for(|crashed| *crashed).await;
    }

    /// Changes a counter.
    pub fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.stats.lock());
    }

    /// Whether a later right to run this operation has been seen.
    #[must_use]
    pub fn is_stale(&self, order: &Order) -> bool {
        self.runs.lock().is_stale(order)
    }

    /// Notes the start of a run and decides its fate.
    pub fn start_run(&self, order: &Order) -> (Option<usize>, Fate) {
        let age = self.born.elapsed();
        let behaviour = self.behaviour();
        let place = self.runs.lock().start(order, as_us(age));
        let mut started = 0;
        self.count(|stats| {
            started = stats.started;
            stats.started += 1;
            stats.last_started_ms = as_ms(age);
        });
        let fate = behaviour.fate(&mut self.chance.lock(), started, age);
        (place, fate)
    }

    /// Notes the end of a run.
    pub fn end_run(&self, place: Option<usize>) {
        if let Some(place) = place {
            self.runs.lock().end(place);
        }
        self.count(|stats| stats.ended += 1);
    }

    /// Counters of now.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let crowd = self.gate.crowd();
        let mut stats = self.stats.lock().clone();
        stats.crowd = crowd;
        stats.age_ms = as_ms(self.born.elapsed());
        stats
    }

    /// Runs of operations that had a key.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().all()
    }

    /// Desks that the server announces itself to.
    #[must_use]
    pub fn desks(&self) -> Vec<SocketAddr> {
        self.desks.lock().iter().copied().collect()
    }

    /// Puts the desks that an answer named in place of those known.
    pub fn learn_desks(&self, desks: impl IntoIterator<Item = SocketAddr>) {
        let mut known: BTreeSet<_> = desks.into_iter().collect();
        known.extend(&self.options.desks);
        *self.desks.lock() = known;
    }

    /// The announcement of now.
    #[must_use]
    pub fn announcement(&self) -> BackendServer {
        let behaviour = self.behaviour();
        let options = &self.options;
        BackendServer {
            name: options.name.clone(),
            service: options.service.clone(),
            place: options.place.clone(),
            addr: self.addr,
            slots: options.slots,
            connections: options.connections,
            incarnation: options.incarnation,
            lifecycle: if behaviour.draining {
                Lifecycle::Draining
            } else {
                Lifecycle::Serving
            },
            load: self.report(&behaviour),
        }
    }

    fn report(&self, behaviour: &Behaviour) -> Load {
        let now = Instant::now();
        let crowd = self.gate.crowd();
        let fresh = Load {
            running: crowd.running,
            queued: crowd.queued,
            age_ms: 0,
        };
        let mut reports = self.reports.lock();
        reports.push_back((now, fresh));
        if reports.len() > REPORTS_MAX {
            reports.pop_front();
        }
        match behaviour.report {
            Report::Fresh => fresh,
            Report::Zero => Load::default(),
            Report::Late => {
                let late = ms(behaviour.report_late_ms);
                let is_old = |(at, _): &&(Instant, Load)| now.duration_since(*at) >= late;
                let old = reports.iter().rev().find(is_old);
                let load = old.map_or_else(Load::default, |(_, load)| *load);
                Load {
                    age_ms: behaviour.report_late_ms,
                    ..load
                }
            }
        }
    }
}
