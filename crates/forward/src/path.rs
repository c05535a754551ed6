//! The path of a request: route, service, backend servers, answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use spread::End;
use steer::hash::{self, Purpose};
use tokio::time::{Instant, sleep_until, timeout_at};
use world::unit::{as_ms, ms};
use world::{Error, Kind, RequestKind, Route, ServerName, ServiceName};

use crate::answer;
use crate::attempt::{self, Answer, Held, LEFT_MIN, Outgoing, Sent};
use crate::body::AnswerBody;
use crate::dialect::{Call, Dialect};
use crate::explain::Outcome;
use crate::large::{self, Reserved, Turn};
use crate::state::State;

/// Largest body that is taken while no limits are known, bytes.
const BODY_MAX_BYTES: u64 = 1 << 20;

/// Sends that ended before anything was sent are not counted as attempts, but
/// there are no more of them than this for each attempt.
const UNSENT_PER_ATTEMPT: usize = 2;

/// Part of its time after which a request whose server is silent goes to a
/// second one: before, the server may only be slow.
const BACKUP_AFTER: u32 = 2;

/// An error for the caller, with when to come back.
struct Refusal {
    error: Error,
    retry_after_ms: Option<u32>,
}

impl Refusal {
    fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            error: Error::new(kind, detail),
            retry_after_ms: kind.answer().retry_after_ms,
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let retry_after_ms = error.kind.answer().retry_after_ms;
        Self {
            error,
            retry_after_ms,
        }
    }
}

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
        repeats: route.kind.repeats(),
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

/// The sends of one request.
struct Tries<'a, D: Dialect> {
    state: &'a State<D>,
    route: &'a Route,
    service: &'a ServiceName,
    outgoing: &'a Outgoing,
    until: Instant,
    tried: Vec<ServerName>,
    /// Sends that reached a server.
    sends: u32,
    unsent: usize,
    /// Whether a server may have run it.
    lost: Option<End>,
}

impl<'a, D: Dialect> Tries<'a, D> {
    fn new(state: &'a State<D>, route: &'a Route, outgoing: &'a Outgoing, until: Instant) -> Self {
        Self {
            state,
            route,
            service: part(route, &outgoing.call),
            outgoing,
            until,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            lost: None,
        }
    }

    async fn run(&mut self) -> Result<Answer, Refusal> {
        self.state.spread.lock().earn(self.service);
        loop {
            let held = self.pick()?;
            let (sent, held) = self.send(held).await;
            let end = self.settle(held, &sent);
            let answer = match sent {
                Sent::Answered(answer) if end == End::Answered => return Ok(*answer),
                Sent::Answered(answer) => Some(answer),
                Sent::NotRun(_) | Sent::Lost(_) => None,
            };
            let may_repeat = self.outgoing.repeats || not_run(end);
            if may_repeat && self.may_go_on(end) {
                self.state.stats.again(end);
                continue;
            }
            return match answer {
                Some(answer) => Ok(*answer),
                None => Err(self.failure()),
            };
        }
    }

    /// Gives the slot of a send back and counts how it ended.
    fn settle(&mut self, held: Held<'a, D>, sent: &Sent) -> End {
        let end = match sent {
            Sent::Answered(answer) if answer.head.status.is_server_error() => End::Failed,
            Sent::Answered(_) => End::Answered,
            Sent::NotRun(end) | Sent::Lost(end) => *end,
        };
        let server = held.pick.server.clone();
        held.end(end, &self.outgoing.call);
        if let Sent::Lost(end) = sent {
            self.lost = Some(*end);
        }
        if reached(end) {
            self.sends += 1;
            self.tried.push(server);
        } else {
            self.unsent += 1;
            // A send that was dropped says nothing about the server.
            if end != End::Dropped {
                self.tried.push(server);
            }
        }
        end
    }

    /// Whether another send is allowed, and pays for it.
    fn may_go_on(&self, end: End) -> bool {
        let unsent_max = UNSENT_PER_ATTEMPT * self.route.attempts as usize;
        if self.left() < LEFT_MIN || self.unsent > unsent_max {
            return false;
        }
        if !reached(end) {
            return true;
        }
        self.sends < self.route.attempts && self.state.spread.lock().spend(self.service)
    }

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    fn pick(&self) -> Result<Held<'a, D>, Refusal> {
        if self.left() < LEFT_MIN {
            return Err(self.failure());
        }
        let request = spread::Request {
            service: self.service,
            object: self.object(),
            large: self.route.kind == RequestKind::Download,
            tried: &self.tried,
            homes: &self.route.homes,
            left: self.left(),
        };
        let picked = self.state.spread.lock().pick(&request, Instant::now());
        match picked {
            Ok(pick) => Ok(Held::new(self.state, pick)),
            Err(_) if self.lost.is_some() => Err(self.failure()),
            Err(full) => {
                let detail = format!("none of {} backend servers has room", full.candidates);
                Err(Refusal {
                    error: Error::new(Kind::Overloaded, detail),
                    retry_after_ms: Some(full.retry_after_ms),
                })
            }
        }
    }

    /// Objects of different routes are different ones, whatever their keys.
    fn object(&self) -> Option<u64> {
        let object = self.outgoing.call.object.filter(|_| self.route.sticky)?;
        Some(object ^ hash::name(self.route.name.as_str()))
    }

    /// Sends. While a server is silent towards everybody, a request that may
    /// run twice goes to a second one as well, and the first good answer counts.
    async fn send(&mut self, held: Held<'a, D>) -> (Sent, Held<'a, D>) {
        let (state, outgoing, until) = (self.state, self.outgoing, self.until);
        let begun_at = Instant::now();
        let pick = held.pick.clone();
        let mut first = std::pin::pin!(attempt::send(state, &pick, outgoing, until));
        let patience = begun_at + self.left() / BACKUP_AFTER;
        if self.outgoing.repeats && self.sends + 1 < self.route.attempts {
            if let Ok(sent) = timeout_at(patience, &mut first).await {
                return (sent, held);
            }
            if let Some(backup) = self.back_up(&held, begun_at) {
                let pick = backup.pick.clone();
                let mut second = std::pin::pin!(attempt::send(state, &pick, outgoing, until));
                return tokio::select! {
                    sent = &mut first => match sent {
                        Sent::Answered(_) => (sent, held),
                        Sent::NotRun(_) | Sent::Lost(_) => {
                            self.settle(held, &sent);
                            (second.await, backup)
                        }
                    },
                    sent = &mut second => match sent {
                        Sent::Answered(_) => (sent, backup),
                        Sent::NotRun(_) | Sent::Lost(_) => {
                            self.settle(backup, &sent);
                            (first.await, held)
                        }
                    },
                };
            }
        }
        (first.await, held)
    }

    /// A second server for a request whose first one is silent.
    fn back_up(&mut self, held: &Held<'a, D>, begun_at: Instant) -> Option<Held<'a, D>> {
        if !self.state.spread.lock().is_silent(&held.pick, begun_at) {
            return None;
        }
        self.tried.push(held.pick.server.clone());
        let backup = self.pick().ok();
        self.tried.pop();
        let backup = backup?;
        if !self.state.spread.lock().spend(self.service) {
            return None;
        }
        self.state.stats.again(End::Silent);
        Some(backup)
    }

    /// The error for the caller after the last send.
    fn failure(&self) -> Refusal {
        let sends = self.sends;
        match self.lost {
            Some(End::Silent) => Refusal::new(
                Kind::DeadlineRunning,
                format!("no answer to {sends} sends in time"),
            ),
            Some(_) => Refusal::new(
                Kind::ServerFailed,
                format!("the last of {sends} sends broke"),
            ),
            None if self.left() < LEFT_MIN => {
                Refusal::new(Kind::DeadlineWaiting, "no backend server took it in time")
            }
            None => {
                let detail = format!("{sends} backend servers did not take it");
                Refusal::new(Kind::ServerShed, detail)
            }
        }
    }
}

/// Whether a request whose send ended so has not run and won't.
fn not_run(end: End) -> bool {
    matches!(end, End::NotRun | End::Replaced) || !reached(end)
}

/// Whether a send that ended so has reached a server.
fn reached(end: End) -> bool {
    !matches!(end, End::Refused | End::Unreached | End::Dropped)
}

/// The service of the route that gets a request, by weight.
fn part<'a>(route: &'a Route, call: &Call) -> &'a ServiceName {
    let total: u32 = route.parts.iter().map(|part| part.weight).sum();
    let mut point = hash::unit(hash::name(&call.id), Purpose::Part) * f64::from(total);
    for part in &route.parts {
        if point < f64::from(part.weight) {
            return &part.service;
        }
        point -= f64::from(part.weight);
    }
    &route.parts[0].service
}

/// Milliseconds since a request arrived.
#[must_use]
pub fn since_ms(arrived_at: Instant) -> u64 {
    as_ms(arrived_at.elapsed())
}
