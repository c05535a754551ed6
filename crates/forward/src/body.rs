//! Bodies of answers: a closed set, so that none is a `dyn`.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::connection::Connection;

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Bytes that are all here.
    Full(Option<Bytes>),
    /// The rest of it still comes from a backend server.
    Stream(Box<Stream>),
}

/// A body that is passed on as it comes. The connection ends with it.
pub struct Stream {
    head: Option<Bytes>,
    head_len: u64,
    rest: Incoming,
    connection: Connection,
}

impl Stream {
    /// Passes on `head` and then what comes over the connection.
    #[must_use]
    pub fn new(head: Bytes, rest: Incoming, connection: Connection) -> Self {
        Self {
            head_len: head.len() as u64,
            head: (!head.is_empty()).then_some(head),
            rest,
            connection,
        }
    }
}

impl AnswerBody {
    /// A body of bytes.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
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
            Self::Stream(stream) => {
                if let Some(head) = stream.head.take() {
                    return Poll::Ready(Some(Ok(Frame::data(head))));
                }
                let Stream {
                    rest, connection, ..
                } = &mut **stream;
                connection.poll_body(rest, cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.head.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(stream) => {
                let head = if stream.head.is_some() {
                    stream.head_len
                } else {
                    0
                };
                let rest = stream.rest.size_hint();
                rest.exact()
                    .map_or_else(SizeHint::default, |len| SizeHint::with_exact(head + len))
            }
        }
    }
}
