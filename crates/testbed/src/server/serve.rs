//! Serves requests on a stand-in backend server: waits for a slot, runs, and
//! responds as the drawn behaviour says.

use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::behaviour::{DrawnBehaviour, Health};
use super::body::{Body, Download};
use super::parsed_request::{
    PATH_HEADER, ParsedRequest, RAN_HEADER, REQUEST_HEADER, RETRY_AFTER_HEADER,
};
use super::slots::{NoSlot, SlotGuard};
use super::state::State;

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Longest wait for a slot of a request without a deadline.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Retry delay that refusals state, milliseconds.
const SHED_RETRY_MS: &str = "50";

/// Id in a response that deliberately belongs to another request.
const OTHER_REQUEST: &str = "of-another-request";

/// Status without a meaning in HTTP that the library can send.
const ODD_STATUS: u16 = 600;

/// Accepts connections until the server crashes.
pub async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_or_close(&mut connections, stream, &state);
                }
            }
            Some(_) = connections.join_next() => {}
            () = state.crashed() => return,
        }
    }
}

/// Serves a connection, or closes it when the limit of connections is reached.
fn serve_or_close(connections: &mut JoinSet<()>, stream: TcpStream, state: &Arc<State>) {
    let limit = state.options.connections as usize;
    let open = connections.len() + 1;
    if open > limit {
        state.count(|s| s.refused_connections += 1);
        return;
    }
    let highest = u32::try_from(open).unwrap_or(u32::MAX);
    state.count(|s| s.highest_connections = s.highest_connections.max(highest));
    connections.spawn(handle_connection(stream, Arc::clone(state)));
}

async fn handle_connection(stream: TcpStream, state: Arc<State>) {
    let _ = stream.set_nodelay(true);
    state.count(|s| s.connections += 1);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handle_request(&state, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!(target: "rig::server::serve", "connection ended: {e}");
    }
    state.count(|s| s.connections -= 1);
}

async fn handle_request(state: &State, request: Request<Incoming>) -> Response<Body> {
    let parsed = ParsedRequest::new(&request);
    if parsed.path == "/health" {
        return health(state);
    }
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, &parsed, "body can't be read");
    };
    let body = body.to_bytes();
    if parsed.crash {
        log::warn!(target: "rig::server::serve", "request {} crashes the server", parsed.attempt_id);
        state.crash();
        return pending().await;
    }
    match acquire_slot(state, &parsed).await {
        Ok(slot) => run_request(state, &parsed, &body, slot).await,
        Err(refused) => refused,
    }
}

/// Waits for a slot; returns the response to send when there is none in time or
/// the request's fence is stale.
async fn acquire_slot(state: &State, parsed: &ParsedRequest) -> Result<SlotGuard, Response<Body>> {
    let wait = parsed.deadline.unwrap_or(WAIT_MAX);
    let late = || {
        state.count(|s| s.past_deadline += 1);
        refusal(StatusCode::GATEWAY_TIMEOUT, parsed, "deadline has passed")
    };
    if wait.is_zero() {
        return Err(late());
    }
    let queue = state.behaviour().queue;
    let slot = match state
        .slot_queue
        .acquire_slot(queue, Instant::now() + wait)
        .await
    {
        Ok(slot) => slot,
        Err(NoSlot::DeadlinePassed) => return Err(late()),
        Err(NoSlot::QueueFull) => {
            state.count(|s| s.shed += 1);
            return Err(refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                parsed,
                "no slot is free",
            ));
        }
    };
    if state.is_stale(parsed) {
        state.count(|s| s.stale_fence += 1);
        let reason = "fence is lower than one seen for the key";
        return Err(refusal(StatusCode::CONFLICT, parsed, reason));
    }
    Ok(slot)
}

/// Runs the request for its service time and returns the response.
async fn run_request(
    state: &State,
    parsed: &ParsedRequest,
    body: &Bytes,
    slot: SlotGuard,
) -> Response<Body> {
    let (index, draw) = state.start_run(parsed);
    let service_time = parsed.service_time.unwrap_or(draw.service_time);
    // Even a sleep of zero would last until the timer's next millisecond.
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    state.end_run(index);
    if !draw.late.is_zero() {
        state.count(|s| s.late += 1);
        sleep(draw.late).await;
    }
    if draw.failed {
        state.count(|s| s.failed += 1);
        let text = Bytes::from_static(b"{\"error\":\"failed on purpose\"}");
        return response_to(
            StatusCode::INTERNAL_SERVER_ERROR,
            parsed,
            Body::Complete(Some(text)),
        );
    }
    build_response(state, parsed, body, draw, slot)
}

/// Builds the response to a successful run: another request's, truncated, a download or
/// a small JSON response.
fn build_response(
    state: &State,
    parsed: &ParsedRequest,
    body: &Bytes,
    draw: DrawnBehaviour,
    slot: SlotGuard,
) -> Response<Body> {
    let behaviour = state.behaviour();
    let size_bytes = parsed.size_bytes.unwrap_or(behaviour.body_bytes);
    if draw.crossed {
        state.count(|s| s.crossed += 1);
        let other = ParsedRequest {
            attempt_id: OTHER_REQUEST.into(),
            path: "/of/another/request".into(),
            ..ParsedRequest::default()
        };
        return response_to(StatusCode::OK, &other, small_body(state, &other, body));
    }
    if draw.cut {
        state.count(|s| s.cut += 1);
        let first = small_json(state, parsed, body);
        let declared_bytes = first.len() as u64 * 2;
        let first = Some(first);
        return response_to(
            StatusCode::OK,
            parsed,
            Body::Truncated {
                first,
                declared_bytes,
            },
        );
    }
    if draw.odd_status {
        state.count(|s| s.odd_status += 1);
        let status = StatusCode::from_u16(ODD_STATUS).unwrap_or(StatusCode::BAD_GATEWAY);
        return response_to(status, parsed, small_body(state, parsed, body));
    }
    if size_bytes > 0 {
        let download = Download::new(size_bytes, behaviour.body_bytes_per_s, slot);
        return response_to(StatusCode::OK, parsed, Body::Download(download));
    }
    response_to(StatusCode::OK, parsed, small_body(state, parsed, body))
}

fn small_body(state: &State, parsed: &ParsedRequest, body: &Bytes) -> Body {
    Body::Complete(Some(small_json(state, parsed, body)))
}

fn small_json(state: &State, parsed: &ParsedRequest, body: &Bytes) -> Bytes {
    let content = json!({
        "server": state.options.name,
        "request": parsed.attempt_id,
        "path": parsed.path,
        "key": parsed.key,
        "body_bytes": body.len(),
    });
    content.to_string().into()
}

fn health(state: &State) -> Response<Body> {
    let status = match state.behaviour().health {
        Health::Fine => StatusCode::OK,
        Health::Dead => StatusCode::SERVICE_UNAVAILABLE,
    };
    response_to(status, &ParsedRequest::default(), Body::Complete(None))
}

fn refusal(status: StatusCode, parsed: &ParsedRequest, reason: &str) -> Response<Body> {
    let text = json!({ "error": reason, "ran": "not run" }).to_string();
    let mut response = response_to(status, parsed, Body::Complete(Some(text.into())));
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, header::HeaderValue::from_static("not run"));
    headers.insert(
        RETRY_AFTER_HEADER,
        header::HeaderValue::from_static(SHED_RETRY_MS),
    );
    response
}

fn response_to(status: StatusCode, parsed: &ParsedRequest, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = header::HeaderValue::from_str(&parsed.attempt_id)
        && !id.is_empty()
    {
        headers.insert(REQUEST_HEADER, id);
    }
    if let Ok(path) = header::HeaderValue::from_str(&parsed.path) {
        headers.insert(PATH_HEADER, path);
    }
    response
}
