//! One connection to a backend server.
//!
//! The connection has no task of its own: whoever uses it drives it. So a
//! caller that leaves takes the connection down with it at once, and bytes
//! that come while it is idle are found before the next use.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time after which sent bytes that nobody acknowledges break a connection:
/// several round trips between regions, and less than callers wait.
const UNACKED_MAX: Duration = Duration::from_secs(2);

/// Why a request got no answer over a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The server refused the connection.
    Refused,
    /// No connection came about in time.
    Unreached,
    /// The connection ended before anything was sent.
    Unsent,
    /// It ended, or carried something else, after the request was sent.
    Broken,
}

/// A connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    ended: bool,
    /// When its last answer was read whole.
    pub idle_since: Instant,
    /// How long it may be idle before the server closes it.
    pub idle_max: Option<Duration>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`Failure::Refused`] or [`Failure::Unreached`].
    pub async fn open(addr: SocketAddr, patience: Duration) -> Result<Self, Failure> {
        let stream = match timeout(patience, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(target: "forward", addr:% = addr, error:% = error; "connection refused");
                return Err(Failure::Refused);
            }
            Err(_) => return Err(Failure::Unreached),
        };
        let tuned = stream
            .set_nodelay(true)
            .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_MAX)));
        if let Err(error) = tuned {
            log::debug!(target: "forward", addr:% = addr, error:% = error; "socket not tuned");
        }
        let opened = http1::handshake(TokioIo::new(stream)).await;
        let (sender, io) = opened.map_err(|_| Failure::Refused)?;
        Ok(Self {
            sender,
            io,
            ended: false,
            idle_since: Instant::now(),
            idle_max: None,
        })
    }

    /// Reads what has come while the connection was idle; whether it still
    /// may carry a request.
    pub async fn is_sound(&mut self) -> bool {
        poll_fn(|cx| {
            self.drive(cx);
            Poll::Ready(())
        })
        .await;
        !self.ended && self.sender.is_ready()
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    /// [`Failure::Unsent`] or [`Failure::Broken`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        // A connection that was just opened is ready after its first poll.
        if !self.is_sound().await {
            return Err(Failure::Unsent);
        }
        let mut answer = pin!(self.sender.send_request(request));
        let io = &mut self.io;
        let ended = &mut self.ended;
        let sent = poll_fn(|cx| {
            drive(io, ended, cx);
            answer.as_mut().poll(cx)
        });
        sent.await.map_err(|error| {
            if error.is_canceled() {
                return Failure::Unsent;
            }
            log::debug!(target: "forward", error:% = error; "no answer on a connection");
            Failure::Broken
        })
    }

    /// Reads the next piece of an answer's body.
    pub fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.drive(cx);
        Pin::new(body).poll_frame(cx)
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.io, &mut self.ended, cx);
    }
}

/// Moves bytes; a connection that has ended must not be polled again.
fn drive(
    io: &mut http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    ended: &mut bool,
    cx: &mut Context<'_>,
) {
    if !*ended && Pin::new(io).poll(cx).is_ready() {
        *ended = true;
    }
}
