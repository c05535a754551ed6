//! One operation at a backend server, over a connection that was opened just now.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use balancer::{Outcome, Work};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use idempotency::limits::ANSWER_MAX_BYTES;
use idempotency::{Dispatch, DispatchResult, ExecutionGrant, Storable, StoredAnswer};
use tokio::time::{Instant, timeout_at};
use world::{Contract, Error, Kind};

use super::LATE_ANSWER;
use crate::ask::Ask;
use crate::attempt::{Answered, Failure, Message, judge, open};
use crate::flow::Flow;
use crate::gate::Admitted;
use crate::place::find;
use crate::state::State;

/// Largest answer of an operation, bytes; it is held whole before it is passed on.
const ANSWER_HELD_MAX_BYTES: usize = 4 * 1024 * 1024;

/// An operation on its way to a backend server.
pub struct Exchange {
    pub(super) ask: Ask,
    pub(super) contract: Contract,
    state: Arc<State>,
    work: Work,
    admitted: Result<Admitted, Error>,
    request: String,
}

/// A whole answer of a backend server.
pub struct Whole {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

impl Storable for Whole {
    fn to_stored(&self) -> Option<StoredAnswer> {
        let mut answer = StoredAnswer::new(self.head.status.as_u16(), self.body.to_vec());
        for (name, value) in &self.head.headers {
            answer = answer.with_header(name.as_str(), value.as_bytes());
        }
        (answer.size_bytes() <= ANSWER_MAX_BYTES).then_some(answer)
    }
}

impl Exchange {
    /// An operation that a caller asked for with this request.
    ///
    /// One that its plan does not admit is looked up all the same: "not run"
    /// would not be true of an operation that an earlier request ran.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        ask: Ask,
        contract: Contract,
        work: Work,
        admitted: Result<Admitted, Error>,
        request: &str,
    ) -> Self {
        Self {
            ask,
            contract,
            state: Arc::clone(state),
            work,
            admitted,
            request: request.into(),
        }
    }

    fn message(&self, flow: &Flow, right: &ExecutionGrant) -> Result<Request<Full<Bytes>>, Error> {
        let message = Message {
            ask: &self.ask,
            id: &self.request,
            deadline: right.deadline,
            fence: Some(right.fence),
            fingerprint: self.work.fingerprint,
            fresh: false,
            reused: AtomicBool::new(false),
        };
        message.http(&self.state, &flow.place, &flow.peer)
    }

    async fn exchange(
        &self,
        mut flow: Flow,
        message: Request<Full<Bytes>>,
    ) -> DispatchResult<Whole> {
        let sent = flow.connection.sender.try_send_request(message).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = format!("{}: {}", flow.peer.name, error.error());
                if unsent {
                    flow.end(Outcome::ConnectFailed);
                    return DispatchResult::NotRun(Error::new(Kind::NoServer, text));
                }
                flow.end(Outcome::ConnectionLost);
                return DispatchResult::Unknown(Error::new(Kind::ServerFailed, text));
            }
        };
        let peer = flow.peer.clone();
        match judge(answer, &self.request, &peer, flow) {
            Ok(answered) => whole(answered).await,
            Err(failure) => failed(failure).await,
        }
    }
}

impl Dispatch for Exchange {
    type Answer = Whole;
    type Ready = Flow;

    async fn ready(&mut self, deadline: Instant) -> Result<Flow, Error> {
        if let Err(error) = &self.admitted {
            return Err(error.clone());
        }
        let place = find(&self.state, &self.contract, &self.work, deadline).await?;
        let peer = place.peer()?;
        let connection = timeout_at(deadline, open(&self.state, &place, &peer))
            .await
            .map_err(|_| Error::new(Kind::DeadlineWaiting, "no connection in time"))??;
        Ok(Flow::new(&self.state, place, peer, connection))
    }

    async fn send(&mut self, flow: Flow, right: &ExecutionGrant) -> DispatchResult<Whole> {
        let message = match self.message(&flow, right) {
            Ok(message) => message,
            Err(error) => return DispatchResult::NotRun(error),
        };
        if Instant::now() >= right.expires_at {
            let text = "the right to send ended before the first byte";
            return DispatchResult::NotRun(Error::new(Kind::DeadlineWaiting, text));
        }
        let name = flow.peer.name.clone();
        let late = right.deadline + LATE_ANSWER;
        let exchange = self.exchange(flow, message);
        timeout_at(late, exchange).await.unwrap_or_else(|_| {
            let text = format!("{name} was running");
            DispatchResult::Unknown(Error::new(Kind::DeadlineRunning, text))
        })
    }
}

/// A fault that the server answered is its answer; anything else is none.
async fn failed(failure: Failure) -> DispatchResult<Whole> {
    match failure.answer {
        Some(answered) => whole(*answered).await,
        None if failure.may_have_run => DispatchResult::Unknown(failure.error),
        None => DispatchResult::NotRun(failure.error),
    }
}

/// Holds the answer whole.
async fn whole(answered: Answered) -> DispatchResult<Whole> {
    let Answered {
        mut head,
        body,
        flow,
    } = answered;
    match Limited::new(body, ANSWER_HELD_MAX_BYTES).collect().await {
        Ok(body) => {
            flow.finish();
            head.headers.remove(CONTENT_LENGTH);
            let body = body.to_bytes();
            DispatchResult::Answer(Whole { head, body })
        }
        Err(error) => {
            let name = flow.peer.name.clone();
            flow.end(Outcome::Failed);
            let text = if error.is::<LengthLimitError>() {
                format!("{name}: answer over {ANSWER_HELD_MAX_BYTES} bytes")
            } else {
                format!("{name}: answer cut off: {error}")
            };
            DispatchResult::Unknown(Error::new(Kind::BadAnswer, text))
        }
    }
}
