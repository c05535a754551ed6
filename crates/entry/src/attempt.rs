//! Sends one attempt of a request to a backend server, or to the entry VM that owns
//! one, and classifies the response or failure.

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
use world::{Error, ErrorKind, FINAL_STATUSES, RunStatus, ServerName};

use crate::cross_vm::{CREDIT_HEADER, CrossVmPermit, REGION_HEADER, SUSPECT_HEADER};
use crate::destination::Destination;
use crate::headers;
use crate::inbound::{DEADLINE_HEADER, InboundRequest};
use crate::open_attempt::OpenAttempt;
use crate::pool::{Connection, Peer};
use crate::state::State;

/// Retry delay, milliseconds, for a server that sheds load and states no retry delay.
const SHED_RETRY_MS: u64 = 200;

/// Request of one attempt, before it is encoded as HTTP.
pub struct AttemptRequest<'a> {
    /// The client's request.
    pub inbound: &'a InboundRequest,
    /// Id that the response must echo.
    pub id: &'a str,
    /// Deadline of the client.
    pub deadline: Instant,
    /// Fencing token of the execution grant; `None` for a request that needs no grant.
    pub fence: Option<u64>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether to open a new connection, since pooled ones may be unresponsive.
    pub fresh: bool,
    /// Set to true when a pooled connection carries the attempt.
    pub reused: AtomicBool,
}

/// A response whose body has not been read yet.
pub struct AttemptResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body, as it arrives.
    pub body: Incoming,
    /// Slot and connection, in use until the body has been read.
    pub open_attempt: OpenAttempt,
}

/// An attempt without a usable response.
pub struct Failure {
    /// Error to return when no later attempt succeeds.
    pub error: Error,
    /// Whether the request may have run at the server.
    pub may_have_run: bool,
    /// Whether the connection was lost while the server ran the request.
    pub connection_lost: bool,
    /// Whether the attempt failed only because its connection did not respond. A retry
    /// adds no load then, so it isn't charged to the retry budget.
    pub unresponsive: bool,
    /// Server that received the attempt.
    pub server: Option<ServerName>,
    /// The server's own 5xx response, returned when no later attempt succeeds.
    pub server_response: Option<Box<AttemptResponse>>,
}

impl Failure {
    /// A failure of a request that has not run.
    #[must_use]
    pub fn not_run(error: Error) -> Self {
        Self {
            error,
            may_have_run: false,
            connection_lost: false,
            unresponsive: false,
            server: None,
            server_response: None,
        }
    }

    /// A failure of a request that may have run.
    #[must_use]
    pub fn unknown(error: Error) -> Self {
        Self {
            may_have_run: true,
            ..Self::not_run(error)
        }
    }
}

/// Sends the request to its destination and validates the response.
///
/// # Errors
/// [`Failure`]; the attempt's slot is released with its outcome, except that a
/// `server_response` still holds its slot.
pub async fn send(
    state: &Arc<State>,
    destination: Destination,
    work: &Work,
    attempt_request: &AttemptRequest<'_>,
) -> Result<AttemptResponse, Failure> {
    let server = destination.server().cloned();
    let mut result = exchange(state, destination, work, attempt_request).await;
    if let Err(failure) = &mut result {
        failure.server = server;
    }
    result
}

/// Runs the attempt: connects, sends the request and waits for the response head.
async fn exchange(
    state: &Arc<State>,
    destination: Destination,
    work: &Work,
    attempt_request: &AttemptRequest<'_>,
) -> Result<AttemptResponse, Failure> {
    let peer = destination.peer().map_err(Failure::not_run)?;
    let mut open_attempt = connect(state, destination, &peer, work, attempt_request.fresh).await?;
    attempt_request
        .reused
        .store(open_attempt.connection.reused, Ordering::Relaxed);
    let sent_at = Instant::now();
    let sending = send_request(state, &mut open_attempt, attempt_request);
    let response = match timeout_at(attempt_request.deadline, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(failure)) => return Err(open_attempt.failed(failure)),
        Err(_) => {
            state.pool.report_unresponsive(&peer, sent_at);
            open_attempt.end(Outcome::TimedOut);
            let text = format!("{} was running", peer.name);
            return Err(Failure::unknown(Error::new(
                ErrorKind::DeadlineRunning,
                text,
            )));
        }
    };
    validate_response(response, attempt_request.id, &peer, open_attempt)
}

/// Takes an idle connection that was used recently enough from the pool, or opens a new
/// one.
async fn connect(
    state: &Arc<State>,
    destination: Destination,
    peer: &Peer,
    work: &Work,
    fresh: bool,
) -> Result<OpenAttempt, Failure> {
    if !fresh && let Some(connection) = state.pool.take_idle(peer, work) {
        return Ok(OpenAttempt::new(
            state,
            destination,
            peer.clone(),
            connection,
        ));
    }
    match open(state, &destination, peer).await {
        Ok(connection) => Ok(OpenAttempt::new(
            state,
            destination,
            peer.clone(),
            connection,
        )),
        Err(error) => {
            if let Destination::Local(slot) = destination {
                slot.done(Outcome::ConnectFailed);
            }
            Err(Failure::not_run(error))
        }
    }
}

/// Opens a connection and counts it against the backend server's connection limit.
///
/// # Errors
/// [`ErrorKind::NoServer`] or [`ErrorKind::Overloaded`]; nothing was sent.
pub async fn open(
    state: &State,
    destination: &Destination,
    peer: &Peer,
) -> Result<Connection, Error> {
    let permit = match destination {
        Destination::Local(slot) => match slot.permit() {
            Some(permit) => Some(state.admission.fleet().connect(permit.ticket())?),
            None => None,
        },
        Destination::Remote(_) => None,
    };
    state.pool.open(peer, permit).await
}

/// Sends the request on the connection. A pooled connection that closed before any byte
/// was sent is replaced by a new one.
async fn send_request(
    state: &State,
    open_attempt: &mut OpenAttempt,
    attempt_request: &AttemptRequest<'_>,
) -> Result<Response<Incoming>, (Outcome, Failure)> {
    let request = attempt_request.to_request(state, open_attempt)?;
    let mut failed = match open_attempt.connection.send(request).await {
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    let request = match failed.take_message() {
        Some(request) if open_attempt.connection.reused => request,
        unsent => return Err(send_failure(open_attempt, failed.error(), unsent.is_some())),
    };
    open_attempt.connection = open(state, &open_attempt.destination, &open_attempt.peer)
        .await
        .map_err(|error| (Outcome::ConnectFailed, Failure::not_run(error)))?;
    let sent = open_attempt.connection.send(request).await;
    sent.map_err(|mut error| {
        let unsent = error.take_message().is_some();
        send_failure(open_attempt, error.error(), unsent)
    })
}

/// Classifies a send error: `unsent` means that no byte of the request was sent.
fn send_failure(
    open_attempt: &OpenAttempt,
    error: &hyper::Error,
    unsent: bool,
) -> (Outcome, Failure) {
    let text = format!("{}: {error}", open_attempt.peer.name);
    if unsent {
        let failure = Failure::not_run(Error::new(ErrorKind::NoServer, text));
        return (Outcome::ConnectFailed, failure);
    }
    let failure = Failure {
        connection_lost: true,
        ..Failure::unknown(Error::new(ErrorKind::ServerFailed, text))
    };
    (Outcome::ConnectionLost, failure)
}

/// Checks that the response echoes the request id, has a final status, and is not a
/// refusal or a server error.
///
/// # Errors
/// [`Failure`]; the attempt's slot is released with its outcome, except that a
/// `server_response` still holds its slot.
pub fn validate_response(
    response: Response<Incoming>,
    id: &str,
    peer: &Peer,
    open_attempt: OpenAttempt,
) -> Result<AttemptResponse, Failure> {
    let (mut head, body) = response.into_parts();
    let echo = head.headers.remove(headers::REQUEST);
    if echo.as_ref().map(HeaderValue::as_bytes) != Some(id.as_bytes()) {
        open_attempt.end(Outcome::Failed);
        let text = format!("{} answered another request", peer.name);
        return Err(Failure::unknown(Error::new(ErrorKind::BadAnswer, text)));
    }
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        open_attempt.end(Outcome::Failed);
        let text = format!(
            "{} answered with status {}",
            peer.name,
            head.status.as_u16()
        );
        return Err(Failure::unknown(Error::new(ErrorKind::BadAnswer, text)));
    }
    if let Some(failure) = refusal(&head, &open_attempt, peer) {
        let retry_after_ms = number(&head.headers, headers::RETRY_AFTER_MS);
        let outcome = if failure.may_have_run {
            Outcome::Failed
        } else {
            Outcome::Shed {
                retry_after_ms: retry_after_ms.unwrap_or(SHED_RETRY_MS),
            }
        };
        open_attempt.end(outcome);
        return Err(failure);
    }
    headers::remove_hop_by_hop_headers(&mut head.headers);
    let status = head.status;
    let response = AttemptResponse {
        head,
        body,
        open_attempt,
    };
    if !status.is_server_error() {
        return Ok(response);
    }
    let text = format!("{} answered {status}", peer.name);
    Err(Failure {
        server_response: Some(Box::new(response)),
        ..Failure::unknown(Error::new(ErrorKind::ServerFailed, text))
    })
}

/// Returns the failure for a server's refusal to run the request, or for any refusal by
/// another entry VM.
fn refusal(head: &Parts, open_attempt: &OpenAttempt, peer: &Peer) -> Option<Failure> {
    let ran = head.headers.get(headers::RAN).map(HeaderValue::as_bytes);
    let not_run = ran == Some(RunStatus::NotRun.as_str().as_bytes());
    let code = head
        .headers
        .get(headers::ERROR)
        .and_then(|v| v.to_str().ok());
    match (&open_attempt.destination, code) {
        (Destination::Remote(_), Some(code)) => {
            let kind = ErrorKind::from_code(code).unwrap_or(ErrorKind::Internal);
            let error = Error::new(kind, format!("{} refused", peer.name));
            if not_run {
                return Some(Failure::not_run(error));
            }
            Some(Failure {
                connection_lost: kind == ErrorKind::ServerFailed,
                ..Failure::unknown(error)
            })
        }
        _ if not_run && !head.status.is_success() => {
            let text = format!("{} refused with {} before it ran", peer.name, head.status);
            Some(Failure::not_run(Error::new(ErrorKind::ServerShed, text)))
        }
        _ => None,
    }
}

fn number(headers: &HeaderMap, name: hyper::header::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

impl AttemptRequest<'_> {
    fn to_request(
        &self,
        state: &State,
        open_attempt: &OpenAttempt,
    ) -> Result<Request<Full<Bytes>>, (Outcome, Failure)> {
        self.http(state, &open_attempt.destination, &open_attempt.peer)
            .map_err(|error| (Outcome::Cancelled, Failure::not_run(error)))
    }

    /// Encodes the attempt as an HTTP request for `destination`.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] when a header or the URI is not valid HTTP.
    pub fn http(
        &self,
        state: &State,
        destination: &Destination,
        peer: &Peer,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let bad = |text: String| Error::new(ErrorKind::BadRequest, text);
        let inbound = self.inbound;
        let left_ms = as_ms(self.deadline.saturating_duration_since(Instant::now()));
        let mut forwarded = headers::forwarded_headers(&inbound.headers);
        let mut set = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).map_err(|e| bad(e.to_string()))?;
            forwarded.insert(name, value);
            Ok::<(), Error>(())
        };
        set("x-waxwing-request", self.id)?;
        set(DEADLINE_HEADER, &left_ms.to_string())?;
        set("host", &peer.addr.to_string())?;
        if let Some(fence) = self.fence {
            set("x-waxwing-fence", &fence.to_string())?;
        }
        if let Destination::Remote(permit) = destination {
            set(CREDIT_HEADER, &credit_text(permit))?;
            set(REGION_HEADER, state.me.place.region.as_str())?;
            set(::http_api::SECRET_HEADER, &state.forward_proof)?;
            set(::http_api::KEY_HEADER, inbound.key_text())?;
            if let Some(mark) = state.admission.mark(Instant::now(), self.fingerprint) {
                set(
                    SUSPECT_HEADER,
                    &format!("{:x}-{}", mark.crash_id, mark.left_ms),
                )?;
            }
        }
        let uri = match destination {
            Destination::Local(_) => inbound.rest.clone(),
            Destination::Remote(_) => format!("/{}{}", inbound.service, inbound.rest),
        };
        let mut request = Request::new(Full::new(inbound.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = uri.parse().map_err(|e| bad(format!("{uri}: {e}")))?;
        *request.headers_mut() = forwarded;
        Ok(request)
    }
}

fn credit_text(permit: &CrossVmPermit) -> String {
    format!("{:x}-{:x}", permit.credit.epoch, permit.credit.number)
}
