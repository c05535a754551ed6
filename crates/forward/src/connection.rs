//! An HTTP connection to a backend server.
//!
//! No task runs the connection; the task that handles the request polls it. So
//! the connection closes at once when the client disconnects, and bytes that
//! arrive while it is idle are detected before the next use.

use std::future::{Future, poll_fn};
use std::io::ErrorKind;
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
use world::FINAL_STATUSES;

use crate::head_limit::{HeadLimit, HeadLimited};

/// TCP user timeout, after which unacknowledged bytes close the connection:
/// several round trips between regions, and less than clients wait.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// Size to which the read buffer of a connection may grow: that of the largest heads, so
/// that a head without end takes no more memory.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Transport of a connection.
type Io = TokioIo<HeadLimited<TcpStream>>;

/// Why a request got no response over a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The server's machine refused the connection: no process listens there.
    Refused,
    /// The connection could not be opened, for another reason than these.
    ConnectFailed,
    /// The connection was not established in time.
    Unreached,
    /// The connection ended before anything was sent.
    Unsent,
    /// The connection ended, or carried an invalid response, after the request
    /// was sent.
    Closed,
}

/// A connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io: http1::Connection<Io, Full<Bytes>>,
    head_limit: HeadLimit,
    ended: bool,
    /// When the last response was read completely.
    pub idle_since: Instant,
    /// Idle time after which the server closes the connection.
    pub idle_max: Option<Duration>,
}

impl Connection {
    /// Opens a connection within `connect_timeout`.
    ///
    /// # Errors
    /// [`Failure::Refused`], [`Failure::ConnectFailed`] or [`Failure::Unreached`].
    pub async fn open(addr: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let stream = match timeout(connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(target: "forward", addr:% = addr, error:% = error; "could not connect");
                return Err(match error.kind() {
                    ErrorKind::ConnectionRefused => Failure::Refused,
                    _ => Failure::ConnectFailed,
                });
            }
            Err(_) => return Err(Failure::Unreached),
        };
        let configured = stream
            .set_nodelay(true)
            .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
        if let Err(error) = configured {
            log::debug!(target: "forward", addr:% = addr, error:% = error; "could not set socket options");
        }
        let stream = HeadLimited::new(stream);
        let head_limit = stream.limit();
        let opened = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, io) = opened.map_err(|_| Failure::ConnectFailed)?;
        Ok(Self {
            sender,
            io,
            head_limit,
            ended: false,
            idle_since: Instant::now(),
            idle_max: None,
        })
    }

    /// Reads what arrived while the connection was idle; returns whether it can
    /// still carry a request.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_usable(cx))).await
    }

    /// As [`Self::is_usable`], in a poll.
    pub(crate) fn poll_usable(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        !self.ended && self.sender.is_ready()
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// [`Failure::Unsent`] or [`Failure::Closed`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        // A new connection becomes ready only after its first poll.
        if !self.is_usable().await {
            return Err(Failure::Unsent);
        }
        self.head_limit.start();
        let mut response = pin!(self.sender.send_request(request));
        let io = &mut self.io;
        let ended = &mut self.ended;
        let sent = poll_fn(|cx| {
            drive(io, ended, cx);
            response.as_mut().poll(cx)
        });
        let received = sent.await;
        self.head_limit.end();
        let response = received.map_err(|error| {
            if error.is_canceled() {
                return Failure::Unsent;
            }
            log::debug!(target: "forward", error:% = error; "no response on a connection");
            Failure::Closed
        })?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            log::info!(target: "forward", status; "response without a final status");
            return Err(Failure::Closed);
        }
        Ok(response)
    }

    /// Reads the next frame of a response body.
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

/// Polls the connection's I/O, unless it has ended: a finished future must not
/// be polled again.
fn drive(io: &mut http1::Connection<Io, Full<Bytes>>, ended: &mut bool, cx: &mut Context<'_>) {
    if !*ended && Pin::new(io).poll(cx).is_ready() {
        *ended = true;
    }
}
