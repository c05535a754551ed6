//! One operation at a backend server, over a connection of its own.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use once::limits::ANSWER_MAX_BYTES;
use once::{Dispatch, Keep, Right, Sent, StoredAnswer};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use world::{BackendServer, Error, Kind, Ran};

use super::LATE_ANSWER;
use crate::answer::{RAN_HEADER, REQUEST_HEADER};
use crate::ask::Ask;
use crate::back;
use crate::body::Slot;
use crate::state::State;

/// Header with the number that grows with each right to run an operation.
const FENCE_HEADER: &str = "x-waxwing-fence";

/// Largest answer of an operation, bytes; it is held whole before it is passed on.
const ANSWER_HELD_MAX_BYTES: usize = 4 * 1024 * 1024;

/// An operation on its way to a backend server.
pub struct Exchange {
    state: Arc<State>,
    ask: Ask,
    request: String,
}

/// A slot and a connection that was opened just now.
pub struct Ready {
    server: Arc<BackendServer>,
    sender: SendRequest<Full<Bytes>>,
    _slot: Slot,
}

/// A whole answer of a backend server.
pub struct Whole {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

impl Keep for Whole {
    fn keep(&self) -> Option<StoredAnswer> {
        let mut answer = StoredAnswer::new(self.head.status.as_u16(), self.body.to_vec());
        for (name, value) in &self.head.headers {
            answer = answer.with_header(name.as_str(), value.as_bytes());
        }
        (answer.size_bytes() <= ANSWER_MAX_BYTES).then_some(answer)
    }
}

impl Exchange {
    /// An operation that a caller asked for with this request.
    pub fn new(state: Arc<State>, ask: Ask, request: &str) -> Self {
        Self {
            state,
            ask,
            request: request.into(),
        }
    }

    fn message(
        &self,
        server: &BackendServer,
        right: &Right,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut message = back::request(server, &self.ask, &self.request, right.deadline)?;
        message
            .headers_mut()
            .insert(FENCE_HEADER, right.fence.into());
        Ok(message)
    }

    /// Checks that an answer belongs to the request and holds it whole.
    async fn whole(&self, server: &BackendServer, answer: Response<Incoming>) -> Sent<Whole> {
        let (mut head, body) = answer.into_parts();
        let id = head.headers.remove(REQUEST_HEADER);
        if id.as_ref().map(HeaderValue::as_bytes) != Some(self.request.as_bytes()) {
            let text = format!("{} answered another request", server.name);
            return Sent::Unknown(Error::new(Kind::BadAnswer, text));
        }
        let ran = head.headers.get(RAN_HEADER).map(HeaderValue::as_bytes);
        if !head.status.is_success() && ran == Some(Ran::NotRun.as_str().as_bytes()) {
            return Sent::NotRun(shed(server, head.status));
        }
        let body = match Limited::new(body, ANSWER_HELD_MAX_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                let text = format!("{}: answer over {ANSWER_HELD_MAX_BYTES} bytes", server.name);
                return Sent::Unknown(Error::new(Kind::BadAnswer, text));
            }
            Err(error) => {
                let text = format!("{}: answer cut off: {error}", server.name);
                return Sent::Unknown(Error::new(Kind::BadAnswer, text));
            }
        };
        back::drop_hop_headers(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        Sent::Answer(Whole { head, body })
    }
}

impl Dispatch for Exchange {
    type Answer = Whole;
    type Ready = Ready;

    async fn ready(&mut self, deadline: Instant) -> Result<Ready, Error> {
        let in_force = self.state.in_force();
        let server = self
            .state
            .leases
            .lock()
            .take(Instant::now(), &self.ask.service, |s| {
                !in_force.config.drains_server(&s.name, &s.place)
            })?;
        let slot = Slot::new(Arc::clone(&self.state), server.name.clone());
        let sender = connect(&server, deadline).await?;
        Ok(Ready {
            server,
            sender,
            _slot: slot,
        })
    }

    async fn send(&mut self, mut ready: Ready, right: &Right) -> Sent<Whole> {
        let server = Arc::clone(&ready.server);
        let message = match self.message(&server, right) {
            Ok(message) => message,
            Err(error) => return Sent::NotRun(error),
        };
        if Instant::now() >= right.ends {
            let text = "the right to send ended before the first byte";
            return Sent::NotRun(Error::new(Kind::DeadlineWaiting, text));
        }
        let late = right.deadline + LATE_ANSWER;
        let exchange = async {
            match ready.sender.try_send_request(message).await {
                Ok(answer) => self.whole(&server, answer).await,
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    let text = format!("{}: {}", server.name, error.error());
                    if unsent {
                        return Sent::NotRun(Error::new(Kind::NoServer, text));
                    }
                    Sent::Unknown(Error::new(Kind::ServerFailed, text))
                }
            }
        };
        timeout_at(late, exchange).await.unwrap_or_else(|_| {
            let text = format!("{} was running", server.name);
            Sent::Unknown(Error::new(Kind::DeadlineRunning, text))
        })
    }
}

async fn connect(
    server: &BackendServer,
    deadline: Instant,
) -> Result<SendRequest<Full<Bytes>>, Error> {
    let failed = |e: String| Error::new(Kind::NoServer, format!("{}: {e}", server.name));
    let stream = timeout_at(deadline, TcpStream::connect(server.addr))
        .await
        .map_err(|_| Error::new(Kind::DeadlineWaiting, "no connection in time"))?
        .map_err(|error| failed(error.to_string()))?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::spawn(connection);
    sender
        .ready()
        .await
        .map_err(|error| failed(error.to_string()))?;
    Ok(sender)
}

fn shed(server: &BackendServer, status: StatusCode) -> Error {
    let text = format!("{} refused with {status} before it ran", server.name);
    Error::new(Kind::ServerShed, text)
}
