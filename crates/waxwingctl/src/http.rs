//! A small HTTP/1 client without a connection pool.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Why a request got no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection could not be established, so nothing was sent.
    Unreachable(String),
    /// The connection was lost before the response was complete; the request may
    /// have been sent.
    Interrupted(String),
    /// The response was not complete in time.
    Timeout,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "could not connect: {cause}"),
            Self::Interrupted(cause) => write!(f, "connection broke: {cause}"),
            Self::Timeout => f.write_str("no whole answer in time"),
        }
    }
}

impl std::error::Error for Failure {}

/// A connection to one address, for one request at a time.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

fn unreachable(addr: SocketAddr, error: &impl fmt::Display) -> Failure {
    Failure::Unreachable(format!("{addr}: {error}"))
}

impl Connection {
    /// Connects; fails with [`Failure::Timeout`] if that isn't done by `deadline`.
    ///
    /// # Errors
    /// [`Failure::Unreachable`] or [`Failure::Timeout`].
    pub async fn new(addr: SocketAddr, deadline: Instant) -> Result<Self, Failure> {
        let stream = timeout_at(deadline, TcpStream::connect(addr))
            .await
            .map_err(|_| Failure::Timeout)?
            .map_err(|e| unreachable(addr, &e))?;
        stream
            .set_nodelay(true)
            .map_err(|e| unreachable(addr, &e))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unreachable(addr, &e))?;
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("connection to {addr} closed: {e}");
            }
        });
        Ok(Self { addr, sender })
    }

    /// Whether the connection has been closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the response with its whole body.
    ///
    /// # Errors
    /// [`Failure::Interrupted`] or [`Failure::Timeout`].
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let headers = request.headers_mut();
        if !headers.contains_key(header::HOST) {
            let host = self.addr.to_string();
            if let Ok(value) = host.parse() {
                headers.insert(header::HOST, value);
            }
        }
        let exchange = async {
            self.sender.ready().await?;
            let (parts, body) = self.sender.send_request(request).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(parts, body))
        };
        timeout_at(deadline, exchange)
            .await
            .map_err(|_| Failure::Timeout)?
            .map_err(|e| Failure::Interrupted(describe(&e)))
    }
}

/// Sends a request over a new connection and reads the response with its whole
/// body. `timeout` covers connecting, sending and reading.
///
/// # Errors
/// Any [`Failure`].
pub async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, Failure> {
    let deadline = Instant::now() + timeout;
    Connection::new(addr, deadline)
        .await?
        .send(request, deadline)
        .await
}

/// Message of a hyper error with its cause, which hyper leaves out.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
