//! Bodies of answers: a closed set, so that none is a `dyn`.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use world::ServerName;

use crate::state::State;

/// A slot of a backend server, given back when dropped.
pub struct Slot {
    state: Arc<State>,
    server: ServerName,
}

impl Slot {
    /// A slot that was taken of `server`.
    #[must_use]
    pub fn new(state: Arc<State>, server: ServerName) -> Self {
        Self { state, server }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.leases.lock().give(&self.server);
    }
}

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Bytes made here.
    Full(Option<Bytes>),
    /// Streamed from a backend server, holding its slot.
    Stream(Incoming, Slot),
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
            Self::Stream(incoming, _) => Pin::new(incoming).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(incoming, _) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(incoming, _) => incoming.size_hint(),
        }
    }
}
