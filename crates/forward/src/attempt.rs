//! One attempt to send a request to a backend server and read its response.

use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use affinity::{AttemptEnd, Choice};
use balancer::Fingerprint;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::response;
use hyper::{Method, Request, Uri};
use tokio::time::{Instant, sleep_until, timeout_at};
use world::unit::{as_ms, ms};

use crate::body::{ResponseBody, Stream, StreamAccounts};
use crate::connection::{Connection, Failure};
use crate::dialect::{AttemptHead, Dialect, RequestHead, ResponseHead};
use crate::large::{self, Reservation};
use crate::pace::{CHUNK_BYTES, SHORT_MAX_BYTES};
use crate::restrictions;
use crate::state::State;

/// Responses up to this size, but for downloads over a narrow link, are read completely
/// before the first byte is forwarded, so that a truncated response can be retried.
const WHOLE_MAX_BYTES: usize = 1 << 20;

/// Most bytes that are read of the body of a refusal, to keep its connection. The client
/// does not get the body.
const REFUSAL_MAX_BYTES: usize = 16 * 1024;

/// Longest time for which that body is awaited.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Size of a typical request head, for counting the bytes sent over the link.
const HEAD_BYTES: usize = 400;

/// Minimum time left before the deadline for which an attempt is started.
pub const LEFT_MIN: Duration = Duration::from_millis(10);

/// A request as it is sent to backend servers.
pub struct OutgoingRequest {
    /// Decoded request head.
    pub call: RequestHead,
    /// Method of the client's request.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body of the client's request.
    pub body: Bytes,
    /// Identifies equal requests to a backend server, whichever client sends them.
    pub fingerprint: Fingerprint,
    /// When the client no longer waits; the route's timeout if it gave no deadline.
    pub client_deadline: Instant,
    /// Whether the request is idempotent, so that it may run twice.
    pub idempotent: bool,
    /// Link capacity reserved for the response, if the route is a download.
    pub reserved: Option<Arc<Reservation>>,
}

/// A response of a backend server.
pub struct ServerResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Body of the response, complete or still being read.
    pub body: ResponseBody,
}

/// Result of an attempt.
pub enum AttemptResult {
    /// The server returned a response to forward.
    Answered(Box<ServerResponse>),
    /// The request did not run: the server reported so, or nothing was sent.
    NotRun(AttemptEnd),
    /// The request may have run, but no valid response arrived.
    MayHaveRun(AttemptEnd),
}

/// An attempt that occupies a slot of the chosen server. The slot is released
/// at the end or on drop, which also covers clients that disconnect.
pub struct OpenAttempt<'a, D: Dialect> {
    state: &'a State<D>,
    /// The chosen server.
    pub choice: Choice,
    started_at: Instant,
    ended: bool,
}

impl<'a, D: Dialect> OpenAttempt<'a, D> {
    /// Starts an attempt on the chosen server, whose slot is already taken.
    #[must_use]
    pub fn new(state: &'a State<D>, choice: Choice) -> Self {
        Self {
            state,
            choice,
            started_at: Instant::now(),
            ended: false,
        }
    }

    /// Releases the slot and records how the attempt for `outgoing` ended.
    pub fn end(mut self, end: AttemptEnd, outgoing: &OutgoingRequest) {
        if end != AttemptEnd::Answered {
            let took = self.started_at.elapsed();
            self.state
                .request_log
                .attempt_failed(outgoing, &self.choice, end, took);
        }
        self.release(end);
    }

    fn release(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = self.started_at.elapsed();
        self.state.stats.record_attempt(&self.choice, end);
        let mut balancer = self.state.balancer.lock();
        balancer.end_attempt(&self.choice, end, took, Instant::now());
    }
}

impl<D: Dialect> Drop for OpenAttempt<'_, D> {
    fn drop(&mut self) {
        self.release(AttemptEnd::Dropped);
    }
}

/// Sends a request to the chosen server and reads the response, until
/// `deadline`.
pub async fn send<D: Dialect>(
    state: &State<D>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    deadline: Instant,
) -> AttemptResult {
    let mut connection = match timeout_at(deadline, connect(state, choice, outgoing)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(Failure::Refused | Failure::ConnectFailed)) => {
            return AttemptResult::NotRun(AttemptEnd::Refused);
        }
        Ok(Err(_)) | Err(_) => return AttemptResult::NotRun(AttemptEnd::Unreached),
    };
    // The server may have started to leave, or have asked for no more requests, while the
    // connection was opened.
    if !state.balancer.lock().is_open(choice, Instant::now()) {
        return AttemptResult::NotRun(AttemptEnd::Dropped);
    }
    let Some(request) = request(state, choice, outgoing, deadline) else {
        return AttemptResult::NotRun(AttemptEnd::Dropped);
    };
    let sent_at = Instant::now();
    let response = match timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent)) => return AttemptResult::NotRun(AttemptEnd::Dropped),
        Ok(Err(_)) => {
            state.crashes.record_broken(choice, outgoing.fingerprint);
            return AttemptResult::MayHaveRun(AttemptEnd::Broken);
        }
        Err(_) => return AttemptResult::MayHaveRun(AttemptEnd::Silent),
    };
    let (head, body) = response.into_parts();
    let reply = state.dialect.decode_response(&head);
    if let Some(report) = reply.report {
        let mut balancer = state.balancer.lock();
        balancer.apply_report(choice, report, Instant::now());
    }
    if reply.id.as_ref() != Some(&outgoing.call.id) {
        log::info!(
            target: "forward", request:% = outgoing.call.id, server:% = choice.server;
            "response belongs to another request"
        );
        return AttemptResult::MayHaveRun(AttemptEnd::Broken);
    }
    if !reply.replaced {
        restrictions::apply(state, choice, reply.restrictions, sent_at);
    }
    connection.idle_max = reply.idle_ms.map(ms);
    let closes = closes_connection(&head);
    let (max_bytes, read_until) = if reply.not_run || reply.replaced {
        let bound = Instant::now() + REFUSAL_BODY_TIMEOUT;
        (REFUSAL_MAX_BYTES, deadline.min(bound))
    } else {
        (whole_max_bytes(state, outgoing, &body), deadline)
    };
    let reading = read_body(state, outgoing, &mut connection, body, max_bytes);
    let received = match timeout_at(read_until, reading).await {
        Ok(Some(received)) => received,
        Ok(None) => {
            state.crashes.record_broken(choice, outgoing.fingerprint);
            return incomplete_response(&reply, AttemptEnd::Broken);
        }
        Err(_) => return incomplete_response(&reply, AttemptEnd::Silent),
    };
    let body = match received {
        ReadBody::Whole(bytes) => {
            if !closes && connection.is_usable().await {
                state.pool.keep(choice, connection);
            }
            ResponseBody::paced(bytes, &state.pace_out)
        }
        ReadBody::Partial(start, rest) => {
            let end = outgoing.client_deadline;
            let pool = (!closes).then(|| (Arc::clone(&state.pool), choice.clone()));
            let accounts = StreamAccounts {
                reserved: outgoing.reserved.clone(),
                pace_in: Arc::clone(&state.pace_in),
                pace_out: Arc::clone(&state.pace_out),
                pool,
            };
            let stream = Stream::new(start, rest, connection, end, accounts);
            ResponseBody::Stream(Box::new(stream))
        }
    };
    classify(head, body, &reply)
}

/// Returns how many bytes of a response are read before it is forwarded.
fn whole_max_bytes<D: Dialect>(
    state: &State<D>,
    outgoing: &OutgoingRequest,
    body: &Incoming,
) -> usize {
    let len = body.size_hint().exact();
    let is_streamed = |len| large::is_streamed(len, &state.pace_out);
    if outgoing.reserved.is_some() && len.is_some_and(is_streamed) {
        if let Some(len) = len.and_then(|len| usize::try_from(len).ok()) {
            state.large_size.record(len);
        }
        return SHORT_MAX_BYTES;
    }
    WHOLE_MAX_BYTES
}

/// Classifies a complete or streamed response by its head.
fn classify(head: response::Parts, body: ResponseBody, reply: &ResponseHead) -> AttemptResult {
    if reply.replaced {
        return AttemptResult::NotRun(AttemptEnd::Replaced);
    }
    if reply.not_run {
        return AttemptResult::NotRun(AttemptEnd::NotRun);
    }
    if head.status.is_success() && !reply.sealed {
        return AttemptResult::MayHaveRun(AttemptEnd::Broken);
    }
    AttemptResult::Answered(Box::new(ServerResponse { head, body }))
}

/// Result of an attempt whose response body was not read to its end.
fn incomplete_response(reply: &ResponseHead, end: AttemptEnd) -> AttemptResult {
    if reply.not_run || reply.replaced {
        return AttemptResult::NotRun(AttemptEnd::NotRun);
    }
    AttemptResult::MayHaveRun(end)
}

/// Returns an idle connection from the pool or opens a new one.
async fn connect<D: Dialect>(
    state: &State<D>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
) -> Result<Connection, Failure> {
    if let Some(connection) = state.pool.take(choice, outgoing.idempotent).await {
        return Ok(connection);
    }
    let region = &choice.place.region;
    let connect_timeout = state.balancer.lock().connect_timeout(region);
    let started_at = Instant::now();
    let opened = Connection::open(choice.addr, connect_timeout).await;
    let took_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    let mut balancer = state.balancer.lock();
    match &opened {
        Ok(_) => balancer.record_rtt(region, took_ms),
        Err(Failure::Unreached) => balancer.record_connect_timeout(region),
        Err(_) => {}
    }
    opened
}

/// Builds the request for this attempt; `None` when too little time is left.
fn request<D: Dialect>(
    state: &State<D>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    deadline: Instant,
) -> Option<Request<Full<Bytes>>> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left < LEFT_MIN {
        return None;
    }
    let mut headers = outgoing.headers.clone();
    let hop = AttemptHead {
        call: &outgoing.call,
        server: &choice.server,
        left_ms: as_ms(left),
    };
    state.dialect.encode_attempt(&hop, &mut headers);
    state.pace_out.count(outgoing.body.len() + HEAD_BYTES);
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    Some(request)
}

/// Whether the server closes the connection after this response.
fn closes_connection(head: &response::Parts) -> bool {
    let values = head.headers.get_all(hyper::header::CONNECTION);
    values.iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    })
}

enum ReadBody {
    /// The complete body.
    Whole(Bytes),
    /// The bytes read so far and the rest of the body.
    Partial(Bytes, Incoming),
}

/// Reads a body up to `max_bytes`, or as far as there is memory; `None` when it was
/// truncated.
async fn read_body<D: Dialect>(
    state: &State<D>,
    outgoing: &OutgoingRequest,
    connection: &mut Connection,
    mut body: Incoming,
    max_bytes: usize,
) -> Option<ReadBody> {
    let mut whole = BytesMut::new();
    let mut held = state.memory.hold();
    let mut has_memory = true;
    if let Some(len) = body.size_hint().exact() {
        whole.reserve(
            usize::try_from(len)
                .unwrap_or(0)
                .min(max_bytes + CHUNK_BYTES),
        );
    }
    loop {
        if whole.len() > max_bytes || !has_memory {
            return Some(ReadBody::Partial(held.attach(whole.freeze()), body));
        }
        let next = poll_fn(|cx| connection.poll_body(&mut body, cx)).await;
        match next {
            None => {
                if outgoing.reserved.is_some() {
                    state.large_size.record(whole.len());
                }
                return Some(ReadBody::Whole(held.attach(whole.freeze())));
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                    has_memory = held.grow(whole.len());
                    let reserved = outgoing.reserved.as_ref();
                    let uncovered = reserved.map_or(data.len(), |r| r.consume(data.len()));
                    let next_at = state.pace_in.count(uncovered);
                    let paced = uncovered > 0 && whole.len() > SHORT_MAX_BYTES;
                    // A sleep until a past time lasts until the timer's next millisecond.
                    if paced && next_at > Instant::now() {
                        sleep_until(next_at).await;
                    }
                }
            }
            Some(Err(error)) => {
                log::debug!(target: "forward", error:% = error; "response body truncated");
                return None;
            }
        }
    }
}
