//! HTTP interface through which tests observe and change a stand-in backend server.
//!
//! It serves `GET /rig/runs`, `GET /rig/stats`, and `GET` and `POST`
//! `/rig/behaviour`. A posted behaviour names only the settings to change.

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

/// Maximum size of a posted behaviour.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Accepts connections until the server crashes.
pub async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(handle_connection(stream, Arc::clone(&state)));
                }
            }
            Some(_) = connections.join_next() => {}
            () = state.crashed() => return,
        }
    }
}

async fn handle_connection(stream: TcpStream, state: Arc<State>) {
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handle_request(&state, request).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/rig/runs") => json(&state.runs()),
        (&Method::GET, "/rig/stats") => json(&state.stats()),
        (&Method::GET, "/rig/behaviour") => json(&state.behaviour()),
        (&Method::POST, "/rig/behaviour") => match update_behaviour(state, request).await {
            Ok(()) => json(&state.behaviour()),
            Err(e) => text(StatusCode::BAD_REQUEST, format!("{e:#}")),
        },
        _ => text(StatusCode::NOT_FOUND, format!("no path {path}")),
    }
}

async fn update_behaviour(state: &State, request: Request<Incoming>) -> anyhow::Result<()> {
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let body = body.collect().await;
    let body = body.map_err(|e| anyhow::anyhow!("could not read body: {e}"))?;
    let changes: Value = serde_json::from_slice(&body.to_bytes())?;
    let changes = changes.as_object().context("behaviour is no object")?;
    let mut merged = serde_json::to_value(state.behaviour())?;
    for (setting, value) in changes {
        merged[setting] = value.clone();
    }
    let behaviour: Behaviour = serde_json::from_value(merged)?;
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
