//! A stream that bounds the bytes read while a response head is awaited.
//!
//! The HTTP library bounds one head, but skips interim responses without end.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes read until a response head is complete: several times the largest heads
/// in use, and a full read buffer of body bytes that may come with it.
const HEAD_MAX_BYTES: usize = 128 * 1024;

/// Bytes that may still be read; shared by the stream and the one who awaits the head.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Starts to count, as a response head is awaited.
    pub fn start(&self) {
        self.0.store(HEAD_MAX_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, as the head is complete.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A stream with a [`HeadLimit`].
#[derive(Debug)]
pub struct HeadLimited<S> {
    stream: S,
    left: HeadLimit,
}

impl<S> HeadLimited<S> {
    /// Wraps a stream without a limit for now.
    pub fn new(stream: S) -> Self {
        let left = HeadLimit(Arc::new(AtomicUsize::new(usize::MAX)));
        Self { stream, left }
    }

    /// The limit of the stream.
    pub fn limit(&self) -> HeadLimit {
        self.left.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left = self.left.0.load(Ordering::Relaxed);
        if left == 0 {
            let text = format!("no response head within {HEAD_MAX_BYTES} bytes");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, text)));
        }
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if left != usize::MAX {
            let taken = buf.filled().len() - filled;
            self.left
                .0
                .store(left.saturating_sub(taken), Ordering::Relaxed);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
