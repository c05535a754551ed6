//! Pulling of the configuration and of the table of entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peers::Links;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::Body;
use wire::body::ConfigAsk;

use crate::state::State;

/// Time between two pulls.
pub const PULL_EVERY: Duration = Duration::from_millis(250);

/// Bound on one call of a pull.
pub const PULL_PATIENCE: Duration = Duration::from_secs(1);

/// Pulls the configuration from `sources` and from one other entry VM at a
/// time until the task is dropped.
pub async fn pull_config(state: Arc<State>, links: Arc<Links<State>>, sources: Vec<SocketAddr>) {
    let mut beat = interval(PULL_EVERY);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for turn in 0.. {
        beat.tick().await;
        for source in &sources {
            ask_config(&state, &links, *source).await;
        }
        if let Some(peer) = peer(&state, turn) {
            ask_config(&state, &links, peer).await;
        }
    }
}

/// Another live entry VM, each in its turn.
fn peer(state: &State, turn: usize) -> Option<SocketAddr> {
    let mut live = state.members.lock().live(Instant::now());
    live.retain(|vm| vm.name != state.me.name);
    let at = turn.checked_rem(live.len())?;
    Some(live[at].link_addr)
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

/// Tells the entry VMs at `seeds` about this one until the task is dropped.
pub async fn tell_members(state: Arc<State>, links: Arc<Links<State>>, seeds: Vec<SocketAddr>) {
    let mut beat = interval(PULL_EVERY);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        for seed in &seeds {
            let link = links.to(*seed);
            if let Ok(body) = link.call(state.members_body(), PULL_PATIENCE).await {
                state.members_answer(&body);
            }
        }
    }
}
