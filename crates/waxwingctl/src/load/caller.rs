//! A caller: looks up entry VMs and tries them in order until its deadline.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep_until};
use world::unit::as_ms;
use world::{Kind, ServiceName};

use super::lookup::Lookups;
use super::pool::Pool;
use super::profile::{Profile, Stream};
use crate::http::Failure;

/// Attempts at one request.
const ATTEMPTS_MAX: usize = 8;

/// Wait before the list of entry VMs is gone through again.
const ROUND_WAIT: Duration = Duration::from_millis(50);

const KEY: &str = "x-waxwing-key";
const DEADLINE: &str = "x-waxwing-deadline-ms";
const IDEMPOTENCY: &str = "idempotency-key";
const ERROR: &str = "x-waxwing-error";

/// Header in which a stand-in backend server repeats the path that it ran.
const PATH_ECHO: &str = "x-rig-path";

/// One request of a stream.
#[derive(Clone, Debug)]
pub struct Order {
    caller: u32,
    service: ServiceName,
    uri: String,
    tag: String,
    key: String,
    operation: Option<String>,
    due: Instant,
    until: Instant,
}

/// An answer that is the caller's own and whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answered {
    /// Time from when the request was due.
    pub latency: Duration,
    /// Attempts that it took.
    pub attempts: usize,
}

/// What came of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered well.
    Good(Answered),
    /// Refused with this kind.
    Refused(Kind),
    /// Answered with a status that no kind has.
    Status(u16),
    /// Answered with what belongs to another request.
    Wrong,
    /// No whole answer.
    Failed(Failure),
    /// Not sent, as too many were in flight.
    NotSent,
}

/// The callers of one run; each has its own look-ups and connections.
#[derive(Debug)]
pub struct Callers {
    all: Vec<Caller>,
}

/// One caller.
#[derive(Debug)]
struct Caller {
    lookups: Lookups,
    pool: Pool,
}

impl Order {
    /// The `number`-th request of a stream.
    #[must_use]
    pub fn new(stream: &Stream, seed: u64, number: u64, due: Instant, rng: &mut StdRng) -> Self {
        let tag = format!("tag={seed}-{number}");
        let path = &stream.path;
        let joint = if path.contains('?') { '&' } else { '?' };
        let key = match stream.keys.len() {
            0 => String::new(),
            count => stream.keys[rng.random_range(0..count)].clone(),
        };
        let operation = stream
            .operation
            .then(|| format!("{}-{seed}-{number}", stream.service));
        Self {
            caller: rng.random(),
            service: stream.service.clone(),
            uri: format!("/{}{path}{joint}{tag}", stream.service),
            tag,
            key,
            operation,
            due,
            until: due + Duration::from_millis(stream.deadline_ms),
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let left = self.until.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .uri(&self.uri)
            .header(KEY, &self.key)
            .header(DEADLINE, as_ms(left));
        if let Some(operation) = &self.operation {
            request = request
                .method(Method::POST)
                .header(IDEMPOTENCY, operation.as_str());
        }
        request.body(Full::default())
    }

    /// What an answer comes to.
    fn outcome(&self, response: &Response<Bytes>, attempts: usize) -> Outcome {
        let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if let Some(kind) = text(ERROR).and_then(Kind::from_code) {
            return Outcome::Refused(kind);
        }
        if !response.status().is_success() {
            return Outcome::Status(response.status().as_u16());
        }
        // The tag ends the path, so that one tag is never the start of another.
        if text(PATH_ECHO).is_some_and(|path| !path.ends_with(&self.tag)) {
            return Outcome::Wrong;
        }
        Outcome::Good(Answered {
            latency: self.due.elapsed(),
            attempts,
        })
    }
}

impl Callers {
    /// Callers of a run; each asks the desks in another order.
    #[must_use]
    pub fn new(profile: &Profile) -> Self {
        let clients = profile.clients.iter().copied().map(Some);
        let clients = clients.chain(profile.clients.is_empty().then_some(None));
        let caller = |(at, client): (usize, Option<IpAddr>)| {
            let mut desks = profile.desks.clone();
            let turn = at % desks.len().max(1);
            desks.rotate_left(turn);
            Caller {
                lookups: Lookups::new(desks, client),
                pool: Pool::new(),
            }
        };
        Self {
            all: clients.enumerate().map(caller).collect(),
        }
    }

    /// Makes one request, through as many entry VMs as its deadline allows.
    pub async fn call(&self, order: Order) -> Outcome {
        let at = order.caller as usize % self.all.len();
        self.all[at].call(order).await
    }
}

impl Caller {
    async fn call(&self, order: Order) -> Outcome {
        let mut last = Outcome::Failed(Failure::Timeout);
        let mut attempts = 0;
        while attempts < ATTEMPTS_MAX && Instant::now() < order.until {
            match self.lookups.fronts(&order.service, order.until).await {
                Ok(fronts) => {
                    for front in fronts.iter() {
                        attempts += 1;
                        last = self.attempt(&order, *front, attempts).await;
                        if !another_may_help(&last) || Instant::now() >= order.until {
                            return last;
                        }
                    }
                    self.lookups.forget(&order.service);
                }
                Err(failure) => {
                    attempts += 1;
                    last = Outcome::Failed(failure);
                }
            }
            sleep_until(order.until.min(Instant::now() + ROUND_WAIT)).await;
        }
        last
    }

    async fn attempt(&self, order: &Order, front: SocketAddr, attempts: usize) -> Outcome {
        let Ok(request) = order.request() else {
            return Outcome::NotSent;
        };
        let sent = async {
            let mut connection = self.pool.take(front, order.until).await?;
            let response = connection.send(request, order.until).await?;
            Ok((connection, response))
        };
        match sent.await {
            Ok((connection, response)) => {
                self.pool.give(front, connection);
                order.outcome(&response, attempts)
            }
            Err(failure) => Outcome::Failed(failure),
        }
    }
}

/// Whether the next entry VM may do better; every operation has a key, so a
/// resend is never a second run.
fn another_may_help(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Failed(failure) => *failure != Failure::Timeout,
        Outcome::Refused(kind) => matches!(kind, Kind::Leaving | Kind::Unreachable),
        _ => false,
    }
}
