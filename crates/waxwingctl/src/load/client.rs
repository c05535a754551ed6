//! A simulated client: looks up entry VMs and tries them in preference order until
//! the request's deadline.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep_until};
use world::unit::as_ms;
use world::{ErrorKind, ServiceName};

use super::lookup_cache::LookupCache;
use super::pool::Pool;
use super::profile::{Profile, Stream};
use crate::http::Failure;

/// Number of attempts after which no further pass over the list of entry VMs
/// starts.
const ATTEMPTS_MAX: usize = 8;

/// Delay between two passes over the list of entry VMs.
const PASS_DELAY: Duration = Duration::from_millis(50);

const KEY_HEADER: &str = "x-waxwing-key";
const DEADLINE_HEADER: &str = "x-waxwing-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const ERROR_HEADER: &str = "x-waxwing-error";

/// Response header in which the test backend server returns the requested path.
const PATH_ECHO_HEADER: &str = "x-rig-path";

/// A request of a stream, sent in one or more attempts.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Random number that selects the client.
    client: u32,
    service: ServiceName,
    uri: String,
    /// Unique end of the path, by which a response of another request is detected.
    tag: String,
    /// Key of the customer.
    key: String,
    /// Idempotency key, if the request is an operation.
    idempotency_key: Option<String>,
    due: Instant,
    deadline: Instant,
}

/// A complete, successful response that belongs to the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GoodResponse {
    /// Time from when the request was due.
    pub latency: Duration,
    /// Number of attempts, with the successful one.
    pub attempts: usize,
}

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Successful response.
    Good(GoodResponse),
    /// Refused with this kind of error.
    Refused(ErrorKind),
    /// Unsuccessful response with this status and without an error kind.
    Status(u16),
    /// The response belongs to another request.
    Wrong,
    /// No complete response.
    Failed(Failure),
    /// Not sent: too many requests were in flight, or it could not be built.
    NotSent,
}

/// The clients of a run; each has its own lookup cache and connections.
#[derive(Debug)]
pub struct Clients {
    all: Vec<Client>,
}

/// A simulated client.
#[derive(Debug)]
struct Client {
    lookup_cache: LookupCache,
    pool: Pool,
}

impl LoadRequest {
    /// Creates the request with this number in its stream.
    #[must_use]
    pub fn new(stream: &Stream, seed: u64, number: u64, due: Instant, rng: &mut StdRng) -> Self {
        let tag = format!("tag={seed}-{number}");
        let path = &stream.path;
        let separator = if path.contains('?') { '&' } else { '?' };
        let key = match stream.keys.len() {
            0 => String::new(),
            count => stream.keys[rng.random_range(0..count)].clone(),
        };
        let idempotency_key = stream
            .operation
            .then(|| format!("{}-{seed}-{number}", stream.service));
        Self {
            client: rng.random(),
            service: stream.service.clone(),
            uri: format!("/{}{path}{separator}{tag}", stream.service),
            tag,
            key,
            idempotency_key,
            due,
            deadline: due + Duration::from_millis(stream.deadline_ms),
        }
    }

    /// Builds one attempt, with the time left until the deadline.
    fn build(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .uri(&self.uri)
            .header(KEY_HEADER, &self.key)
            .header(DEADLINE_HEADER, as_ms(remaining));
        if let Some(idempotency_key) = &self.idempotency_key {
            request = request
                .method(Method::POST)
                .header(IDEMPOTENCY_HEADER, idempotency_key.as_str());
        }
        request.body(Full::default())
    }

    /// Outcome of an attempt that got a response.
    fn outcome(&self, response: &Response<Bytes>, attempts: usize) -> Outcome {
        let header_text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if let Some(kind) = header_text(ERROR_HEADER).and_then(ErrorKind::from_code) {
            return Outcome::Refused(kind);
        }
        if !response.status().is_success() {
            return Outcome::Status(response.status().as_u16());
        }
        // Compares the end of the path: `tag=1-1` is a prefix of `tag=1-10`, but no
        // tag is a suffix of another.
        if header_text(PATH_ECHO_HEADER).is_some_and(|path| !path.ends_with(&self.tag)) {
            return Outcome::Wrong;
        }
        Outcome::Good(GoodResponse {
            latency: self.due.elapsed(),
            attempts,
        })
    }
}

impl Clients {
    /// Creates the clients of a run; each sends its lookups to the entry VMs in
    /// another order.
    #[must_use]
    pub fn new(profile: &Profile) -> Self {
        let client_addrs = profile.clients.iter().copied().map(Some);
        let client_addrs = client_addrs.chain(profile.clients.is_empty().then_some(None));
        let new_client = |(index, client_addr): (usize, Option<IpAddr>)| {
            let mut api_addrs = profile.desks.clone();
            let first = index % api_addrs.len().max(1);
            api_addrs.rotate_left(first);
            Client {
                lookup_cache: LookupCache::new(api_addrs, client_addr),
                pool: Pool::new(),
            }
        };
        Self {
            all: client_addrs.enumerate().map(new_client).collect(),
        }
    }

    /// Sends a request from one of the clients, with further attempts until its
    /// deadline.
    pub async fn call(&self, request: LoadRequest) -> Outcome {
        let index = request.client as usize % self.all.len();
        self.all[index].call(request).await
    }
}

impl Client {
    async fn call(&self, request: LoadRequest) -> Outcome {
        let mut last_outcome = Outcome::Failed(Failure::Timeout);
        let mut attempts = 0;
        while attempts < ATTEMPTS_MAX && Instant::now() < request.deadline {
            match self
                .lookup_cache
                .fronts(&request.service, request.deadline)
                .await
            {
                Ok(fronts) => {
                    for front in fronts.iter() {
                        attempts += 1;
                        last_outcome = self.attempt(&request, *front, attempts).await;
                        if !is_retryable(&last_outcome) || Instant::now() >= request.deadline {
                            return last_outcome;
                        }
                    }
                    self.lookup_cache.invalidate(&request.service);
                }
                Err(failure) => {
                    attempts += 1;
                    last_outcome = Outcome::Failed(failure);
                }
            }
            sleep_until(request.deadline.min(Instant::now() + PASS_DELAY)).await;
        }
        last_outcome
    }

    async fn attempt(&self, request: &LoadRequest, front: SocketAddr, attempts: usize) -> Outcome {
        let Ok(http_request) = request.build() else {
            return Outcome::NotSent;
        };
        let exchange = async {
            let mut connection = self.pool.acquire(front, request.deadline).await?;
            let response = connection.send(http_request, request.deadline).await?;
            Ok((connection, response))
        };
        match exchange.await {
            Ok((connection, response)) => {
                self.pool.release(front, connection);
                request.outcome(&response, attempts)
            }
            Err(failure) => Outcome::Failed(failure),
        }
    }
}

/// Whether another entry VM may succeed. A further attempt is safe for operations
/// too: their idempotency key prevents a second execution.
fn is_retryable(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Failed(failure) => *failure != Failure::Timeout,
        Outcome::Refused(kind) => matches!(kind, ErrorKind::Leaving | ErrorKind::Unreachable),
        _ => false,
    }
}
