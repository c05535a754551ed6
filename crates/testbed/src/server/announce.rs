//! How a stand-in backend server announces itself and renews its lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::timeout;
use waxwingctl::http;
use world::unit::ms;

use super::state::State;

/// Renewals in the time of one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Wait before the next try when no desk has granted a lease.
const RETRY_MS: u64 = 200;

/// Longest wait for a desk's answer.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

const SECRET: &str = "x-waxwing-secret";

/// What a desk answers; fields that the stand-in has no use for are left out.
#[derive(Debug, Deserialize)]
struct Lease {
    lease_ms: u64,
    desks: Vec<SocketAddr>,
}

/// Announces the server to every desk it knows, for as long as it lives.
pub async fn renew(state: Arc<State>) {
    loop {
        let wait = if state.behaviour().mute {
            ms(RETRY_MS)
        } else {
            round(&state).await
        };
        let _ = timeout(wait, state.announce.notified()).await;
    }
}

/// Announces once to every desk; returns the wait until the next time.
async fn round(state: &Arc<State>) -> Duration {
    let mut calls = JoinSet::new();
    for desk in state.desks() {
        let state = Arc::clone(state);
        calls.spawn(async move { (desk, announce(&state, desk).await) });
    }
    let mut shortest = None;
    let mut desks = Vec::new();
    while let Some(Ok((desk, answer))) = calls.join_next().await {
        match answer {
            Ok(lease) => {
                state.count(|s| s.announced += 1);
                let renewal_ms = lease.lease_ms / RENEWALS_PER_LEASE;
                shortest = Some(shortest.unwrap_or(renewal_ms).min(renewal_ms));
                desks.extend(lease.desks);
            }
            Err(e) => {
                state.count(|s| s.unannounced += 1);
                log::info!(target: "rig::server::announce", "desk {desk}: {e:#}");
            }
        }
    }
    if !desks.is_empty() {
        state.learn_desks(desks);
    }
    ms(shortest.unwrap_or(RETRY_MS).max(1))
}

async fn announce(state: &State, desk: SocketAddr) -> anyhow::Result<Lease> {
    let proof = state.options.secret.proof("announce");
    let proof = serde_json::to_value(proof)?;
    let body = serde_json::to_vec(&state.announcement())?;
    let request = Request::post("/v1/announce")
        .header("content-type", "application/json")
        .header(SECRET, proof.as_str().unwrap_or_default())
        .body(Full::new(Bytes::from(body)))?;
    let response = http::send(desk, request, ANSWER_WAIT).await?;
    let text = String::from_utf8_lossy(response.body());
    ensure!(
        response.status().is_success(),
        "refused with {}: {text}",
        response.status()
    );
    serde_json::from_str(&text).with_context(|| format!("could not read lease {text:?}"))
}
