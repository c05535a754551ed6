//! The control interface of a stand-in backend server, for tests.
//!
//! `GET /rig/runs`, `GET /rig/stats`, `GET` or `POST /rig/behaviour`. A posted
//! behaviour need only name the knobs that change.

use std::convert::Infallible;
use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::behaviour::Behaviour;
use super::state::State;

/// Largest behaviour that may be posted.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Accepts control connections until the server ends.
pub async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&state)));
                }
            }
            Some(_) = connections.join_next() => {}
            () = state.crashed() => return,
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(answer(&state, request).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/rig/runs") => json(&state.runs()),
        (&Method::GET, "/rig/stats") => json(&state.stats()),
        (&Method::GET, "/rig/behaviour") => json(&state.behaviour()),
        (&Method::POST, "/rig/behaviour") => match change(state, request).await {
            Ok(()) => json(&state.behaviour()),
            Err(e) => text(StatusCode::BAD_REQUEST, format!("{e:#}")),
        },
        _ => text(StatusCode::NOT_FOUND, format!("no path {path}")),
    }
}

async fn change(state: &State, request: Request<Incoming>) -> anyhow::Result<()> {
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let body = body.collect().await;
    let body = body.map_err(|e| anyhow::anyhow!("could not read body: {e}"))?;
    let changes: Value = serde_json::from_slice(&body.to_bytes())?;
    let changes = changes.as_object().context("behaviour is no object")?;
    let mut whole = serde_json::to_value(state.behaviour())?;
    for (knob, value) in changes {
        whole[knob] = value.clone();
    }
    let behaviour: Behaviour = serde_json::from_value(whole)?;
    state.set_behaviour(behaviour);
    Ok(())
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
