//! State that the tasks of a stand-in backend server share.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use world::unit::{as_ms, as_us, ms};
use world::{BackendServer, Lifecycle, Load, LockRank, RankedMutex};

use super::behaviour::{Behaviour, DrawnBehaviour, Report};
use super::options::Options;
use super::parsed_request::ParsedRequest;
use super::runs::{Run, Runs, Stats};
use super::slots::SlotQueue;

/// Maximum number of load samples kept for late reports.
const SAMPLES_MAX: usize = 1_024;

/// Time without running or waiting requests after which a draining server is idle.
const IDLE_MS: u64 = 500;

/// Shared state of one stand-in; no task holds two of its locks at once.
#[derive(Debug)]
pub struct State {
    /// Start options.
    pub options: Options,
    /// Slots and the queue for them.
    pub slot_queue: SlotQueue,
    addr: SocketAddr,
    started_at: Instant,
    behaviour: RankedMutex<Behaviour>,
    api_addrs: RankedMutex<BTreeSet<SocketAddr>>,
    runs: RankedMutex<Runs>,
    stats: RankedMutex<Stats>,
    rng: RankedMutex<StdRng>,
    samples: RankedMutex<VecDeque<(Instant, Load)>>,
    crash: watch::Sender<bool>,
    /// Wakes the announcer before its next regular announcement.
    pub announce: Notify,
}

impl State {
    /// Creates the state of a server that listens on `addr`.
    #[must_use]
    pub fn new(options: Options, addr: SocketAddr) -> Self {
        let seed = options.seed;
        Self {
            slot_queue: SlotQueue::new(options.slots),
            addr: options.advertise.unwrap_or(addr),
            started_at: Instant::now(),
            behaviour: RankedMutex::new(LockRank::Config, options.behaviour.clone()),
            api_addrs: RankedMutex::new(
                LockRank::Members,
                options.api_addrs.iter().copied().collect(),
            ),
            runs: RankedMutex::new(LockRank::Ledger, Runs::default()),
            stats: RankedMutex::new(LockRank::Stats, Stats::default()),
            rng: RankedMutex::new(LockRank::Fleet, StdRng::seed_from_u64(seed)),
            samples: RankedMutex::new(LockRank::Links, VecDeque::new()),
            crash: watch::Sender::new(false),
            announce: Notify::new(),
            options,
        }
    }

    /// Returns the current behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().clone()
    }

    /// Replaces the behaviour and announces the server at once.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
        self.announce.notify_one();
    }

    /// Announces that the server is draining.
    pub fn start_drain(&self) {
        self.behaviour.lock().draining = true;
        self.announce.notify_one();
    }

    /// Waits until the server has had no running or waiting requests for `IDLE_MS`.
    pub async fn wait_idle(&self) {
        let mut idle_since = Instant::now();
        loop {
            tokio::time::sleep(ms(IDLE_MS / 10)).await;
            let occupancy = self.slot_queue.occupancy();
            if occupancy.running + occupancy.queued > 0 {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() >= ms(IDLE_MS) {
                return;
            }
        }
    }

    /// Ends the server on behalf of a request with the header `x-rig-crash` or the query
    /// parameter `rig-crash`.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Waits until [`State::crash`] was called.
    pub async fn crashed(&self) {
        let mut crash = self.crash.subscribe();
        let _ = crash.wait_for(|crashed| *crashed).await;
    }

    /// Updates the counters.
    pub fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.stats.lock());
    }

    /// Whether a higher fence of the same operation was received before.
    #[must_use]
    pub fn is_stale(&self, parsed: &ParsedRequest) -> bool {
        self.runs.lock().is_stale(parsed)
    }

    /// Records the start of a run and draws its behaviour; returns the index of the
    /// run for [`State::end_run`], if the run is recorded.
    pub fn start_run(&self, parsed: &ParsedRequest) -> (Option<usize>, DrawnBehaviour) {
        let age = self.started_at.elapsed();
        let behaviour = self.behaviour();
        let index = self.runs.lock().start(parsed, as_us(age));
        let mut started = 0;
        self.count(|stats| {
            started = stats.started;
            stats.started += 1;
            stats.last_started_ms = as_ms(age);
        });
        let draw = behaviour.draw(&mut self.rng.lock(), started, age);
        (index, draw)
    }

    /// Records the end of a run.
    pub fn end_run(&self, index: Option<usize>) {
        if let Some(index) = index {
            self.runs.lock().end(index);
        }
        self.count(|stats| stats.ended += 1);
    }

    /// Returns the current counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let occupancy = self.slot_queue.occupancy();
        let mut stats = self.stats.lock().clone();
        stats.occupancy = occupancy;
        stats.age_ms = as_ms(self.started_at.elapsed());
        stats
    }

    /// Returns the runs of requests with an idempotency key.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().all()
    }

    /// Returns the API addresses of the entry VMs that the server announces itself to.
    #[must_use]
    pub fn api_addrs(&self) -> Vec<SocketAddr> {
        self.api_addrs.lock().iter().copied().collect()
    }

    /// Replaces the API addresses to announce to; those of the start options stay.
    pub fn set_api_addrs(&self, api_addrs: impl IntoIterator<Item = SocketAddr>) {
        let mut known: BTreeSet<_> = api_addrs.into_iter().collect();
        known.extend(&self.options.api_addrs);
        *self.api_addrs.lock() = known;
    }

    /// Returns the current announcement.
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

    /// Samples the current load and returns the load to report.
    fn report(&self, behaviour: &Behaviour) -> Load {
        let now = Instant::now();
        let occupancy = self.slot_queue.occupancy();
        let fresh = Load {
            running: occupancy.running,
            queued: occupancy.queued,
            age_ms: 0,
        };
        let mut samples = self.samples.lock();
        samples.push_back((now, fresh));
        if samples.len() > SAMPLES_MAX {
            samples.pop_front();
        }
        match behaviour.report {
            Report::Fresh => fresh,
            Report::Zero => Load::default(),
            Report::Late => {
                let late = ms(behaviour.report_late_ms);
                let is_old = |(at, _): &&(Instant, Load)| now.duration_since(*at) >= late;
                let old = samples.iter().rev().find(is_old);
                let load = old.map_or_else(Load::default, |(_, load)| *load);
                Load {
                    age_ms: behaviour.report_late_ms,
                    ..load
                }
            }
        }
    }
}
