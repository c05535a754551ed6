//! A small HTTP client over connections of its own.

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

/// Why a call brought no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection came about, so nothing was sent.
    Unreachable(String),
    /// The request may have been sent, and no whole answer came.
    Broken(String),
    /// No whole answer came in time.
    Timeout,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "could not connect: {why}"),
            Self::Broken(why) => write!(f, "connection broke: {why}"),
            Self::Timeout => f.write_str("no whole answer in time"),
        }
    }
}

impl std::error::Error for Failure {}

/// One connection to one address.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

fn unreachable(addr: SocketAddr, error: &impl fmt::Display) -> Failure {
    Failure::Unreachable(format!("{addr}: {error}"))
}

impl Connection {
    /// Connects, waiting until `until` at most.
    ///
    /// # Errors
    /// [`Failure::Unreachable`] or [`Failure::Timeout`].
    pub async fn new(addr: SocketAddr, until: Instant) -> Result<Self, Failure> {
        let stream = timeout_at(until, TcpStream::connect(addr))
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
                log::debug!("connection to {addr} ended: {e}");
            }
        });
        Ok(Self { addr, sender })
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    /// [`Failure::Broken`] or [`Failure::Timeout`].
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let headers = request.headers_mut();
        if !headers.contains_key(header::HOST) {
            let host = self.addr.to_string();
            if let Ok(value) = host.parse() {
                headers.insert(header::HOST, value);
            }
        }
        let whole = async {
            self.sender.ready().await?;
            let (parts, body) = self.sender.send_request(request).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(parts, body))
        };
        timeout_at(until, whole)
            .await
            .map_err(|_| Failure::Timeout)?
            .map_err(|e| Failure::Broken(describe(&e)))
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
/// Any [`Failure`].
pub async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    wait: Duration,
) -> Result<Response<Bytes>, Failure> {
    let until = Instant::now() + wait;
    Connection::new(addr, until)
        .await?
        .send(request, until)
        .await
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
