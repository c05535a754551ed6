//! Response bodies of a stand-in backend server: complete, truncated or sent at a
//! limited rate.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::slots::SlotGuard;
use crate::relay::transfer_time;

/// Size of one chunk of a download.
const CHUNK_BYTES: usize = 16 * 1024;

static CHUNK: [u8; CHUNK_BYTES] = [b'w'; CHUNK_BYTES];

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Complete, in one frame.
    Complete(Option<Bytes>),
    /// One frame, after which the connection is closed.
    Truncated {
        /// The frame that is sent.
        first: Option<Bytes>,
        /// Size that the `content-length` header states.
        declared_bytes: u64,
    },
    /// A download that occupies its slot until its body is sent.
    Download(Download),
}

/// Body of fixed content, sent in chunks at a limited rate.
#[derive(Debug)]
pub struct Download {
    remaining_bytes: u64,
    interval: Duration,
    next_chunk: Pin<Box<Sleep>>,
    slot: Option<SlotGuard>,
}

impl Download {
    /// Creates a download of this size and rate; rate 0 is no limit.
    #[must_use]
    pub fn new(size_bytes: u64, rate_bytes_per_s: u64, slot: SlotGuard) -> Self {
        let interval = if rate_bytes_per_s == 0 {
            Duration::ZERO
        } else {
            transfer_time(CHUNK_BYTES as u64, rate_bytes_per_s)
        };
        Self {
            remaining_bytes: size_bytes,
            interval,
            next_chunk: Box::pin(sleep_until(Instant::now())),
            slot: Some(slot),
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.remaining_bytes == 0 {
            self.slot = None;
            return Poll::Ready(None);
        }
        if !self.interval.is_zero() {
            if self.next_chunk.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let due = self.next_chunk.deadline() + self.interval;
            self.next_chunk.as_mut().reset(due);
        }
        let chunk = CHUNK_BYTES.min(usize::try_from(self.remaining_bytes).unwrap_or(usize::MAX));
        self.remaining_bytes -= chunk as u64;
        Poll::Ready(Some(Bytes::from_static(&CHUNK[..chunk])))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Complete(chunk) => Poll::Ready(chunk.take().map(|p| Ok(Frame::data(p)))),
            Self::Truncated { first, .. } => Poll::Ready(Some(match first.take() {
                Some(chunk) => Ok(Frame::data(chunk)),
                None => Err(io::Error::other("cut off on purpose")),
            })),
            Self::Download(download) => download
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|p| Ok(Frame::data(p)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(chunk) => {
                SizeHint::with_exact(chunk.as_ref().map_or(0, |p| p.len() as u64))
            }
            Self::Truncated { declared_bytes, .. } => SizeHint::with_exact(*declared_bytes),
            Self::Download(download) => SizeHint::with_exact(download.remaining_bytes),
        }
    }
}
