//! Pulling of the configuration from control replicas and from any peer that is ahead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use peers::Links;
use tokio::time::{Instant, interval, timeout};
use wire::Body;
use wire::body::ConfigAsk;

use crate::state::State;

/// Time between two looks at whether a pull is due.
pub const PULL_EVERY: Duration = Duration::from_millis(250);

/// Time between two pulls from a control replica at a delegate of its domain.
const DELEGATE_EVERY: Duration = Duration::from_millis(500);

/// Time between two pulls from a control replica at any other VM.
const OTHERS_EVERY: Duration = Duration::from_secs(5);

/// Bound on one call of a pull.
pub const PULL_PATIENCE: Duration = Duration::from_secs(1);

/// Bound on the pulls before a VM serves.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date until the task is dropped.
///
/// Delegates ask the control replicas in turn; other VMs do so seldom, since
/// every message from a peer tells its version and whoever is ahead is asked.
pub async fn pull_config(state: Arc<State>, links: Arc<Links<State>>, sources: Vec<SocketAddr>) {
    let mut beat = interval(PULL_EVERY);
    let mut pulled_at: Option<Instant> = None;
    let mut turn = 0;
    loop {
        tokio::select! {
            _ = beat.tick() => {}
            () = state.ahead.wait() => {}
        }
        if let Some(peer) = state.ahead.take(state.version()) {
            let addr = state.site.members.lock().link_addr(&peer);
            if let Some(addr) = addr {
                ask_config(&state, &links, addr).await;
            }
        }
        let is_delegate = state.site.members.lock().is_delegate();
        let every = if is_delegate {
            DELEGATE_EVERY
        } else {
            OTHERS_EVERY
        };
        let due = pulled_at.is_none_or(|at| at.elapsed() >= every);
        if due && !sources.is_empty() {
            pulled_at = Some(Instant::now());
            turn += 1;
            ask_config(&state, &links, sources[turn % sources.len()]).await;
        }
    }
}

/// Asks the control replicas and the seeds, then every entry VM that has been
/// heard of, so that a restarted VM serves with the highest version there is.
pub async fn pull_first(
    state: &State,
    links: &Links<State>,
    sources: &[SocketAddr],
    seeds: &[SocketAddr],
) {
    let known = sources.iter().chain(seeds);
    let first = join_all(known.map(|addr| ask_config(state, links, *addr)));
    if timeout(FIRST_PATIENCE, first).await.is_err() {
        log::warn!(target: "entry", "not every known process could be asked for the configuration");
    }
    let entries = state.site.entries(Instant::now());
    let others = entries.iter().map(|vm| vm.link_addr);
    let others = others.filter(|addr| *addr != state.me.link_addr && !seeds.contains(addr));
    let rest = join_all(others.map(|addr| ask_config(state, links, addr)));
    let _ = timeout(FIRST_PATIENCE, rest).await;
}

async fn ask_config(state: &State, links: &Links<State>, source: SocketAddr) {
    let ask = Body::ConfigAsk(ConfigAsk {
        have_version: state.version(),
        confirmed: false,
    });
    let Ok(Body::ConfigGive(give)) = links.to(source).call(ask, PULL_PATIENCE).await else {
        return;
    };
    if give.config_json.is_empty() {
        return;
    }
    match serde_json::from_slice(&give.config_json) {
        Ok(config) => {
            if state.adopt(config) {
                log::info!(target: "entry", version = give.version; "configuration in force");
            }
        }
        Err(error) => log::error!(target: "entry", error:% = error; "configuration not readable"),
    }
}
