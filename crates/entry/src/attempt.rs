//! One attempt at a backend server, or at the entry VM that owns one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use balancer::{Fingerprint, Outcome, Work};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};
use world::unit::as_ms;
use world::{Error, Kind, Ran, ServerName};

use crate::ask::{Ask, DEADLINE_HEADER};
use crate::crossing::{CREDIT_HEADER, Leave, REGION_HEADER, SUSPECT_HEADER};
use crate::flow::Flow;
use crate::headers;
use crate::place::Place;
use crate::pool::{Connection, Peer};
use crate::state::State;

/// When a shedding server that names no time may be asked again, milliseconds.
const SHED_RETRY_MS: u64 = 200;

/// What one attempt sends.
pub struct Message<'a> {
    /// The caller's request.
    pub ask: &'a Ask,
    /// Id that the answer must echo.
    pub id: &'a str,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Number of the right to run an operation.
    pub fence: Option<u64>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether a new connection carries it, since pooled ones may be silent.
    pub fresh: bool,
    /// Set when a pooled connection carries it.
    pub reused: AtomicBool,
}

/// An answer whose body is still to be read.
pub struct Answered {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Incoming,
    /// Slot and connection, until the body is read.
    pub flow: Flow,
}

/// An attempt without a good answer.
pub struct Failure {
    /// What happened.
    pub error: Error,
    /// Whether the work may have run.
    pub may_have_run: bool,
    /// Whether the connection broke while the server ran the work.
    pub broken: bool,
    /// Whether only its connection is to blame, so that a further attempt is
    /// no load on top and costs no budget.
    pub silent: bool,
    /// Server that had the attempt.
    pub server: Option<ServerName>,
    /// The server's own answer of a fault, to be passed on when nothing better comes.
    pub answer: Option<Box<Answered>>,
}

impl Failure {
    /// The work has not run.
    #[must_use]
    pub fn not_run(error: Error) -> Self {
        Self {
            error,
            may_have_run: false,
            broken: false,
            silent: false,
            server: None,
            answer: None,
        }
    }

    /// The work may have run.
    #[must_use]
    pub fn unknown(error: Error) -> Self {
        Self {
            may_have_run: true,
            ..Self::not_run(error)
        }
    }
}

/// Sends the message to its place and checks that the answer is its own.
///
/// # Errors
/// [`Failure`], with the outcome already counted at the server.
pub async fn send(
    state: &Arc<State>,
    place: Place,
    work: &Work,
    message: &Message<'_>,
) -> Result<Answered, Failure> {
    let server = place.server().cloned();
    let mut result = exchange(state, place, work, message).await;
    if let Err(failure) = &mut result {
        failure.server = server;
    }
    result
}

async fn exchange(
    state: &Arc<State>,
    place: Place,
    work: &Work,
    message: &Message<'_>,
) -> Result<Answered, Failure> {
    let peer = place.peer().map_err(Failure::not_run)?;
    let mut flow = connect(state, place, &peer, work, message.fresh).await?;
    message
        .reused
        .store(flow.connection.reused, Ordering::Relaxed);
    let sent_at = Instant::now();
    let sending = hand_over(state, &mut flow, message);
    let answer = match timeout_at(message.deadline, sending).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => return Err(flow.failed(failure)),
        Err(_) => {
            state.pool.silent(&peer, sent_at);
            flow.end(Outcome::TimedOut);
            let text = format!("{} was running", peer.name);
            return Err(Failure::unknown(Error::new(Kind::DeadlineRunning, text)));
        }
    };
    judge(answer, message.id, &peer, flow)
}

/// A connection: an idle one that is trusted, or a new one.
async fn connect(
    state: &Arc<State>,
    place: Place,
    peer: &Peer,
    work: &Work,
    fresh: bool,
) -> Result<Flow, Failure> {
    if !fresh && let Some(connection) = state.pool.idle(peer, work) {
        return Ok(Flow::new(state, place, peer.clone(), connection));
    }
    match open(state, &place, peer).await {
        Ok(connection) => Ok(Flow::new(state, place, peer.clone(), connection)),
        Err(error) => {
            if let Place::Here(slot) = place {
                slot.done(Outcome::ConnectFailed);
            }
            Err(Failure::not_run(error))
        }
    }
}

/// Opens a connection, counted at the server that it leads to.
///
/// # Errors
/// [`Kind::NoServer`] or [`Kind::Overloaded`]; nothing was sent.
pub async fn open(state: &State, place: &Place, peer: &Peer) -> Result<Connection, Error> {
    let permit = match place {
        Place::Here(slot) => match slot.permit() {
            Some(permit) => Some(state.gate.fleet().connect(permit.ticket())?),
            None => None,
        },
        Place::There(_) => None,
    };
    state.pool.open(peer, permit).await
}

/// Hands the request to the connection. A pooled one that closed before the
/// first byte went out is replaced by a new one.
async fn hand_over(
    state: &State,
    flow: &mut Flow,
    message: &Message<'_>,
) -> Result<Response<Incoming>, (Outcome, Failure)> {
    let request = message.of(state, flow)?;
    let mut failed = match flow.connection.sender.try_send_request(request).await {
        Ok(answer) => return Ok(answer),
        Err(error) => error,
    };
    let request = match failed.take_message() {
        Some(request) if flow.connection.reused => request,
        unsent => return Err(lost(flow, failed.error(), unsent.is_some())),
    };
    flow.connection = open(state, &flow.place, &flow.peer)
        .await
        .map_err(|error| (Outcome::ConnectFailed, Failure::not_run(error)))?;
    let sent = flow.connection.sender.try_send_request(request).await;
    sent.map_err(|mut error| {
        let unsent = error.take_message().is_some();
        lost(flow, error.error(), unsent)
    })
}

/// What became of a request that got no answer.
fn lost(flow: &Flow, error: &hyper::Error, unsent: bool) -> (Outcome, Failure) {
    let text = format!("{}: {error}", flow.peer.name);
    if unsent {
        let failure = Failure::not_run(Error::new(Kind::NoServer, text));
        return (Outcome::ConnectFailed, failure);
    }
    let failure = Failure {
        broken: true,
        ..Failure::unknown(Error::new(Kind::ServerFailed, text))
    };
    (Outcome::ConnectionLost, failure)
}

/// Whether the answer belongs to the request, and is one.
///
/// # Errors
/// [`Failure`], with the outcome already counted at the server.
pub fn judge(
    answer: Response<Incoming>,
    id: &str,
    peer: &Peer,
    flow: Flow,
) -> Result<Answered, Failure> {
    let (mut head, body) = answer.into_parts();
    let echo = head.headers.remove(headers::REQUEST);
    if echo.as_ref().map(HeaderValue::as_bytes) != Some(id.as_bytes()) {
        flow.end(Outcome::Failed);
        let text = format!("{} answered another request", peer.name);
        return Err(Failure::unknown(Error::new(Kind::BadAnswer, text)));
    }
    if let Some(failure) = refusal(&head, &flow, peer) {
        let retry_after_ms = number(&head.headers, headers::RETRY_AFTER_MS);
        let outcome = if failure.may_have_run {
            Outcome::Failed
        } else {
            Outcome::Shed {
                retry_after_ms: retry_after_ms.unwrap_or(SHED_RETRY_MS),
            }
        };
        flow.end(outcome);
        return Err(failure);
    }
    headers::drop_hop(&mut head.headers);
    let status = head.status;
    let answered = Answered { head, body, flow };
    if !status.is_server_error() {
        return Ok(answered);
    }
    let text = format!("{} answered {status}", peer.name);
    Err(Failure {
        answer: Some(Box::new(answered)),
        ..Failure::unknown(Error::new(Kind::ServerFailed, text))
    })
}

/// A refusal before running by the server, or any refusal by another entry VM.
fn refusal(head: &Parts, flow: &Flow, peer: &Peer) -> Option<Failure> {
    let ran = head.headers.get(headers::RAN).map(HeaderValue::as_bytes);
    let not_run = ran == Some(Ran::NotRun.as_str().as_bytes());
    let code = head
        .headers
        .get(headers::ERROR)
        .and_then(|v| v.to_str().ok());
    match (&flow.place, code) {
        (Place::There(_), Some(code)) => {
            let kind = Kind::from_code(code).unwrap_or(Kind::Internal);
            let error = Error::new(kind, format!("{} refused", peer.name));
            if not_run {
                return Some(Failure::not_run(error));
            }
            Some(Failure {
                broken: kind == Kind::ServerFailed,
                ..Failure::unknown(error)
            })
        }
        _ if not_run && !head.status.is_success() => {
            let text = format!("{} refused with {} before it ran", peer.name, head.status);
            Some(Failure::not_run(Error::new(Kind::ServerShed, text)))
        }
        _ => None,
    }
}

fn number(headers: &HeaderMap, name: hyper::header::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

impl Message<'_> {
    fn of(&self, state: &State, flow: &Flow) -> Result<Request<Full<Bytes>>, (Outcome, Failure)> {
        self.http(state, &flow.place, &flow.peer)
            .map_err(|error| (Outcome::Cancelled, Failure::not_run(error)))
    }

    /// The request in its HTTP form.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] when it has none.
    pub fn http(
        &self,
        state: &State,
        place: &Place,
        peer: &Peer,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let bad = |text: String| Error::new(Kind::BadRequest, text);
        let ask = self.ask;
        let left_ms = as_ms(self.deadline.saturating_duration_since(Instant::now()));
        let mut passed = headers::passed_on(&ask.headers);
        let mut set = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).map_err(|e| bad(e.to_string()))?;
            passed.insert(name, value);
            Ok::<(), Error>(())
        };
        set("x-waxwing-request", self.id)?;
        set(DEADLINE_HEADER, &left_ms.to_string())?;
        set("host", &peer.addr.to_string())?;
        if let Some(fence) = self.fence {
            set("x-waxwing-fence", &fence.to_string())?;
        }
        if let Place::There(leave) = place {
            set(CREDIT_HEADER, &credit_text(leave))?;
            set(REGION_HEADER, state.me.place.region.as_str())?;
            set(::http_api::SECRET_HEADER, &state.forward_proof)?;
            set(::http_api::KEY_HEADER, ask.key_text())?;
            if let Some(mark) = state.gate.mark(Instant::now(), self.fingerprint) {
                set(
                    SUSPECT_HEADER,
                    &format!("{:x}-{}", mark.crash_id, mark.left_ms),
                )?;
            }
        }
        let uri = match place {
            Place::Here(_) => ask.rest.clone(),
            Place::There(_) => format!("/{}{}", ask.service, ask.rest),
        };
        let mut request = Request::new(Full::new(ask.body.clone()));
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = uri.parse().map_err(|e| bad(format!("{uri}: {e}")))?;
        *request.headers_mut() = passed;
        Ok(request)
    }
}

fn credit_text(leave: &Leave) -> String {
    format!("{:x}-{:x}", leave.credit.epoch, leave.credit.number)
}
