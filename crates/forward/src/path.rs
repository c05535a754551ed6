//! The path of a request: route, service, backend servers, answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use spread::End;
use steer::hash::{self, Purpose};
use tokio::time::{Instant, timeout_at};
use world::unit::{as_ms, ms};
use world::{Error, Kind, Route, ServerName, ServiceName};

use crate::answer;
use crate::attempt::{self, Answer, Held, LEFT_MIN, Outgoing, Sent};
use crate::body::AnswerBody;
use crate::dialect::{Call, Dialect};
use crate::explain::Outcome;
use crate::state::State;

/// Largest body that is taken while no limits are known, bytes.
const BODY_MAX_BYTES: u64 = 1 << 20;

/// Sends that ended before anything was sent are not counted as attempts, but
/// there are no more of them than this for each attempt.
const UNSENT_PER_ATTEMPT: usize = 2;

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
        let refusal = Refusal::new(Kind::NoRoute, "no route takes this host and path");
        return refuse(&state, &refusal, Some(&call), arrived_at);
    };
    let deadline_ms = call.deadline_ms.unwrap_or(route.timeout_ms);
    let until = arrived_at + ms(deadline_ms.min(route.timeout_ms));
    let body_max = table.limits().map_or(BODY_MAX_BYTES, |l| l.body_bytes);
    let body = match whole(body, body_max, until).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&state, &refusal, Some(&call), arrived_at),
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from);
    let outgoing = Outgoing {
        call,
        method: head.method,
        target: target.unwrap_or_default(),
        headers: answer::passed_on(head.headers),
        body,
        repeats: route.kind.repeats(),
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
            let pick = held.pick.clone();
            let sent = self.send(&pick).await;
            let (end, last) = match sent {
                Sent::Answered(answer) => {
                    let failed = answer.head.status.is_server_error();
                    held.end(if failed { End::Failed } else { End::Answered });
                    self.sends += 1;
                    self.tried.push(pick.server.clone());
                    if !failed || !self.may_send_again() {
                        return Ok(*answer);
                    }
                    (End::Failed, Some(answer))
                }
                Sent::NotRun(end) => {
                    held.end(end);
                    self.count_not_run(end, &pick.server);
                    (end, None)
                }
                Sent::Lost(end) => {
                    held.end(end);
                    self.sends += 1;
                    self.tried.push(pick.server.clone());
                    self.lost = Some(end);
                    if !self.outgoing.repeats {
                        return Err(self.failure());
                    }
                    (end, None)
                }
            };
            if self.may_go_on(end) {
                self.state.stats.again(end);
                continue;
            }
            return match last {
                Some(answer) => Ok(*answer),
                None => Err(self.failure()),
            };
        }
    }

    fn count_not_run(&mut self, end: End, server: &ServerName) {
        match end {
            End::NotRun | End::Replaced => {
                self.sends += 1;
                self.tried.push(server.clone());
            }
            End::Refused | End::Unreached => {
                self.unsent += 1;
                self.tried.push(server.clone());
            }
            _ => self.unsent += 1,
        }
    }

    /// Whether another send is allowed, and pays for it.
    fn may_go_on(&self, end: End) -> bool {
        let unsent_max = UNSENT_PER_ATTEMPT * self.route.attempts as usize;
        if self.left() < LEFT_MIN || self.unsent > unsent_max {
            return false;
        }
        let reached = matches!(
            end,
            End::NotRun | End::Replaced | End::Failed | End::Broken | End::Silent
        );
        if !reached {
            return true;
        }
        self.sends < self.route.attempts && self.state.spread.lock().spend(self.service)
    }

    /// Whether an answer that failed may be asked for elsewhere.
    fn may_send_again(&self) -> bool {
        self.outgoing.repeats && self.sends < self.route.attempts
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

    /// Sends; a server that is silent towards everybody is given up early,
    /// while there is time for another one.
    async fn send(&self, pick: &spread::Pick) -> Sent {
        let until = self.patience(pick);
        let begun_at = Instant::now();
        let mut sending =
            std::pin::pin!(attempt::send(self.state, pick, self.outgoing, self.until));
        if until < self.until {
            if let Ok(sent) = timeout_at(until, &mut sending).await {
                return sent;
            }
            if self.state.spread.lock().is_silent(pick, begun_at) {
                return Sent::Lost(End::Silent);
            }
        }
        sending.await
    }

    fn patience(&self, _pick: &spread::Pick) -> Instant {
        let again = self.outgoing.repeats && self.sends + 1 < self.route.attempts;
        if !again {
            return self.until;
        }
        Instant::now() + self.left() / 2
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
