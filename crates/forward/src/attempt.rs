//! One send of a request to a backend server.

use std::future::poll_fn;
use std::time::Duration;

use affinity::{AttemptEnd, Choice};
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::response;
use hyper::{Method, Request, Uri};
use tokio::time::{Instant, sleep_until, timeout_at};
use world::unit::{as_ms, ms};

use crate::body::{AnswerBody, Stream};
use crate::connection::{Connection, Failure};
use crate::dialect::{Call, Dialect, Hop, Reply};
use crate::large::Reserved;
use crate::pace::SHORT_MAX_BYTES;
use crate::state::State;

/// Answers up to this size are read whole before the first byte goes on, so
/// that one which is cut off can be asked for again.
const WHOLE_MAX_BYTES: usize = 1 << 20;

/// Patience for a new connection beyond twice the way to the server.
const CONNECT_MARGIN: Duration = Duration::from_millis(200);

/// Bytes of a typical head, for the count of what goes over the link.
const HEAD_BYTES: usize = 400;

/// Time that must be left for a send to be of use.
pub const LEFT_MIN: Duration = Duration::from_millis(10);

/// What goes to backend servers for a request.
pub struct Outgoing {
    /// The request.
    pub call: Call,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether it may run twice.
    pub repeats: bool,
    /// Part of the link that is set aside for its answer, where that is large.
    pub reserved: Option<Reserved>,
}

/// An answer of a backend server.
pub struct Answer {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: AnswerBody,
}

/// How a send ended.
pub enum Sent {
    /// With an answer to pass on.
    Answered(Box<Answer>),
    /// The server said that it did not run it, or nothing was sent.
    NotRun(AttemptEnd),
    /// It may have run.
    Lost(AttemptEnd),
}

/// Holds the slot of a pick and gives it back, also when the caller leaves.
pub struct Held<'a, D: Dialect> {
    state: &'a State<D>,
    /// The pick.
    pub pick: Choice,
    begun_at: Instant,
    ended: bool,
}

impl<'a, D: Dialect> Held<'a, D> {
    /// Holds the slot of `pick`.
    #[must_use]
    pub fn new(state: &'a State<D>, pick: Choice) -> Self {
        Self {
            state,
            pick,
            begun_at: Instant::now(),
            ended: false,
        }
    }

    /// Gives the slot back with how the send of `call` ended.
    pub fn end(mut self, end: AttemptEnd, call: &Call) {
        if end != AttemptEnd::Answered {
            let took = self.begun_at.elapsed();
            self.state.explain.send(call, &self.pick, end, took);
        }
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = self.begun_at.elapsed();
        self.state.stats.sent(&self.pick, end);
        let mut spread = self.state.spread.lock();
        spread.end_attempt(&self.pick, end, took, Instant::now());
    }
}

impl<D: Dialect> Drop for Held<'_, D> {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Dropped);
    }
}

/// Sends a request to the picked server and reads the answer, until `until`
/// at the longest.
pub async fn send<D: Dialect>(
    state: &State<D>,
    pick: &Choice,
    outgoing: &Outgoing,
    until: Instant,
) -> Sent {
    let mut connection = match timeout_at(until, connect(state, pick, outgoing)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(Failure::Refused)) => return Sent::NotRun(AttemptEnd::Refused),
        Ok(Err(_)) | Err(_) => return Sent::NotRun(AttemptEnd::Unreached),
    };
    // The server may have begun to leave while the connection was opened.
    if !state.spread.lock().is_open(pick) {
        return Sent::NotRun(AttemptEnd::Dropped);
    }
    let Some(request) = request(state, pick, outgoing, until) else {
        return Sent::NotRun(AttemptEnd::Dropped);
    };
    let answered = match timeout_at(until, connection.send(request)).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(Failure::Unsent)) => return Sent::NotRun(AttemptEnd::Dropped),
        Ok(Err(_)) => return Sent::Lost(AttemptEnd::Broken),
        Err(_) => return Sent::Lost(AttemptEnd::Silent),
    };
    let (head, body) = answered.into_parts();
    let reply = state.dialect.reply(&head);
    if let Some(report) = reply.report {
        let mut spread = state.spread.lock();
        spread.apply_report(pick, report, Instant::now());
    }
    if reply.id.as_ref() != Some(&outgoing.call.id) {
        log::info!(
            target: "forward", request:% = outgoing.call.id, server:% = pick.server;
            "the answer belongs to another request"
        );
        return Sent::Lost(AttemptEnd::Broken);
    }
    connection.idle_max = reply.idle_ms.map(ms);
    let closes = says_close(&head);
    let read = match timeout_at(until, read(state, outgoing, &mut connection, body)).await {
        Ok(Some(read)) => read,
        Ok(None) => return lost_answer(&reply, AttemptEnd::Broken),
        Err(_) => return lost_answer(&reply, AttemptEnd::Silent),
    };
    let body = match read {
        Read::Whole(bytes) => {
            if !closes && connection.is_sound().await {
                state.pool.keep(pick, connection);
            }
            AnswerBody::paced(bytes, &state.pace_out)
        }
        Read::Begun(begun, rest) => {
            AnswerBody::Stream(Box::new(Stream::new(begun, rest, connection)))
        }
    };
    judge(head, body, &reply)
}

/// Whether an answer is one to pass on.
fn judge(head: response::Parts, body: AnswerBody, reply: &Reply) -> Sent {
    if reply.replaced {
        return Sent::NotRun(AttemptEnd::Replaced);
    }
    if reply.not_run {
        return Sent::NotRun(AttemptEnd::NotRun);
    }
    if head.status.is_success() && !reply.sealed {
        return Sent::Lost(AttemptEnd::Broken);
    }
    Sent::Answered(Box::new(Answer { head, body }))
}

fn lost_answer(reply: &Reply, end: AttemptEnd) -> Sent {
    if reply.not_run || reply.replaced {
        return Sent::NotRun(AttemptEnd::NotRun);
    }
    Sent::Lost(end)
}

async fn connect<D: Dialect>(
    state: &State<D>,
    pick: &Choice,
    outgoing: &Outgoing,
) -> Result<Connection, Failure> {
    if let Some(connection) = state.pool.take(pick, outgoing.repeats).await {
        return Ok(connection);
    }
    let way_ms = state.spread.lock().rtt_ms(&pick.place.region);
    let patience = Duration::from_secs_f64(way_ms * 2.0 / 1_000.0) + CONNECT_MARGIN;
    let begun_at = Instant::now();
    let connection = Connection::open(pick.addr, patience).await?;
    let took_ms = begun_at.elapsed().as_secs_f64() * 1_000.0;
    let mut spread = state.spread.lock();
    spread.record_rtt(&pick.place.region, took_ms);
    Ok(connection)
}

fn request<D: Dialect>(
    state: &State<D>,
    pick: &Choice,
    outgoing: &Outgoing,
    until: Instant,
) -> Option<Request<Full<Bytes>>> {
    let left = until.saturating_duration_since(Instant::now());
    if left < LEFT_MIN {
        return None;
    }
    let mut headers = outgoing.headers.clone();
    let hop = Hop {
        call: &outgoing.call,
        server: &pick.server,
        left_ms: as_ms(left),
    };
    state.dialect.hop(&hop, &mut headers);
    state.pace_out.count(outgoing.body.len() + HEAD_BYTES);
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    Some(request)
}

fn says_close(head: &response::Parts) -> bool {
    let values = head.headers.get_all(hyper::header::CONNECTION);
    values.iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    })
}

enum Read {
    Whole(Bytes),
    Begun(Bytes, Incoming),
}

/// Reads a body; `None` when it broke off.
async fn read<D: Dialect>(
    state: &State<D>,
    outgoing: &Outgoing,
    connection: &mut Connection,
    mut body: Incoming,
) -> Option<Read> {
    let mut whole = BytesMut::new();
    if let Some(len) = body.size_hint().exact() {
        whole.reserve(usize::try_from(len).unwrap_or(0).min(WHOLE_MAX_BYTES));
    }
    loop {
        if whole.len() > WHOLE_MAX_BYTES {
            return Some(Read::Begun(whole.freeze(), body));
        }
        let next = poll_fn(|cx| connection.poll_body(&mut body, cx)).await;
        match next {
            None => {
                if outgoing.reserved.is_some() {
                    state.large.learn(whole.len());
                }
                return Some(Read::Whole(whole.freeze()));
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                    let reserved = outgoing.reserved.as_ref();
                    let uncovered = reserved.map_or(data.len(), |r| r.cover(data.len()));
                    let next_at = state.pace_in.count(uncovered);
                    if uncovered > 0 && whole.len() > SHORT_MAX_BYTES {
                        sleep_until(next_at).await;
                    }
                }
            }
            Some(Err(error)) => {
                log::debug!(target: "forward", error:% = error; "an answer broke off");
                return None;
            }
        }
    }
}
