//! The front of a stand-in backend server: requests in, answers out.

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

use super::behaviour::{Fate, Health};
use super::body::{Body, Download};
use super::gate::{Ticket, Turned};
use super::order::{Order, PATH_ECHO, RAN, REQUEST, RETRY_AFTER};
use super::state::State;

/// Largest body that a request may bring.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time a request without a deadline may wait.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// When a shed request may come again.
const SHED_RETRY_MS: &str = "50";

/// Id in a crossed answer.
const OTHER_REQUEST: &str = "of-another-request";

/// Accepts connections until the server ends or crashes.
pub async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    admit(&mut connections, stream, &state);
                }
            }
            Some(_) = connections.join_next() => {}
            () = state.crashed() => return,
        }
    }
}

fn admit(connections: &mut JoinSet<()>, stream: TcpStream, state: &Arc<State>) {
    let limit = state.options.connections as usize;
    let open = connections.len() + 1;
    if open > limit {
        state.count(|s| s.refused_connections += 1);
        return;
    }
    let highest = u32::try_from(open).unwrap_or(u32::MAX);
    state.count(|s| s.highest_connections = s.highest_connections.max(highest));
    connections.spawn(serve(stream, Arc::clone(state)));
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    let _ = stream.set_nodelay(true);
    state.count(|s| s.connections += 1);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(answer(&state, request).await) }
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

async fn answer(state: &State, request: Request<Incoming>) -> Response<Body> {
    let order = Order::new(&request);
    if order.path == "/health" {
        return health(state);
    }
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, &order, "body can't be read");
    };
    let body = body.to_bytes();
    if order.crash {
        log::warn!(target: "rig::server::serve", "crash asked for by request {}", order.request);
        state.crash();
        return pending().await;
    }
    match enter(state, &order).await {
        Ok(ticket) => run(state, &order, &body, ticket).await,
        Err(refused) => refused,
    }
}

async fn enter(state: &State, order: &Order) -> Result<Ticket, Response<Body>> {
    let wait = order.deadline.unwrap_or(WAIT_MAX);
    let late = || {
        state.count(|s| s.past_deadline += 1);
        refusal(StatusCode::GATEWAY_TIMEOUT, order, "deadline has passed")
    };
    if wait.is_zero() {
        return Err(late());
    }
    let queue = state.behaviour().queue;
    let ticket = match state.gate.enter(queue, Instant::now() + wait).await {
        Ok(ticket) => ticket,
        Err(Turned::Late) => return Err(late()),
        Err(Turned::Shed) => {
            state.count(|s| s.shed += 1);
            return Err(refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                order,
                "no slot is free",
            ));
        }
    };
    if state.is_stale(order) {
        state.count(|s| s.stale_fence += 1);
        let why = "fence is lower than one seen for the key";
        return Err(refusal(StatusCode::CONFLICT, order, why));
    }
    Ok(ticket)
}

async fn run(state: &State, order: &Order, body: &Bytes, ticket: Ticket) -> Response<Body> {
    let (place, fate) = state.start_run(order);
    let service = order.service.unwrap_or(fate.service);
    // The timer's least step is a millisecond.
    if !service.is_zero() {
        sleep(service).await;
    }
    state.end_run(place);
    if !fate.late.is_zero() {
        state.count(|s| s.late += 1);
        sleep(fate.late).await;
    }
    if fate.failed {
        state.count(|s| s.failed += 1);
        let text = Bytes::from_static(b"{\"error\":\"failed on purpose\"}");
        return respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            order,
            Body::Whole(Some(text)),
        );
    }
    deliver(state, order, body, fate, ticket)
}

fn deliver(
    state: &State,
    order: &Order,
    body: &Bytes,
    fate: Fate,
    ticket: Ticket,
) -> Response<Body> {
    let behaviour = state.behaviour();
    let size_bytes = order.size_bytes.unwrap_or(behaviour.body_bytes);
    if fate.crossed {
        state.count(|s| s.crossed += 1);
        let other = Order {
            request: OTHER_REQUEST.into(),
            path: "/of/another/request".into(),
            ..Order::default()
        };
        return respond(StatusCode::OK, &other, small(state, &other, body));
    }
    if fate.cut {
        state.count(|s| s.cut += 1);
        let first = small_text(state, order, body);
        let promised_bytes = first.len() as u64 * 2;
        let first = Some(first);
        return respond(
            StatusCode::OK,
            order,
            Body::Cut {
                first,
                promised_bytes,
            },
        );
    }
    if size_bytes > 0 {
        let download = Download::new(size_bytes, behaviour.body_bytes_per_s, ticket);
        return respond(StatusCode::OK, order, Body::Download(download));
    }
    respond(StatusCode::OK, order, small(state, order, body))
}

fn small(state: &State, order: &Order, body: &Bytes) -> Body {
    Body::Whole(Some(small_text(state, order, body)))
}

fn small_text(state: &State, order: &Order, body: &Bytes) -> Bytes {
    let answer = json!({
        "server": state.options.name,
        "request": order.request,
        "path": order.path,
        "key": order.key,
        "body_bytes": body.len(),
    });
    answer.to_string().into()
}

fn health(state: &State) -> Response<Body> {
    let status = match state.behaviour().health {
        Health::Fine => StatusCode::OK,
        Health::Dead => StatusCode::SERVICE_UNAVAILABLE,
    };
    respond(status, &Order::default(), Body::Whole(None))
}

fn refusal(status: StatusCode, order: &Order, why: &str) -> Response<Body> {
    let text = json!({ "error": why, "ran": "not run" }).to_string();
    let mut response = respond(status, order, Body::Whole(Some(text.into())));
    let headers = response.headers_mut();
    headers.insert(RAN, header::HeaderValue::from_static("not run"));
    headers.insert(RETRY_AFTER, header::HeaderValue::from_static(SHED_RETRY_MS));
    response
}

fn respond(status: StatusCode, order: &Order, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = header::HeaderValue::from_str(&order.request)
        && !id.is_empty()
    {
        headers.insert(REQUEST, id);
    }
    if let Ok(path) = header::HeaderValue::from_str(&order.path) {
        headers.insert(PATH_ECHO, path);
    }
    response
}
