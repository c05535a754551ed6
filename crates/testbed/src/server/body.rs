//! Bodies of a stand-in backend server's answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::gate::Ticket;
use crate::relay::time_of;

/// Size of one piece of a download.
const PIECE_BYTES: usize = 16 * 1024;

static PIECE: [u8; PIECE_BYTES] = [b'w'; PIECE_BYTES];

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// In one piece.
    Whole(Option<Bytes>),
    /// A first piece, and then the connection breaks.
    Cut {
        /// What is sent.
        first: Option<Bytes>,
        /// What the answer's header promises.
        promised_bytes: u64,
    },
    /// A download that holds its slot until the end.
    Download(Download),
}

/// A paced download.
#[derive(Debug)]
pub struct Download {
    left_bytes: u64,
    pause: Duration,
    next: Pin<Box<Sleep>>,
    ticket: Option<Ticket>,
}

impl Download {
    /// A download of this size and rate; rate 0 is as fast as it goes.
    #[must_use]
    pub fn new(size_bytes: u64, rate_bytes_per_s: u64, ticket: Ticket) -> Self {
        let pause = if rate_bytes_per_s == 0 {
            Duration::ZERO
        } else {
            time_of(PIECE_BYTES as u64, rate_bytes_per_s)
        };
        Self {
            left_bytes: size_bytes,
            pause,
            next: Box::pin(sleep_until(Instant::now())),
            ticket: Some(ticket),
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.left_bytes == 0 {
            self.ticket = None;
            return Poll::Ready(None);
        }
        if !self.pause.is_zero() {
            if self.next.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let at = self.next.deadline() + self.pause;
            self.next.as_mut().reset(at);
        }
        let piece = PIECE_BYTES.min(usize::try_from(self.left_bytes).unwrap_or(usize::MAX));
        self.left_bytes -= piece as u64;
        Poll::Ready(Some(Bytes::from_static(&PIECE[..piece])))
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
            Self::Whole(piece) => Poll::Ready(piece.take().map(|p| Ok(Frame::data(p)))),
            Self::Cut { first, .. } => Poll::Ready(Some(match first.take() {
                Some(piece) => Ok(Frame::data(piece)),
                None => Err(io::Error::other("cut off on purpose")),
            })),
            Self::Download(download) => download
                .poll_piece(cx)
                .map(|piece| piece.map(|p| Ok(Frame::data(p)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(piece) => {
                SizeHint::with_exact(piece.as_ref().map_or(0, |p| p.len() as u64))
            }
            Self::Cut { promised_bytes, .. } => SizeHint::with_exact(*promised_bytes),
            Self::Download(download) => SizeHint::with_exact(download.left_bytes),
        }
    }
}
