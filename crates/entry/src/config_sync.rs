//! Fetches the configuration from the control replicas and from any peer that has a
//! newer version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use peers::Links;
use tokio::time::{Instant, interval, timeout};
use wire::Body;
use wire::body::ConfigRequest;

use crate::state::State;

/// Interval between checks whether a fetch is due.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between fetches from a control replica at the delegates: the members that are
/// chosen to communicate for their failure domain.
const DELEGATE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between fetches from a control replica at all other VMs.
const OTHERS_INTERVAL: Duration = Duration::from_secs(5);

/// Time in which no byte of a fetched configuration arrives after which the fetch has failed.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of each of the two steps of the initial fetch.
const INITIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date until the task is dropped.
///
/// Delegates fetch from the control replicas in rotation. Other VMs fetch rarely: every
/// message from a peer carries its configuration version, and a peer with a newer
/// version is asked for it at once.
pub async fn sync_config(state: Arc<State>, links: Arc<Links<State>>, replicas: Vec<SocketAddr>) {
    let mut ticks = interval(CHECK_INTERVAL);
    let mut fetched_at: Option<Instant> = None;
    let mut replica_index = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = state.newer_version.wait() => {}
        }
        if let Some(peer) = state.newer_version.take_source(state.version()) {
            let addr = state.site.members.lock().link_addr(&peer);
            if let Some(addr) = addr {
                fetch_config(&state, &links, addr).await;
            }
        }
        let is_delegate = state.site.members.lock().is_delegate();
        let every = if is_delegate {
            DELEGATE_INTERVAL
        } else {
            OTHERS_INTERVAL
        };
        let due = fetched_at.is_none_or(|at| at.elapsed() >= every);
        if due && !replicas.is_empty() {
            fetched_at = Some(Instant::now());
            replica_index += 1;
            fetch_config(&state, &links, replicas[replica_index % replicas.len()]).await;
        }
    }
}

/// Fetches from the control replicas and the seeds, then from every known entry VM, so
/// that a restarted VM starts serving with the highest version available.
pub async fn initial_sync(
    state: &State,
    links: &Links<State>,
    replicas: &[SocketAddr],
    seeds: &[SocketAddr],
) {
    let known = replicas.iter().chain(seeds);
    let first = join_all(known.map(|addr| fetch_config(state, links, *addr)));
    if timeout(INITIAL_TIMEOUT, first).await.is_err() {
        log::warn!(target: "entry", "initial configuration fetch timed out before all sources responded");
    }
    let entries = state.site.entries(Instant::now());
    let others = entries.iter().map(|vm| vm.link_addr);
    let others = others.filter(|addr| *addr != state.me.link_addr && !seeds.contains(addr));
    let rest = join_all(others.map(|addr| fetch_config(state, links, addr)));
    let _ = timeout(INITIAL_TIMEOUT, rest).await;
}

async fn fetch_config(state: &State, links: &Links<State>, source: SocketAddr) {
    let request = Body::ConfigRequest(ConfigRequest {
        have_version: state.version(),
        confirmed: false,
    });
    let Ok(Body::ConfigResponse(response)) = links
        .to(source)
        .call_while_receiving(request, FETCH_TIMEOUT)
        .await
    else {
        return;
    };
    if response.config_json.is_empty() {
        return;
    }
    match serde_json::from_slice(&response.config_json) {
        Ok(config) => {
            if state.apply_config(config) {
                log::info!(target: "entry", version = response.version; "configuration in force");
            }
        }
        Err(error) => log::error!(target: "entry", error:% = error; "configuration is not valid"),
    }
}
