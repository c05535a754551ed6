//! The sends of one request: second sends, backups, and when to give up.

use std::time::Duration;

use affinity::AttemptEnd;
use steer::hash::{self, Purpose};
use tokio::time::{Instant, timeout_at};
use world::{Error, Kind, RequestKind, Route, ServerName, ServiceName};

use crate::attempt::{self, Answer, Held, LEFT_MIN, Outgoing, Sent};
use crate::dialect::{Call, Dialect};
use crate::refusal::Refusal;
use crate::state::State;

/// Sends that ended before anything was sent are not counted as attempts, but
/// there are no more of them than this for each attempt.
const UNSENT_PER_ATTEMPT: usize = 2;

/// Part of its time after which a request whose server is silent goes to a
/// second one: before, the server may only be slow.
const BACKUP_AFTER: u32 = 2;

/// The sends of one request.
pub(crate) struct Tries<'a, D: Dialect> {
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
    lost: Option<AttemptEnd>,
}

impl<'a, D: Dialect> Tries<'a, D> {
    pub fn new(
        state: &'a State<D>,
        route: &'a Route,
        outgoing: &'a Outgoing,
        until: Instant,
    ) -> Self {
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

    pub async fn run(&mut self) -> Result<Answer, Refusal> {
        self.state.spread.lock().record_first_attempt(self.service);
        loop {
            let held = self.pick()?;
            let (sent, held) = self.send(held).await;
            let end = self.settle(held, &sent);
            let answer = match sent {
                Sent::Answered(answer) if end == AttemptEnd::Answered => return Ok(*answer),
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
    fn settle(&mut self, held: Held<'a, D>, sent: &Sent) -> AttemptEnd {
        let end = match sent {
            Sent::Answered(answer) if answer.head.status.is_server_error() => AttemptEnd::Failed,
            Sent::Answered(_) => AttemptEnd::Answered,
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
            if end != AttemptEnd::Dropped {
                self.tried.push(server);
            }
        }
        end
    }

    /// Whether another send is allowed, and pays for it.
    fn may_go_on(&self, end: AttemptEnd) -> bool {
        let unsent_max = UNSENT_PER_ATTEMPT * self.route.attempts as usize;
        if self.left() < LEFT_MIN || self.unsent > unsent_max {
            return false;
        }
        if !reached(end) {
            return true;
        }
        self.sends < self.route.attempts && self.state.spread.lock().try_spend_retry(self.service)
    }

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    fn pick(&self) -> Result<Held<'a, D>, Refusal> {
        if self.left() < LEFT_MIN {
            return Err(self.failure());
        }
        let request = affinity::Request {
            service: self.service,
            object: self.object(),
            large: self.route.kind == RequestKind::Download,
            tried: &self.tried,
            homes: &self.route.homes,
            time_left: self.left(),
        };
        let picked = self.state.spread.lock().choose(&request, Instant::now());
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
        if !self
            .state
            .spread
            .lock()
            .is_unresponsive(&held.pick, begun_at)
        {
            return None;
        }
        self.tried.push(held.pick.server.clone());
        let backup = self.pick().ok();
        self.tried.pop();
        let backup = backup?;
        if !self.state.spread.lock().try_spend_retry(self.service) {
            return None;
        }
        self.state.stats.again(AttemptEnd::Silent);
        Some(backup)
    }

    /// The error for the caller after the last send.
    fn failure(&self) -> Refusal {
        let sends = self.sends;
        match self.lost {
            Some(AttemptEnd::Silent) => Refusal::new(
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
fn not_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::NotRun | AttemptEnd::Replaced) || !reached(end)
}

/// Whether a send that ended so has reached a server.
fn reached(end: AttemptEnd) -> bool {
    !matches!(
        end,
        AttemptEnd::Refused | AttemptEnd::Unreached | AttemptEnd::Dropped
    )
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
