//! Handles one client request: decoding, routing, admission of large responses,
//! the retry loop and the response.

use std::sync::Arc;

use balancer::Fingerprint;
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, Uri};
use tokio::time::{Instant, sleep_until};
use world::unit::{as_ms, ms};
use world::{Error, ErrorKind, RequestKind, Route};

use crate::answer;
use crate::attempt::OutgoingRequest;
use crate::body::ResponseBody;
use crate::dialect::{Dialect, RequestHead};
use crate::large::{self, LinkAdmission, Reservation};
use crate::refusal::Refusal;
use crate::request_body;
use crate::request_log::Outcome;
use crate::retry::RetryLoop;
use crate::state::State;

/// Largest accepted request body while no limits are known, bytes.
const BODY_MAX_BYTES: u64 = 1 << 20;

/// Handles a client's request.
pub async fn handle<D: Dialect>(
    state: Arc<State<D>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = Instant::now();
    let (head, body) = request.into_parts();
    let call = match state.dialect.decode_request(&head) {
        Ok(call) => call,
        Err(error) => return refuse(&state, &error.into(), None, arrived_at),
    };
    let table = state.routes.load_full();
    if !table.is_known() {
        let refusal = Refusal::new(ErrorKind::NoConfig, "no configuration is known yet");
        return refuse(&state, &refusal, Some(&call), arrived_at);
    }
    let Some(route) = table.route(&call.host, head.uri.path()) else {
        let refusal = if state.is_confirmed(arrived_at) {
            Refusal::new(ErrorKind::NoRoute, "no route takes this host and path")
        } else {
            let text = "no route takes this host and path, but the routes may be out of date";
            Refusal::new(ErrorKind::NoConfig, text)
        };
        return refuse(&state, &refusal, Some(&call), arrived_at);
    };
    let deadline_ms = call.deadline_ms.unwrap_or(route.timeout_ms);
    let deadline = arrived_at + ms(deadline_ms.min(route.timeout_ms));
    let body_max = table.limits().map_or(BODY_MAX_BYTES, |l| l.body_bytes);
    let body = match request_body::read(&state, body, body_max, deadline).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&state, &refusal, Some(&call), arrived_at),
    };
    // The body may have taken long, so a planned stop may have begun meanwhile.
    let idempotent = route.kind.is_repeatable();
    let deadline = match state.admit(deadline, idempotent) {
        Ok(deadline) => deadline,
        Err(error) => return refuse_routed(&state, &error.into(), &call, route, arrived_at),
    };
    let fingerprint = fingerprint(&call, &head.method, &head.uri, &body);
    if let Some(refusal) = state.crashes.refusal(fingerprint) {
        return refuse_routed(&state, &refusal, &call, route, arrived_at);
    }
    let reserved = match reserve_link(&state, route, &call, deadline).await {
        Ok(reserved) => reserved,
        Err(refusal) => return refuse_routed(&state, &refusal, &call, route, arrived_at),
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from);
    let outgoing = OutgoingRequest {
        call,
        fingerprint,
        method: head.method,
        target: target.unwrap_or_default(),
        headers: answer::forwarded_headers(head.headers),
        body,
        client_deadline: arrived_at + ms(deadline_ms),
        idempotent,
        reserved,
    };
    let mut retry_loop = RetryLoop::new(&state, route, &outgoing, deadline);
    let result = tokio::select! {
        result = retry_loop.run() => result,
        () = state.last_response_time() => {
            let text = "no response before this entry VM ends";
            Err(Refusal::new(ErrorKind::DeadlineRunning, text))
        }
    };
    match result {
        Ok(server_response) => {
            let outcome = Outcome::answered(server_response.head.status.as_u16());
            state.record_outcome(&outgoing.call, Some(route), &outcome, arrived_at);
            answer::client_response(server_response, state.is_leaving())
        }
        Err(refusal) => refuse_routed(&state, &refusal, &outgoing.call, route, arrived_at),
    }
}

/// Fingerprint of a request: equal for requests that a backend server can't tell
/// apart by method, host, path, query and body.
fn fingerprint(call: &RequestHead, method: &Method, uri: &Uri, body: &[u8]) -> Fingerprint {
    let target = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    Fingerprint::of(&[
        method.as_str().as_bytes(),
        call.host.as_bytes(),
        target.as_bytes(),
        body,
    ])
}

/// Refuses a request for which no route is known yet.
fn refuse<D: Dialect>(
    state: &State<D>,
    refusal: &Refusal,
    call: Option<&RequestHead>,
    arrived_at: Instant,
) -> Response<ResponseBody> {
    if let Some(call) = call {
        state.record_outcome(call, None, &Outcome::refused(&refusal.error), arrived_at);
    }
    let response = state
        .dialect
        .encode_error(&refusal.error, refusal.retry_after_ms, call);
    answer::own_response(response, state.is_leaving())
}

/// Refuses a request on its route.
fn refuse_routed<D: Dialect>(
    state: &State<D>,
    refusal: &Refusal,
    call: &RequestHead,
    route: &Route,
    arrived_at: Instant,
) -> Response<ResponseBody> {
    let outcome = Outcome::refused(&refusal.error);
    state.record_outcome(call, Some(route), &outcome, arrived_at);
    let response = state
        .dialect
        .encode_error(&refusal.error, refusal.retry_after_ms, Some(call));
    answer::own_response(response, state.is_leaving())
}

/// On a download route, waits until this machine's link has capacity for the
/// response and reserves it.
async fn reserve_link<D: Dialect>(
    state: &State<D>,
    route: &Route,
    call: &RequestHead,
    deadline: Instant,
) -> Result<Option<Arc<Reservation>>, Refusal> {
    if route.kind != RequestKind::Download {
        return Ok(None);
    }
    let backlog = state.pace_in.backlog().max(state.pace_out.backlog());
    let wait = match large::admit(backlog, ms(route.target_ms)) {
        LinkAdmission::After(wait) => wait,
        LinkAdmission::Full(wait) => {
            let wait_ms = as_ms(wait);
            return Err(Refusal {
                error: Error::new(
                    ErrorKind::Overloaded,
                    format!("this machine's link has room for large answers in {wait_ms} ms"),
                ),
                retry_after_ms: Some(u32::try_from(wait_ms).unwrap_or(u32::MAX)),
            });
        }
    };
    let reserved = state.large_size.reserve(&state.pace_in);
    if !wait.is_zero() {
        state.request_log.link_wait(call, wait);
        sleep_until((Instant::now() + wait).min(deadline)).await;
    }
    Ok(Some(Arc::new(reserved)))
}

/// Milliseconds since a request arrived.
#[must_use]
pub fn since_ms(arrived_at: Instant) -> u64 {
    as_ms(arrived_at.elapsed())
}
