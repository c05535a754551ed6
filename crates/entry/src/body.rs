//! Bodies of answers: a closed set, so that none is a `dyn`.

use std::pin::Pin;
use std::task::{Context, Poll};

use balancer::Outcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::flow::Flow;
use crate::gate::Admitted;

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Bytes made here.
    Full(Option<Bytes>),
    /// Streamed from a backend server.
    Stream(Box<Stream>),
}

/// A body that is passed on as it comes.
pub struct Stream {
    incoming: Incoming,
    flow: Option<Flow>,
    _admitted: Option<Admitted>,
}

impl Stream {
    /// Passes on `incoming`; slot, connection and contract are held meanwhile.
    #[must_use]
    pub fn new(incoming: Incoming, flow: Flow, admitted: Option<Admitted>) -> Self {
        let mut stream = Self {
            incoming,
            flow: Some(flow),
            _admitted: admitted,
        };
        stream.finish_if_read();
        stream
    }

    fn finish_if_read(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(flow) = self.flow.take()
        {
            flow.finish();
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.finish_if_read(),
            Poll::Ready(Some(Err(_))) => {
                if let Some(flow) = self.flow.take() {
                    flow.end(Outcome::ConnectionLost);
                }
            }
            Poll::Ready(None) => {
                if let Some(flow) = self.flow.take() {
                    flow.finish();
                }
            }
            Poll::Pending => {}
        }
        polled
    }
}

impl Body for AnswerBody {
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
