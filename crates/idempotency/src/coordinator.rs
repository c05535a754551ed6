//! Runs one operation on the entry VM: lookup, slot, begin, send, finish.
//!
//! The first byte goes to a backend server only after a majority granted `Begin`,
//! and to the client only after a majority accepted `Finish`. An error says "not
//! run" only when the ledger reported the key as free and this attempt was not
//! sent and never will be.

mod call;

use std::time::Duration;

use tokio::time::Instant;
use world::{Error, Kind, Ran, unit};

use crate::answer::{Keep, StoredAnswer};
use crate::client::LedgerClient;
use crate::dispatch::{Dispatch, Right, Sent};
use crate::operation::{AttemptId, OperationId, RequestDigest};
use crate::request::{Reply, Request};

/// Most times that one attempt is sent, if each earlier send was provably not run.
const SENDS_MAX: usize = 3;

/// Timeouts of the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waits {
    /// Timeout of one call to the ledger, milliseconds.
    pub ask_ms: u64,
    /// Time from before `Begin` is sent until the first byte must be sent, milliseconds.
    pub right_ms: u64,
    /// First pause between calls to the ledger, milliseconds; doubles each time.
    pub pause_min_ms: u64,
    /// Longest pause between calls to the ledger, milliseconds.
    pub pause_max_ms: u64,
    /// Time after which unsuccessful lookups are given up, milliseconds.
    pub look_ms: u64,
    /// Time after which storing an outcome is given up, milliseconds.
    pub settle_ms: u64,
    /// Time after the deadline for which an operation still counts as running,
    /// milliseconds.
    pub run_margin_ms: u64,
}

impl Default for Waits {
    fn default() -> Self {
        Self {
            ask_ms: 1_000,
            right_ms: 3_000,
            pause_min_ms: 20,
            pause_max_ms: 500,
            look_ms: 3_000,
            settle_ms: 600_000,
            run_margin_ms: 2_000,
        }
    }
}

/// One operation as received from a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Id of the operation.
    pub id: OperationId,
    /// Digest of the request that came with the key.
    pub digest: RequestDigest,
    /// Time until which the client waits.
    pub deadline: Instant,
}

/// Source of the response to an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled<A> {
    /// The operation ran now.
    Fresh(A),
    /// The operation ran before, and its response was stored.
    Stored(StoredAnswer),
}

/// Runs operations at most once, by means of the ledger.
#[derive(Clone, Debug)]
pub struct Steward<C> {
    client: C,
    waits: Waits,
}

/// Result of a lookup that ends without an error.
enum LookupOutcome {
    Free { now_ms: u64 },
    Stored(StoredAnswer),
}

/// Result of a begin that ends without an error.
enum BeginOutcome {
    Granted {
        grant: Right,
        asked_ms: u64,
    },
    /// The attempt got no grant; look up the operation again.
    Taken,
}

impl<C: LedgerClient> Steward<C> {
    /// Creates a coordinator that calls the ledger through `client`.
    #[must_use]
    pub fn new(client: C) -> Self {
        Self {
            client,
            waits: Waits::default(),
        }
    }

    /// Sets the timeouts.
    #[must_use]
    pub fn with_waits(mut self, waits: Waits) -> Self {
        self.waits = waits;
        self
    }

    /// Runs the operation, or returns the stored response of an earlier run.
    ///
    /// Run this in a task of its own, so that the operation is completed even if
    /// the client disconnects.
    ///
    /// # Errors
    /// Any kind of the ledger or of `dispatch`. A kind that says "not run" is
    /// returned only if the operation provably did not run.
    pub async fn run<D: Dispatch>(
        &self,
        job: &Job,
        dispatch: &mut D,
    ) -> Result<Settled<D::Answer>, Error> {
        loop {
            let now_ms = match self.lookup(job).await? {
                LookupOutcome::Free { now_ms } => now_ms,
                LookupOutcome::Stored(answer) => return Ok(Settled::Stored(answer)),
            };
            let ready = dispatch.ready(job.deadline).await.map_err(not_run)?;
            match self.begin(job, now_ms).await? {
                BeginOutcome::Granted { grant, asked_ms } => {
                    let result = self.send(dispatch, ready, &grant).await;
                    return self.record_outcome(job, &grant, asked_ms, result).await;
                }
                BeginOutcome::Taken => drop(ready),
            }
        }
    }

    /// Looks up the operation, and waits while another attempt is running.
    async fn lookup(&self, job: &Job) -> Result<LookupOutcome, Error> {
        let give_up = job.deadline.min(after(self.waits.look_ms));
        let mut backoff = Backoff::new(&self.waits);
        loop {
            let request = Request::Look {
                id: job.id.clone(),
                digest: job.digest,
            };
            match self.ask(request, job.deadline).await {
                Ok(Reply::Free { now_ms }) => return Ok(LookupOutcome::Free { now_ms }),
                Ok(Reply::Done(answer)) => return Ok(LookupOutcome::Stored(answer)),
                Ok(Reply::Running) => {
                    backoff.wait(job.deadline).await;
                    if Instant::now() >= job.deadline {
                        return Err(ledger_error(Kind::StillRunning));
                    }
                }
                Ok(response) => return Err(lookup_error(&response)),
                Err(error) if Instant::now() >= give_up => {
                    return Err(Error::new(Kind::LedgerUnread, error.detail));
                }
                Err(_) => backoff.wait(give_up).await,
            }
        }
    }

    /// Requests the execution grant.
    ///
    /// The time of the grant starts before the first `Begin` is sent, so that a
    /// delayed response doesn't extend it.
    async fn begin(&self, job: &Job, now_ms: u64) -> Result<BeginOutcome, Error> {
        let attempt = AttemptId::random();
        let expires_at = job.deadline.min(after(self.waits.right_ms));
        let mut asked_ms = now_ms;
        let mut may_be_granted = false;
        let mut backoff = Backoff::new(&self.waits);
        while Instant::now() < expires_at {
            let request = self.begin_request(job, attempt, asked_ms);
            match self.ask(request, expires_at).await {
                Ok(Reply::Granted { fence }) => {
                    let grant = Right {
                        attempt,
                        fence,
                        ends: expires_at,
                        deadline: job.deadline,
                    };
                    return Ok(BeginOutcome::Granted { grant, asked_ms });
                }
                Ok(Reply::Stale { now_ms }) => asked_ms = asked_ms.max(now_ms),
                Ok(Reply::Full) => {
                    self.abandon_if(may_be_granted, job, attempt, asked_ms);
                    return Err(Error::new(Kind::Overloaded, "the ledger is at its bound"));
                }
                Ok(_) => {
                    self.abandon_if(may_be_granted, job, attempt, asked_ms);
                    return Ok(BeginOutcome::Taken);
                }
                Err(_) => {
                    may_be_granted = true;
                    backoff.wait(expires_at).await;
                }
            }
        }
        self.abandon_if(may_be_granted, job, attempt, asked_ms);
        Err(Error::new(
            Kind::LedgerAway,
            "the ledger granted no right in time",
        ))
    }

    fn begin_request(&self, job: &Job, attempt: AttemptId, asked_ms: u64) -> Request {
        let remaining = job.deadline.saturating_duration_since(Instant::now());
        Request::Begin {
            id: job.id.clone(),
            digest: job.digest,
            attempt,
            asked_ms,
            run_ms: unit::as_ms(remaining) + self.waits.run_margin_ms,
        }
    }

    /// Abandons an attempt whose `Begin` got no response, because the ledger may
    /// still grant it.
    fn abandon_if(&self, may_be_granted: bool, job: &Job, attempt: AttemptId, asked_ms: u64) {
        if may_be_granted {
            self.store_later(Request::Abandon {
                id: job.id.clone(),
                attempt,
                asked_ms,
            });
        }
    }

    /// Sends the operation under one grant, and retries only if it was not run.
    async fn send<D: Dispatch>(
        &self,
        dispatch: &mut D,
        first: D::Ready,
        grant: &Right,
    ) -> Sent<D::Answer> {
        let mut ready = first;
        let mut sends = 0;
        loop {
            if Instant::now() >= grant.ends {
                let text = "the right to send ended before the first byte";
                return Sent::NotRun(Error::new(Kind::DeadlineWaiting, text));
            }
            sends += 1;
            let error = match dispatch.send(ready, grant).await {
                Sent::NotRun(error) => error,
                result => return result,
            };
            if sends >= SENDS_MAX {
                return Sent::NotRun(error);
            }
            match dispatch.ready(grant.ends).await {
                Ok(next) => ready = next,
                Err(_) => return Sent::NotRun(error),
            }
        }
    }

    /// Stores the outcome of the attempt in the ledger, then returns it to the client.
    async fn record_outcome<A: Keep>(
        &self,
        job: &Job,
        grant: &Right,
        asked_ms: u64,
        result: Sent<A>,
    ) -> Result<Settled<A>, Error> {
        let id = job.id.clone();
        let attempt = grant.attempt;
        match result {
            Sent::Answer(answer) => {
                let stored = answer.keep();
                let finish = Request::Finish {
                    id,
                    attempt,
                    answer: stored,
                };
                self.store(finish, job.deadline).await?;
                Ok(Settled::Fresh(answer))
            }
            Sent::NotRun(error) => {
                let abandon = Request::Abandon {
                    id,
                    attempt,
                    asked_ms,
                };
                // The attempt did not run, even if that can't be stored in time.
                let _ = self.store(abandon, after(self.waits.ask_ms)).await;
                Err(not_run(error))
            }
            Sent::Unknown(error) => {
                let lose = Request::Lose { id, attempt };
                let _ = self.store(lose, after(self.waits.ask_ms)).await;
                Err(maybe_run(error))
            }
        }
    }
}

/// Exponential backoff between calls to the ledger.
struct Backoff {
    next_ms: u64,
    max_ms: u64,
}

impl Backoff {
    fn new(waits: &Waits) -> Self {
        Self {
            next_ms: waits.pause_min_ms,
            max_ms: waits.pause_max_ms,
        }
    }

    /// Waits for the next pause, at most until `until`.
    async fn wait(&mut self, until: Instant) {
        tokio::time::sleep_until(until.min(after(self.next_ms))).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}

fn after(value_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(value_ms)
}

/// Error for a response to a lookup that ends an operation without running it.
fn lookup_error(response: &Reply) -> Error {
    ledger_error(match response {
        Reply::Unknown => Kind::OutcomeUnknown,
        Reply::NotKept => Kind::AnswerNotKept,
        Reply::Reused => Kind::KeyReused,
        Reply::Expired => Kind::KeyExpired,
        _ => Kind::Internal,
    })
}

fn ledger_error(kind: Kind) -> Error {
    let text = match kind {
        Kind::OutcomeUnknown => {
            "the operation with this key was begun and its outcome is not known"
        }
        Kind::AnswerNotKept => "the operation with this key ran; its answer was too large to keep",
        Kind::KeyReused => "the key was used with another request",
        Kind::KeyExpired => "the key is older than answers are kept",
        Kind::StillRunning => "the operation with this key is still running",
        _ => "the ledger gave a reply that does not fit",
    };
    Error::new(kind, text)
}

/// Keeps an error that says "not run"; changes any other to [`Kind::Unreachable`].
fn not_run(error: Error) -> Error {
    if error.kind.answer().ran == Ran::NotRun {
        return error;
    }
    Error::new(Kind::Unreachable, error.detail)
}

/// Keeps an error that says "unknown"; changes any other to [`Kind::ServerFailed`].
fn maybe_run(error: Error) -> Error {
    if error.kind.answer().ran == Ran::Unknown {
        return error;
    }
    Error::new(Kind::ServerFailed, error.detail)
}
