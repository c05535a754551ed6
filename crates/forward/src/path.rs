//! The path of a request: route, service, backend servers, answer.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use tokio::time::{Instant, sleep_until, timeout_at};
use world::unit::{as_ms, ms};
use world::{Error, Kind, RequestKind, Route};

use crate::answer;
use crate::attempt::Outgoing;
use crate::body::AnswerBody;
use crate::dialect::{Call, Dialect};
use crate::explain::Outcome;
use crate::large::{self, Reserved, Turn};
use crate::refusal::Refusal;
use crate::state::State;
use crate::tries::Tries;

/// Largest body that is taken while no limits are known, bytes.
const BODY_MAX_BYTES: u64 = 1 << 20;

/// Answers a request of a caller.
pub async fn answer<D: Dialect>(
    state: Arc<State<D>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let (head, body) = request.into_parts();
    let call = match state.dialect.call(&head) {
        Ok(call) => call,
        Err(error) => return refuse(&state, &error.into(), None, arrived_at),
    };
    let table = state.table.load_full();
    if !table.is_known() {
        let refusal = Refusal::new(Kind::NoConfig, "no configuration is known yet");
        return refuse(&state, &refusal, Some(&call), arrived_at);
    }
    let Some(route) = table.route(&call.host, head.uri.path()) else {
        let refusal = if state.is_confirmed(arrived_at) {
            Refusal::new(Kind::NoRoute, "no route takes this host and path")
        } else {
            let text = "no route takes this host and path, but the routes may be out of date";
            Refusal::new(Kind::NoConfig, text)
        };
        return refuse(&state, &refusal, Some(&call), arrived_at);
    };
    let deadline_ms = call.deadline_ms.unwrap_or(route.timeout_ms);
    let until = arrived_at + ms(deadline_ms.min(route.timeout_ms));
    let body_max = table.limits().map_or(BODY_MAX_BYTES, |l| l.body_bytes);
    let body = match whole(body, body_max, until).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&state, &refusal, Some(&call), arrived_at),
    };
    let reserved = match take_turn(&state, route, &call, until).await {
        Ok(reserved) => reserved,
        Err(refusal) => return refuse_on(&state, &refusal, &call, route, arrived_at),
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from);
    let outgoing = Outgoing {
        call,
        method: head.method,
        target: target.unwrap_or_default(),
        headers: answer::passed_on(head.headers),
        body,
        repeats: route.kind.is_repeatable(),
        reserved,
    };
    let mut tries = Tries::new(&state, route, &outgoing, until);
    match tries.run().await {
        Ok(answer) => {
            let outcome = Outcome::answered(answer.head.status.as_u16());
            state.explain(&outgoing.call, Some(route), &outcome, arrived_at);
            answer::pass_on(answer, state.is_leaving())
        }
        Err(refusal) => refuse_on(&state, &refusal, &outgoing.call, route, arrived_at),
    }
}

fn refuse<D: Dialect>(
    state: &State<D>,
    refusal: &Refusal,
    call: Option<&Call>,
    arrived_at: Instant,
) -> Response<AnswerBody> {
    if let Some(call) = call {
        state.explain(call, None, &Outcome::refused(&refusal.error), arrived_at);
    }
    let response = state
        .dialect
        .refuse(&refusal.error, refusal.retry_after_ms, call);
    answer::own(response, state.is_leaving())
}

fn refuse_on<D: Dialect>(
    state: &State<D>,
    refusal: &Refusal,
    call: &Call,
    route: &Route,
    arrived_at: Instant,
) -> Response<AnswerBody> {
    let outcome = Outcome::refused(&refusal.error);
    state.explain(call, Some(route), &outcome, arrived_at);
    let response = state
        .dialect
        .refuse(&refusal.error, refusal.retry_after_ms, Some(call));
    answer::own(response, state.is_leaving())
}

async fn whole(body: Incoming, max_bytes: u64, until: Instant) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let collected = timeout_at(until, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(Kind::TooLarge, "the body is over its bound"))
        }
        Ok(Err(error)) => Err(Refusal::new(Kind::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(Kind::SlowCaller, "the body came too slowly")),
    }
}

/// Waits until this machine's link has room for the answer, where that is large.
async fn take_turn<D: Dialect>(
    state: &State<D>,
    route: &Route,
    call: &Call,
    until: Instant,
) -> Result<Option<Reserved>, Refusal> {
    if route.kind != RequestKind::Download {
        return Ok(None);
    }
    let ahead = state.pace_in.ahead().max(state.pace_out.ahead());
    let wait = match large::turn(ahead, ms(route.target_ms)) {
        Turn::After(wait) => wait,
        Turn::Full(wait) => {
            let wait_ms = as_ms(wait);
            return Err(Refusal {
                error: Error::new(
                    Kind::Overloaded,
                    format!("this machine's link has room for large answers in {wait_ms} ms"),
                ),
                retry_after_ms: Some(u32::try_from(wait_ms).unwrap_or(u32::MAX)),
            });
        }
    };
    let reserved = state.large.reserve(&state.pace_in);
    if !wait.is_zero() {
        state.explain.waits(call, wait);
        sleep_until((Instant::now() + wait).min(until)).await;
    }
    Ok(Some(reserved))
}

/// Milliseconds since a request arrived.
#[must_use]
pub fn since_ms(arrived_at: Instant) -> u64 {
    as_ms(arrived_at.elapsed())
}
