//! Runs one operation on the entry VM: lookup, slot, begin, send, finish.
//!
//! The first byte goes to a backend server only after a majority granted `Begin`,
//! and to the client only after a majority accepted `Finish`. An error says "not
//! run" only when the ledger reported the key as free and this attempt was not
//! sent and never will be.

mod call;

use std::time::Duration;

use tokio::time::Instant;
use world::{Error, ErrorKind, RunStatus, unit};

use crate::answer::{Storable, StoredAnswer};
use crate::client::LedgerClient;
use crate::dispatch::{Dispatch, DispatchResult, ExecutionGrant};
use crate::operation::{AttemptId, OperationId, RequestDigest};
use crate::request::{Request, Response};

/// Most times that one attempt is sent, if each earlier send was provably not run.
const SENDS_MAX: usize = 3;

/// Timeouts of the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Timeout of one call to the ledger, milliseconds.
    pub call_ms: u64,
    /// Time from before `Begin` is sent until the first byte must be sent, milliseconds.
    pub grant_ms: u64,
    /// First pause between calls to the ledger, milliseconds; doubles each time.
    pub pause_min_ms: u64,
    /// Longest pause between calls to the ledger, milliseconds.
    pub pause_max_ms: u64,
    /// Time after which unsuccessful lookups are given up, milliseconds.
    pub lookup_ms: u64,
    /// Time after which storing an outcome is given up, milliseconds.
    pub store_ms: u64,
    /// Time after the deadline for which an operation still counts as running,
    /// milliseconds.
    pub run_margin_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            call_ms: 1_000,
            grant_ms: 3_000,
            pause_min_ms: 20,
            pause_max_ms: 500,
            lookup_ms: 3_000,
            store_ms: 600_000,
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

/// Response to an operation, by whether the operation was run now or before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperationOutcome<A> {
    /// The operation ran now.
    Fresh(A),
    /// The operation ran before, and its response was stored.
    Stored(StoredAnswer),
}

/// Runs operations at most once, by means of the ledger.
#[derive(Clone, Debug)]
pub struct Coordinator<C> {
    client: C,
    timeouts: Timeouts,
}

/// Result of a lookup that ends without an error.
enum LookupOutcome {
    Free { now_ms: u64 },
    Stored(StoredAnswer),
}

/// Result of a begin that ends without an error.
enum BeginOutcome {
    Granted {
        grant: ExecutionGrant,
        asked_ms: u64,
    },
    /// The attempt got no grant; look up the operation again.
    Taken,
}

impl<C: LedgerClient> Coordinator<C> {
    /// Creates a coordinator that calls the ledger through `client`.
    #[must_use]
    pub fn new(client: C) -> Self {
        Self {
            client,
            timeouts: Timeouts::default(),
        }
    }

    /// Sets the timeouts.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
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
    ) -> Result<OperationOutcome<D::Answer>, Error> {
        loop {
            let now_ms = match self.lookup(job).await? {
                LookupOutcome::Free { now_ms } => now_ms,
                LookupOutcome::Stored(answer) => return Ok(OperationOutcome::Stored(answer)),
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
        let give_up = job.deadline.min(after(self.timeouts.lookup_ms));
        let mut backoff = Backoff::new(&self.timeouts);
        loop {
            let request = Request::Lookup {
                id: job.id.clone(),
                digest: job.digest,
            };
            match self.call(request, job.deadline).await {
                Ok(Response::Free { now_ms }) => return Ok(LookupOutcome::Free { now_ms }),
                Ok(Response::Done(answer)) => return Ok(LookupOutcome::Stored(answer)),
                Ok(Response::Running) => {
                    backoff.wait(job.deadline).await;
                    if Instant::now() >= job.deadline {
                        return Err(ledger_error(ErrorKind::StillRunning));
                    }
                }
                Ok(response) => return Err(lookup_error(&response)),
                Err(error) if Instant::now() >= give_up => {
                    return Err(Error::new(ErrorKind::LedgerUnread, error.detail));
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
        let expires_at = job.deadline.min(after(self.timeouts.grant_ms));
        let mut asked_ms = now_ms;
        let mut may_be_granted = false;
        let mut backoff = Backoff::new(&self.timeouts);
        while Instant::now() < expires_at {
            let request = self.begin_request(job, attempt, asked_ms);
            match self.call(request, expires_at).await {
                Ok(Response::Granted { fence }) => {
                    let grant = ExecutionGrant {
                        attempt,
                        fence,
                        expires_at,
                        deadline: job.deadline,
                    };
                    return Ok(BeginOutcome::Granted { grant, asked_ms });
                }
                Ok(Response::Stale { now_ms }) => asked_ms = asked_ms.max(now_ms),
                Ok(Response::Full) => {
                    self.abandon_if(may_be_granted, job, attempt, asked_ms);
                    return Err(Error::new(
                        ErrorKind::Overloaded,
                        "the ledger is at its bound",
                    ));
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
            ErrorKind::LedgerAway,
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
            run_ms: unit::as_ms(remaining) + self.timeouts.run_margin_ms,
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
        grant: &ExecutionGrant,
    ) -> DispatchResult<D::Answer> {
        let mut ready = first;
        let mut sends = 0;
        loop {
            if Instant::now() >= grant.expires_at {
                let text = "the right to send ended before the first byte";
                return DispatchResult::NotRun(Error::new(ErrorKind::DeadlineWaiting, text));
            }
            sends += 1;
            let error = match dispatch.send(ready, grant).await {
                DispatchResult::NotRun(error) => error,
                result => return result,
            };
            if sends >= SENDS_MAX {
                return DispatchResult::NotRun(error);
            }
            match dispatch.ready(grant.expires_at).await {
                Ok(next) => ready = next,
                Err(_) => return DispatchResult::NotRun(error),
            }
        }
    }

    /// Stores the outcome of the attempt in the ledger, then returns it to the client.
    async fn record_outcome<A: Storable>(
        &self,
        job: &Job,
        grant: &ExecutionGrant,
        asked_ms: u64,
        result: DispatchResult<A>,
    ) -> Result<OperationOutcome<A>, Error> {
        let id = job.id.clone();
        let attempt = grant.attempt;
        match result {
            DispatchResult::Answer(answer) => {
                let stored = answer.to_stored();
                let finish = Request::Finish {
                    id,
                    attempt,
                    answer: stored,
                };
                self.store(finish, job.deadline).await?;
                Ok(OperationOutcome::Fresh(answer))
            }
            DispatchResult::NotRun(error) => {
                let abandon = Request::Abandon {
                    id,
                    attempt,
                    asked_ms,
                };
                // The attempt did not run, even if that can't be stored in time.
                let _ = self.store(abandon, after(self.timeouts.call_ms)).await;
                Err(not_run(error))
            }
            DispatchResult::Unknown(error) => {
                let lose = Request::Lose { id, attempt };
                let _ = self.store(lose, after(self.timeouts.call_ms)).await;
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
    fn new(timeouts: &Timeouts) -> Self {
        Self {
            next_ms: timeouts.pause_min_ms,
            max_ms: timeouts.pause_max_ms,
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

/// Error for a lookup response after which the operation is not run.
fn lookup_error(response: &Response) -> Error {
    ledger_error(match response {
        Response::Unknown => ErrorKind::OutcomeUnknown,
        Response::NotKept => ErrorKind::AnswerNotKept,
        Response::Reused => ErrorKind::KeyReused,
        Response::Expired => ErrorKind::KeyExpired,
        _ => ErrorKind::Internal,
    })
}

fn ledger_error(kind: ErrorKind) -> Error {
    let text = match kind {
        ErrorKind::OutcomeUnknown => {
            "the operation with this key was begun and its outcome is not known"
        }
        ErrorKind::AnswerNotKept => {
            "the operation with this key ran; its answer was too large to keep"
        }
        ErrorKind::KeyReused => "the key was used with another request",
        ErrorKind::KeyExpired => "the key is older than answers are kept",
        ErrorKind::StillRunning => "the operation with this key is still running",
        _ => "the ledger gave a reply that does not fit",
    };
    Error::new(kind, text)
}

/// Keeps an error that says "not run"; changes any other to [`ErrorKind::Unreachable`].
fn not_run(error: Error) -> Error {
    if error.kind.response().ran == RunStatus::NotRun {
        return error;
    }
    Error::new(ErrorKind::Unreachable, error.detail)
}

/// Keeps an error that says "unknown"; changes any other to [`ErrorKind::ServerFailed`].
fn maybe_run(error: Error) -> Error {
    if error.kind.response().ran == RunStatus::Unknown {
        return error;
    }
    Error::new(ErrorKind::ServerFailed, error.detail)
}
