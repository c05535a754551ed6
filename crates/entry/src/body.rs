//! Response bodies: an enum, so that the request path needs no `dyn`.

use std::pin::Pin;
use std::task::{Context, Poll};

use balancer::Outcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::admission_control::Admitted;
use crate::open_attempt::OpenAttempt;

/// Body of a response to a client.
pub enum ResponseBody {
    /// Body created by this VM; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Streamed from a backend server.
    Stream(Box<Stream>),
}

/// A response body that is streamed to the client; it keeps the slot, the connection
/// and the plan permit until it ends.
pub struct Stream {
    incoming: Incoming,
    open_attempt: Option<OpenAttempt>,
    _admitted: Option<Admitted>,
}

impl Stream {
    /// Streams `incoming`.
    #[must_use]
    pub fn new(incoming: Incoming, open_attempt: OpenAttempt, admitted: Option<Admitted>) -> Self {
        let mut stream = Self {
            incoming,
            open_attempt: Some(open_attempt),
            _admitted: admitted,
        };
        stream.finish_if_read();
        stream
    }

    fn finish_if_read(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(open_attempt) = self.open_attempt.take()
        {
            open_attempt.finish();
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.finish_if_read(),
            Poll::Ready(Some(Err(_))) => {
                if let Some(open_attempt) = self.open_attempt.take() {
                    open_attempt.end(Outcome::ConnectionLost);
                }
            }
            Poll::Ready(None) => {
                if let Some(open_attempt) = self.open_attempt.take() {
                    open_attempt.finish();
                }
            }
            Poll::Pending => {}
        }
        polled
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(stream) => stream.incoming.size_hint(),
        }
    }
}
