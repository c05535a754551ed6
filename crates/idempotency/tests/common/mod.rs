//! Fakes of the coordinator's two interfaces: a ledger behind a lossy network, and
//! a backend server. All randomness comes from one seeded generator.
#![allow(dead_code)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use idempotency::{
    AttemptId, Command, Dispatch, DispatchResult, ExecutionGrant, Ledger, LedgerClient,
    LedgerClock, Limits, OperationId, OperationKey, Request, RequestDigest, Response, StoredAnswer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testbed::history::{Event, Timed};
use tokio::time::{Instant, sleep};
use world::{CustomerName, Error, ErrorKind, LockRank, RankedMutex};

/// Probability of each fault, per cent.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// A call to the ledger is lost.
    pub lose_request: u32,
    /// A call to the ledger is applied after its timeout.
    pub late_request: u32,
    /// The ledger's response is lost.
    pub lose_response: u32,
    /// The entry VM freezes before it sends the operation.
    pub freeze: u32,
    /// The backend server refuses the operation.
    pub refuse: u32,
    /// The backend server's response is lost.
    pub lose_server_response: u32,
    /// The entry VM crashes.
    pub crash: u32,
}

/// A ledger and a backend server that several entry VMs share.
pub struct SharedFakes {
    ledger: RankedMutex<Ledger>,
    rng: RankedMutex<StdRng>,
    /// Runs and client requests so far.
    pub history: RankedMutex<Vec<Timed>>,
    steps: AtomicU64,
    clock: LedgerClock,
    faults: Faults,
}

impl SharedFakes {
    /// Creates an empty ledger; `seed` determines all faults and delays.
    pub fn new(seed: u64, faults: Faults) -> Arc<Self> {
        Arc::new(Self {
            ledger: RankedMutex::new(LockRank::Ledger, Ledger::new(Limits::default())),
            rng: RankedMutex::new(LockRank::Queues, StdRng::seed_from_u64(seed)),
            history: RankedMutex::new(LockRank::Stats, Vec::new()),
            steps: AtomicU64::new(0),
            clock: LedgerClock::new(0, Instant::now()),
            faults,
        })
    }

    /// Draws an event that happens with this probability.
    pub fn chance(&self, percent: u32) -> bool {
        self.rng.lock().random_range(0..100) < percent
    }

    /// Draws a time of at most `max_ms` milliseconds.
    pub fn draw_ms(&self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.lock().random_range(0..=max_ms))
    }

    /// Applies a request to the ledger at the current ledger time.
    pub fn apply(&self, request: Request) -> Response {
        let now_ms = self.clock.now_ms(Instant::now());
        self.ledger.lock().apply(Command { now_ms, request })
    }

    /// Returns the next point in the logical time of the history.
    pub fn next_step(&self) -> u64 {
        self.steps.fetch_add(1, Ordering::Relaxed)
    }

    /// Records an event that took effect between the steps `from` and `to` of the
    /// history; `None` if the latest step is not known.
    pub fn record(&self, event: Event, from: u64, to: Option<u64>) {
        self.history.lock().push(Timed::new(event, from, to));
    }

    /// Draws whether and when a VM crashes.
    pub fn draw_crash(&self) -> Option<Instant> {
        self.chance(self.faults.crash)
            .then(|| Instant::now() + self.draw_ms(400))
    }
}

/// One entry VM; after `crashes_at` it sends nothing.
#[derive(Clone)]
pub struct Vm {
    /// Ledger and backend server that the VM calls.
    pub fakes: Arc<SharedFakes>,
    /// Number of the client's request in the history.
    pub request: usize,
    /// When the VM crashes, if it does.
    pub crashes_at: Option<Instant>,
}

impl Vm {
    /// Creates an entry VM that handles one request and may crash.
    pub fn new(fakes: &Arc<SharedFakes>, request: usize) -> Self {
        let crashes_at = fakes.draw_crash();
        Self {
            fakes: Arc::clone(fakes),
            request,
            crashes_at,
        }
    }

    /// Whether the VM has crashed by now.
    pub fn has_crashed(&self) -> bool {
        self.crashes_at.is_some_and(|at| Instant::now() >= at)
    }
}

fn no_response() -> Error {
    Error::new(ErrorKind::Unreachable, "no response")
}

impl LedgerClient for Vm {
    async fn call(&self, request: Request) -> Result<Response, Error> {
        if self.has_crashed() {
            std::future::pending::<()>().await;
        }
        let fakes = Arc::clone(&self.fakes);
        let faults = fakes.faults;
        if fakes.chance(faults.lose_request) {
            sleep(fakes.draw_ms(300)).await;
            return Err(no_response());
        }
        if fakes.chance(faults.late_request) {
            let delay = fakes.draw_ms(20_000);
            tokio::spawn(async move {
                sleep(delay).await;
                fakes.apply(request);
            });
            return Err(no_response());
        }
        sleep(fakes.draw_ms(20)).await;
        let response = fakes.apply(request);
        sleep(fakes.draw_ms(20)).await;
        if fakes.chance(faults.lose_response) {
            return Err(no_response());
        }
        Ok(response)
    }
}

impl Dispatch for Vm {
    type Answer = StoredAnswer;
    type Ready = ();

    async fn ready(&mut self, _deadline: Instant) -> Result<(), Error> {
        sleep(self.fakes.draw_ms(50)).await;
        if self.fakes.chance(self.fakes.faults.refuse) {
            return Err(Error::new(ErrorKind::NoServer, "none"));
        }
        Ok(())
    }

    async fn send(&mut self, (): (), grant: &ExecutionGrant) -> DispatchResult<StoredAnswer> {
        let fakes = Arc::clone(&self.fakes);
        if fakes.chance(fakes.faults.freeze) {
            sleep(fakes.draw_ms(60_000)).await;
        }
        if self.has_crashed() || Instant::now() >= grant.expires_at {
            return DispatchResult::NotRun(Error::new(ErrorKind::DeadlineWaiting, "late"));
        }
        if fakes.chance(fakes.faults.refuse) {
            return DispatchResult::NotRun(Error::new(ErrorKind::ServerShed, "shed"));
        }
        let number = self.request;
        let (network_delay, run_time) = (fakes.draw_ms(100), fakes.draw_ms(300));
        let server = Arc::clone(&fakes);
        let work = tokio::spawn(async move {
            sleep(network_delay).await;
            let step = server.next_step();
            server.record(Event::Run(number), step, Some(step));
            sleep(run_time).await;
        });
        if fakes.chance(fakes.faults.lose_server_response) {
            return DispatchResult::Unknown(Error::new(ErrorKind::ServerFailed, "connection lost"));
        }
        work.await.expect("the fake server does not panic");
        DispatchResult::Answer(StoredAnswer::new(200, number.to_string()))
    }
}

/// Id of an operation of the test customer.
pub fn id(key: &str) -> OperationId {
    let customer = CustomerName::new("brana").expect("name");
    OperationId::new(customer, OperationKey::new(key).expect("key"))
}

/// Digest of a request with this body.
pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::new("POST", "objednavky/slots", body.as_bytes())
}

/// Attempt id made from a number.
pub fn attempt(number: u128) -> AttemptId {
    AttemptId::from_number(number)
}
