//! Carries the membership's messages over links.

use std::sync::Arc;
use std::time::Duration;

use peers::members::encode::{decode, encode};
use peers::members::{Action, Message, Reply, Timing};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use wire::Body;
use wire::body::Members;
use world::Error;

use crate::state::State;

/// Time that word of a departure takes to every domain.
pub const LEAVE_SPREAD: Duration = Duration::from_secs(3);

/// Ticks the membership until the task is dropped.
pub async fn keep_members(state: Arc<State>) {
    let mut beat = interval(Timing::default().ping_interval);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        let now = Instant::now();
        let load = state.load(now);
        let actions = {
            let mut members = state.site.members.lock();
            members.set_load(load);
            members.tick(now)
        };
        state.site.look(now, &state.me, &state.in_force().config);
        state.own_all(now);
        send_all(&state, actions);
    }
}

/// Says that this VM leaves; look-ups no longer name it.
pub fn leave(state: &Arc<State>) {
    let actions = state.site.members.lock().leave();
    let config = &state.in_force().config;
    state.site.look(Instant::now(), &state.me, config);
    send_all(state, actions);
}

/// Answers a message of another member.
///
/// # Errors
/// When it can't be read.
pub async fn answer(state: &State, message: &Members) -> Result<Option<Body>, Error> {
    let message = decode(message.payload.clone())?;
    let reply = state.site.members.lock().handle(Instant::now(), message);
    noticed(state);
    match reply {
        Reply::None => Ok(None),
        Reply::Now(message) => Ok(Some(body(&message))),
        Reply::Forward(action) => Ok(call(state, &action).await.map(|m| body(&m))),
    }
}

fn send_all(state: &Arc<State>, actions: Vec<Action>) {
    for action in actions {
        tokio::spawn(send(Arc::clone(state), action));
    }
}

async fn send(state: Arc<State>, action: Action) {
    let Some(number) = action.call else {
        tell(&state, &action).await;
        return;
    };
    let reply = call(&state, &action).await;
    let now = Instant::now();
    let more = {
        let mut members = state.site.members.lock();
        match reply {
            Some(message) => members.handle_reply(now, number, message),
            None => members.handle_timeout(now, number),
        }
    };
    noticed(&state);
    send_all(&state, more);
}

fn noticed(state: &State) {
    let config = &state.in_force().config;
    state
        .site
        .look_if_changed(Instant::now(), &state.me, config);
}

async fn tell(state: &State, action: &Action) {
    if let Some(links) = state.site.links() {
        let link = links.to(action.to);
        let _ = timeout(action.timeout, link.notify(body(&action.message))).await;
    }
}

async fn call(state: &State, action: &Action) -> Option<Message> {
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
