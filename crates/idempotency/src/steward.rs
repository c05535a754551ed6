//! The entry VM's side: takes one operation from its key to its stored answer.
//!
//! Look, wait for a slot, begin, send, finish. The first byte goes to a
//! backend server only after `Begin` was granted by a majority, and to the
//! caller only after `Finish` was. "Not run" is told only when the ledger said
//! that the key was free and this attempt was not sent and never will be.

mod ask;

use std::time::Duration;

use tokio::time::Instant;
use world::{Error, Kind, Ran, unit};

use crate::answer::{Keep, StoredAnswer};
use crate::client::LedgerClient;
use crate::dispatch::{Dispatch, Right, Sent};
use crate::operation::{AttemptId, OperationId, RequestDigest};
use crate::request::{Reply, Request};

/// Sends of one attempt at most, when each before was provably not run.
const SENDS_MAX: usize = 3;

/// How long the steward waits for what.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waits {
    /// One question to the ledger, milliseconds.
    pub ask_ms: u64,
    /// From before `Begin` was sent until the first byte must have gone out, milliseconds.
    pub right_ms: u64,
    /// First pause between questions about a running operation, milliseconds.
    pub pause_min_ms: u64,
    /// Longest such pause, milliseconds.
    pub pause_max_ms: u64,
    /// Looks that get no reply are given up after this, milliseconds.
    pub look_ms: u64,
    /// An outcome that can't be stored is given up after this, milliseconds.
    pub settle_ms: u64,
    /// After the deadline an operation counts as running for this long, milliseconds.
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

/// One operation as a caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Operation.
    pub id: OperationId,
    /// Request that came with the key.
    pub digest: RequestDigest,
    /// The caller waits until then.
    pub deadline: Instant,
}

/// How an operation was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled<A> {
    /// It ran now.
    Fresh(A),
    /// It ran before.
    Stored(StoredAnswer),
}

/// Runs operations at most once.
#[derive(Clone, Debug)]
pub struct Steward<C> {
    client: C,
    waits: Waits,
}

enum Looked {
    Free { now_ms: u64 },
    Stored(StoredAnswer),
}

enum Begun {
    Granted { right: Right, asked_ms: u64 },
    Taken,
}

impl<C: LedgerClient> Steward<C> {
    /// A steward that asks through `client`.
    #[must_use]
    pub fn new(client: C) -> Self {
        Self {
            client,
            waits: Waits::default(),
        }
    }

    /// Sets how long it waits.
    #[must_use]
    pub fn with_waits(mut self, waits: Waits) -> Self {
        self.waits = waits;
        self
    }

    /// Runs the operation, or answers what is known of it.
    ///
    /// To be driven by a task of its own, so that a caller who goes away does
    /// not leave it half done.
    ///
    /// # Errors
    /// Any kind of the ledger or of `dispatch`; "not run" only when true.
    pub async fn run<D: Dispatch>(
        &self,
        job: &Job,
        dispatch: &mut D,
    ) -> Result<Settled<D::Answer>, Error> {
        loop {
            let now_ms = match self.look(job).await? {
                Looked::Free { now_ms } => now_ms,
                Looked::Stored(answer) => return Ok(Settled::Stored(answer)),
            };
            let ready = dispatch.ready(job.deadline).await.map_err(not_run)?;
            match self.begin(job, now_ms).await? {
                Begun::Granted { right, asked_ms } => {
                    let sent = self.send(dispatch, ready, &right).await;
                    return self.settle(job, &right, asked_ms, sent).await;
                }
                Begun::Taken => drop(ready),
            }
        }
    }

    /// Waits until no attempt is running.
    async fn look(&self, job: &Job) -> Result<Looked, Error> {
        let give_up = job.deadline.min(after(self.waits.look_ms));
        let mut pause = Pause::new(&self.waits);
        loop {
            let request = Request::Look {
                id: job.id.clone(),
                digest: job.digest,
            };
            match self.ask(request, job.deadline).await {
                Ok(Reply::Free { now_ms }) => return Ok(Looked::Free { now_ms }),
                Ok(Reply::Done(answer)) => return Ok(Looked::Stored(answer)),
                Ok(Reply::Running) => {
                    pause.wait(job.deadline).await;
                    if Instant::now() >= job.deadline {
                        return Err(refusal(Kind::StillRunning));
                    }
                }
                Ok(reply) => return Err(told(&reply)),
                Err(error) if Instant::now() >= give_up => {
                    return Err(Error::new(Kind::LedgerUnread, error.detail));
                }
                Err(_) => pause.wait(give_up).await,
            }
        }
    }

    /// Asks for the right to send. It is counted from before the first question.
    async fn begin(&self, job: &Job, now_ms: u64) -> Result<Begun, Error> {
        let attempt = AttemptId::random();
        let ends = job.deadline.min(after(self.waits.right_ms));
        let mut asked_ms = now_ms;
        let mut unanswered = false;
        let mut pause = Pause::new(&self.waits);
        while Instant::now() < ends {
            let request = self.begin_request(job, attempt, asked_ms);
            match self.ask(request, ends).await {
                Ok(Reply::Granted { fence }) => {
                    let right = Right {
                        attempt,
                        fence,
                        ends,
                        deadline: job.deadline,
                    };
                    return Ok(Begun::Granted { right, asked_ms });
                }
                Ok(Reply::Stale { now_ms }) => asked_ms = asked_ms.max(now_ms),
                Ok(Reply::Full) => {
                    self.abandon_if(unanswered, job, attempt, asked_ms);
                    return Err(Error::new(Kind::Overloaded, "the ledger is at its bound"));
                }
                Ok(_) => {
                    self.abandon_if(unanswered, job, attempt, asked_ms);
                    return Ok(Begun::Taken);
                }
                Err(_) => {
                    unanswered = true;
                    pause.wait(ends).await;
                }
            }
        }
        self.abandon_if(unanswered, job, attempt, asked_ms);
        Err(Error::new(
            Kind::LedgerAway,
            "the ledger granted no right in time",
        ))
    }

    fn begin_request(&self, job: &Job, attempt: AttemptId, asked_ms: u64) -> Request {
        let left = job.deadline.saturating_duration_since(Instant::now());
        Request::Begin {
            id: job.id.clone(),
            digest: job.digest,
            attempt,
            asked_ms,
            run_ms: unit::as_ms(left) + self.waits.run_margin_ms,
        }
    }

    fn abandon_if(&self, unanswered: bool, job: &Job, attempt: AttemptId, asked_ms: u64) {
        if unanswered {
            self.store_later(Request::Abandon {
                id: job.id.clone(),
                attempt,
                asked_ms,
            });
        }
    }

    /// Sends under one right; again only when the send before was not run.
    async fn send<D: Dispatch>(
        &self,
        dispatch: &mut D,
        first: D::Ready,
        right: &Right,
    ) -> Sent<D::Answer> {
        let mut ready = first;
        let mut sends = 0;
        loop {
            if Instant::now() >= right.ends {
                let text = "the right to send ended before the first byte";
                return Sent::NotRun(Error::new(Kind::DeadlineWaiting, text));
            }
            sends += 1;
            let error = match dispatch.send(ready, right).await {
                Sent::NotRun(error) => error,
                sent => return sent,
            };
            if sends >= SENDS_MAX {
                return Sent::NotRun(error);
            }
            match dispatch.ready(right.ends).await {
                Ok(next) => ready = next,
                Err(_) => return Sent::NotRun(error),
            }
        }
    }

    /// Tells the ledger what became of the attempt, and then the caller.
    async fn settle<A: Keep>(
        &self,
        job: &Job,
        right: &Right,
        asked_ms: u64,
        sent: Sent<A>,
    ) -> Result<Settled<A>, Error> {
        let id = job.id.clone();
        let attempt = right.attempt;
        match sent {
            Sent::Answer(answer) => {
                let kept = answer.keep();
                let finish = Request::Finish {
                    id,
                    attempt,
                    answer: kept,
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
                // An abandoned attempt is not run whether or not that is stored in time.
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

/// A pause that grows.
struct Pause {
    next_ms: u64,
    max_ms: u64,
}

impl Pause {
    fn new(waits: &Waits) -> Self {
        Self {
            next_ms: waits.pause_min_ms,
            max_ms: waits.pause_max_ms,
        }
    }

    /// Waits, but not past `until`.
    async fn wait(&mut self, until: Instant) {
        tokio::time::sleep_until(until.min(after(self.next_ms))).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}

fn after(value_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(value_ms)
}

/// The error for a reply that ends an operation without running it.
fn told(reply: &Reply) -> Error {
    refusal(match reply {
        Reply::Unknown => Kind::OutcomeUnknown,
        Reply::NotKept => Kind::AnswerNotKept,
        Reply::Reused => Kind::KeyReused,
        Reply::Expired => Kind::KeyExpired,
        _ => Kind::Internal,
    })
}

fn refusal(kind: Kind) -> Error {
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

fn not_run(error: Error) -> Error {
    if error.kind.answer().ran == Ran::NotRun {
        return error;
    }
    Error::new(Kind::Unreachable, error.detail)
}

fn maybe_run(error: Error) -> Error {
    if error.kind.answer().ran == Ran::Unknown {
        return error;
    }
    Error::new(Kind::ServerFailed, error.detail)
}
