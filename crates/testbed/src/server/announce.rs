//! Announces a stand-in backend server to the entry VMs and renews its lease.

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

/// Announcements sent within the duration of one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Interval between announcements while no entry VM has granted a lease.
const RETRY_INTERVAL_MS: u64 = 200;

/// Timeout of one announcement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

const SECRET_HEADER: &str = "x-waxwing-secret";

/// Response to an announcement, reduced to the fields that the stand-in uses.
#[derive(Debug, Deserialize)]
struct Lease {
    lease_ms: u64,
    /// API addresses of the entry VMs to announce to from now on.
    #[serde(rename = "desks")]
    api_addrs: Vec<SocketAddr>,
}

/// Announces the server to every known entry VM, again before each lease expires, except
/// while the behaviour is `mute`.
///
/// Never returns.
pub async fn renew(state: Arc<State>) {
    loop {
        let wait = if state.behaviour().mute {
            ms(RETRY_INTERVAL_MS)
        } else {
            announce_to_all(&state).await
        };
        let _ = timeout(wait, state.announce.notified()).await;
    }
}

/// Announces once to every known entry VM; returns the wait before the next
/// announcement.
async fn announce_to_all(state: &Arc<State>) -> Duration {
    let mut calls = JoinSet::new();
    for api_addr in state.api_addrs() {
        let state = Arc::clone(state);
        calls.spawn(async move { (api_addr, announce(&state, api_addr).await) });
    }
    let mut shortest = None;
    let mut api_addrs = Vec::new();
    while let Some(Ok((api_addr, result))) = calls.join_next().await {
        match result {
            Ok(lease) => {
                state.count(|s| s.announced += 1);
                let renewal_ms = lease.lease_ms / RENEWALS_PER_LEASE;
                shortest = Some(shortest.unwrap_or(renewal_ms).min(renewal_ms));
                api_addrs.extend(lease.api_addrs);
            }
            Err(e) => {
                state.count(|s| s.unannounced += 1);
                log::info!(target: "rig::server::announce", "could not announce to {api_addr}: {e:#}");
            }
        }
    }
    if !api_addrs.is_empty() {
        state.set_api_addrs(api_addrs);
    }
    ms(shortest.unwrap_or(RETRY_INTERVAL_MS).max(1))
}

async fn announce(state: &State, api_addr: SocketAddr) -> anyhow::Result<Lease> {
    let proof = state.options.secret.proof("announce");
    let proof = serde_json::to_value(proof)?;
    let body = serde_json::to_vec(&state.announcement())?;
    let request = Request::post("/v1/announce")
        .header("content-type", "application/json")
        .header(SECRET_HEADER, proof.as_str().unwrap_or_default())
        .body(Full::new(Bytes::from(body)))?;
    let response = http::send(api_addr, request, RESPONSE_TIMEOUT).await?;
    let text = String::from_utf8_lossy(response.body());
    ensure!(
        response.status().is_success(),
        "refused with {}: {text}",
        response.status()
    );
    serde_json::from_str(&text).with_context(|| format!("could not read lease {text:?}"))
}
