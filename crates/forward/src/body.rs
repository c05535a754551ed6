//! Response bodies, as an enum so that the request path needs no `dyn`.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use affinity::Choice;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use tokio::time::{Instant, Sleep, sleep_until};

use crate::connection::Connection;
use crate::large::Reservation;
use crate::pace::{CHUNK_BYTES, Pacer, SHORT_MAX_BYTES};
use crate::pool::Pool;

/// Body of a response to a client.
pub enum ResponseBody {
    /// A complete body, sent at once.
    Full(Option<Bytes>),
    /// A complete body, sent in paced chunks.
    Paced(Box<Paced>),
    /// A body whose rest is still being read from a backend server.
    Stream(Box<Stream>),
}

/// A large body that is paced to the rate of this machine's link.
pub struct Paced {
    rest: Bytes,
    pace: Arc<Pacer>,
    next: Pin<Box<Sleep>>,
}

impl Paced {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if self.next.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let chunk = self.rest.split_to(CHUNK_BYTES.min(self.rest.len()));
        self.next.as_mut().reset(self.pace.count(chunk.len()));
        Poll::Ready(Some(chunk))
    }
}

/// A body that is forwarded as it arrives.
pub struct Stream {
    start: Option<Bytes>,
    start_len: u64,
    rest: Incoming,
    /// Until the end of the body.
    connection: Option<Connection>,
    /// When the client no longer waits.
    end: Pin<Box<Sleep>>,
    accounts: StreamAccounts,
}

/// Where a streamed body is accounted for.
pub struct StreamAccounts {
    /// Capacity of the link reserved for the body.
    pub reserved: Option<Arc<Reservation>>,
    /// Bytes received over the link.
    pub pace_in: Arc<Pacer>,
    /// Bytes sent over the link.
    pub pace_out: Arc<Pacer>,
    /// Pool that gets the connection to this server after the body, unless it closes.
    pub pool: Option<(Arc<Pool>, Choice)>,
}

impl StreamAccounts {
    fn count(&self, bytes: usize) {
        let reserved = self.reserved.as_ref();
        let uncovered = reserved.map_or(bytes, |reserved| reserved.consume(bytes));
        self.pace_in.count(uncovered);
        self.pace_out.count(bytes);
    }
}

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The response of the backend server broke off.
    #[error("the response broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The response had not ended when the client's deadline passed.
    #[error("the response did not end before the client's deadline")]
    Late,
}

impl Stream {
    /// Forwards `start`, then `rest` as it arrives over `connection` until `deadline`.
    #[must_use]
    pub fn new(
        start: Bytes,
        rest: Incoming,
        connection: Connection,
        deadline: Instant,
        accounts: StreamAccounts,
    ) -> Self {
        // The rest is counted as it arrives.
        accounts.pace_out.count(start.len());
        Self {
            end: Box::pin(sleep_until(deadline)),
            start_len: start.len() as u64,
            start: (!start.is_empty()).then_some(start),
            rest,
            connection: Some(connection),
            accounts,
        }
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
        if self.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        let Poll::Ready(frame) = connection.poll_body(&mut self.rest, cx) else {
            return Poll::Pending;
        };
        if let Some(Ok(frame)) = &frame {
            self.accounts.count(frame.data_ref().map_or(0, Bytes::len));
        }
        if frame.is_none() || self.rest.is_end_stream() {
            self.keep_connection(cx);
        }
        Poll::Ready(frame.map(|frame| Ok(frame?)))
    }

    /// Returns the connection to the pool if it can carry another request.
    fn keep_connection(&mut self, cx: &mut Context<'_>) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if let Some((pool, choice)) = self.accounts.pool.take()
            && connection.poll_usable(cx)
        {
            pool.keep(&choice, connection);
        }
    }
}

impl ResponseBody {
    /// An unpaced body.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl ResponseBody {
    /// A body that is paced if it is larger than [`SHORT_MAX_BYTES`]; `pace`
    /// counts its bytes in either case.
    #[must_use]
    pub fn paced(bytes: Bytes, pace: &Arc<Pacer>) -> Self {
        if bytes.len() <= SHORT_MAX_BYTES {
            pace.count(bytes.len());
            return Self::full(bytes);
        }
        Self::Paced(Box::new(Paced {
            rest: bytes,
            pace: Arc::clone(pace),
            next: Box::pin(sleep_until(pace.count(0))),
        }))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Paced(paced) => paced
                .poll_chunk(cx)
                .map(|chunk| Some(Ok(Frame::data(chunk?)))),
            Self::Stream(stream) => {
                if let Some(start) = stream.start.take() {
                    return Poll::Ready(Some(Ok(Frame::data(start))));
                }
                stream.poll_rest(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Paced(paced) => paced.rest.is_empty(),
            Self::Stream(stream) => stream.start.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Paced(paced) => SizeHint::with_exact(paced.rest.len() as u64),
            Self::Stream(stream) => {
                let start = if stream.start.is_some() {
                    stream.start_len
                } else {
                    0
                };
                let rest = stream.rest.size_hint();
                rest.exact()
                    .map_or_else(SizeHint::default, |len| SizeHint::with_exact(start + len))
            }
        }
    }
}
