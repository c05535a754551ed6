//! Sends and receives the membership protocol's messages over links.

use std::sync::Arc;
use std::time::Duration;

use peers::members::encode::{decode, encode};
use peers::members::{Action, Message, Reply, Timing};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use wire::Body;
use wire::body::Members;
use world::Error;

use crate::state::State;

/// Time in which a VM's departure reaches every failure domain.
pub const LEAVE_PROPAGATION: Duration = Duration::from_secs(3);

/// Runs the membership protocol's periodic work until the task is dropped.
pub async fn run_membership(state: Arc<State>) {
    let mut ticks = interval(Timing::default().ping_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let load = state.load(now);
        let actions = {
            let mut members = state.site.members.lock();
            members.set_load(load);
            members.tick(now)
        };
        state
            .site
            .refresh_view(now, &state.me, &state.active_config().config);
        state.update_all_ownership(now);
        send_all(&state, actions);
    }
}

/// Announces that this VM leaves; lookups no longer return it.
pub fn leave(state: &Arc<State>) {
    let actions = state.site.members.lock().leave();
    let config = &state.active_config().config;
    state.site.refresh_view(Instant::now(), &state.me, config);
    send_all(state, actions);
}

/// Handles a message of another member and returns the reply.
///
/// # Errors
/// When the message can't be decoded.
pub async fn handle_message(state: &State, message: &Members) -> Result<Option<Body>, Error> {
    let message = decode(message.payload.clone())?;
    let reply = state.site.members.lock().handle(Instant::now(), message);
    refresh_if_changed(state);
    match reply {
        Reply::None => Ok(None),
        Reply::Now(message) => Ok(Some(body(&message))),
        Reply::Forward(action) => Ok(call_member(state, &action).await.map(|m| body(&m))),
    }
}

fn send_all(state: &Arc<State>, actions: Vec<Action>) {
    for action in actions {
        tokio::spawn(send(Arc::clone(state), action));
    }
}

async fn send(state: Arc<State>, action: Action) {
    let Some(number) = action.call else {
        notify_member(&state, &action).await;
        return;
    };
    let reply = call_member(&state, &action).await;
    let now = Instant::now();
    let more = {
        let mut members = state.site.members.lock();
        match reply {
            Some(message) => members.handle_reply(now, number, message),
            None => members.handle_timeout(now, number),
        }
    };
    refresh_if_changed(&state);
    send_all(&state, more);
}

/// Updates lookups and ownership if a message changed the membership.
fn refresh_if_changed(state: &State) {
    let config = &state.active_config().config;
    state
        .site
        .refresh_view_if_changed(Instant::now(), &state.me, config);
}

async fn notify_member(state: &State, action: &Action) {
    if let Some(links) = state.site.links() {
        let link = links.to(action.to);
        let _ = timeout(action.timeout, link.notify(body(&action.message))).await;
    }
}

async fn call_member(state: &State, action: &Action) -> Option<Message> {
    let link = state.site.links()?.to(action.to);
    let reply = link.call(body(&action.message), action.timeout).await;
    match reply {
        Ok(Body::Members(members)) => decode(members.payload).ok(),
        _ => None,
    }
}

fn body(message: &Message) -> Body {
    Body::Members(Members {
        payload: encode(message),
    })
}
