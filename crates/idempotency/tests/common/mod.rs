//! Fakes at the steward's two interfaces: a ledger behind a lossy way, and a
//! backend server. Every draw comes from one seeded generator.
#![allow(dead_code, missing_docs)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use idempotency::{
    AttemptId, Command, Dispatch, Ledger, LedgerClient, LedgerClock, Limits, OperationId,
    OperationKey, Reply, Request, RequestDigest, Right, Sent, StoredAnswer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testbed::history::{Event, Timed};
use tokio::time::{Instant, sleep};
use world::{CustomerName, Error, Kind, Rank, Ranked};

/// Chances of faults, per cent.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub lose_request: u32,
    pub late_request: u32,
    pub lose_reply: u32,
    pub freeze: u32,
    pub refuse: u32,
    pub lose_answer: u32,
    pub crash: u32,
}

pub struct Site {
    ledger: Ranked<Ledger>,
    rng: Ranked<StdRng>,
    pub history: Ranked<Vec<Timed>>,
    steps: AtomicU64,
    clock: LedgerClock,
    faults: Faults,
}

impl Site {
    pub fn new(seed: u64, faults: Faults) -> Arc<Self> {
        Arc::new(Self {
            ledger: Ranked::new(Rank::Ledger, Ledger::new(Limits::default())),
            rng: Ranked::new(Rank::Queues, StdRng::seed_from_u64(seed)),
            history: Ranked::new(Rank::Stats, Vec::new()),
            steps: AtomicU64::new(0),
            clock: LedgerClock::new(0, Instant::now()),
            faults,
        })
    }

    pub fn chance(&self, percent: u32) -> bool {
        self.rng.lock().random_range(0..100) < percent
    }

    pub fn draw_ms(&self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.lock().random_range(0..=max_ms))
    }

    pub fn apply(&self, request: Request) -> Reply {
        let now_ms = self.clock.now_ms(Instant::now());
        self.ledger.lock().apply(Command { now_ms, request })
    }

    /// The next point in time.
    pub fn step(&self) -> u64 {
        self.steps.fetch_add(1, Ordering::Relaxed)
    }

    pub fn record(&self, event: Event, from: u64, to: Option<u64>) {
        self.history.lock().push(Timed::new(event, from, to));
    }

    /// Draws the moment at which a VM dies.
    pub fn death(&self) -> Option<Instant> {
        self.chance(self.faults.crash)
            .then(|| Instant::now() + self.draw_ms(400))
    }
}

/// One entry VM's way to the ledger; after `dies` nothing leaves the VM.
#[derive(Clone)]
pub struct Vm {
    pub site: Arc<Site>,
    pub send: usize,
    pub dies: Option<Instant>,
}

impl Vm {
    pub fn new(site: &Arc<Site>, send: usize) -> Self {
        let dies = site.death();
        Self {
            site: Arc::clone(site),
            send,
            dies,
        }
    }

    pub fn dead(&self) -> bool {
        self.dies.is_some_and(|at| Instant::now() >= at)
    }
}

fn silent() -> Error {
    Error::new(Kind::Unreachable, "no reply")
}

impl LedgerClient for Vm {
    async fn ask(&self, request: Request) -> Result<Reply, Error> {
        if self.dead() {
            std::future::pending::<()>().await;
        }
        let site = Arc::clone(&self.site);
        let faults = site.faults;
        if site.chance(faults.lose_request) {
            sleep(site.draw_ms(300)).await;
            return Err(silent());
        }
        if site.chance(faults.late_request) {
            let late = site.draw_ms(20_000);
            tokio::spawn(async move {
                sleep(late).await;
                site.apply(request);
            });
            return Err(silent());
        }
        sleep(site.draw_ms(20)).await;
        let reply = site.apply(request);
        sleep(site.draw_ms(20)).await;
        if site.chance(faults.lose_reply) {
            return Err(silent());
        }
        Ok(reply)
    }
}

impl Dispatch for Vm {
    type Answer = StoredAnswer;
    type Ready = ();

    async fn ready(&mut self, _deadline: Instant) -> Result<(), Error> {
        sleep(self.site.draw_ms(50)).await;
        if self.site.chance(self.site.faults.refuse) {
            return Err(Error::new(Kind::NoServer, "none"));
        }
        Ok(())
    }

    async fn send(&mut self, (): (), right: &Right) -> Sent<StoredAnswer> {
        let site = Arc::clone(&self.site);
        if site.chance(site.faults.freeze) {
            sleep(site.draw_ms(60_000)).await;
        }
        if self.dead() || Instant::now() >= right.ends {
            return Sent::NotRun(Error::new(Kind::DeadlineWaiting, "late"));
        }
        if site.chance(site.faults.refuse) {
            return Sent::NotRun(Error::new(Kind::ServerShed, "shed"));
        }
        let send = self.send;
        let (way, run) = (site.draw_ms(100), site.draw_ms(300));
        let server = Arc::clone(&site);
        let work = tokio::spawn(async move {
            sleep(way).await;
            let step = server.step();
            server.record(Event::Run(send), step, Some(step));
            sleep(run).await;
        });
        if site.chance(site.faults.lose_answer) {
            return Sent::Unknown(Error::new(Kind::ServerFailed, "connection broke"));
        }
        work.await.expect("the fake server does not panic");
        Sent::Answer(StoredAnswer::new(200, send.to_string()))
    }
}

pub fn id(key: &str) -> OperationId {
    let customer = CustomerName::new("brana").expect("name");
    OperationId::new(customer, OperationKey::new(key).expect("key"))
}

pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::new("POST", "objednavky/slots", body.as_bytes())
}

pub fn attempt(number: u128) -> AttemptId {
    AttemptId::from_number(number)
}
