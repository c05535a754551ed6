//! Progress of the bytes on a connection.
//!
//! A message that is larger than a busy link carries within a timeout is still on its
//! way, so timeouts apply to the time without any byte and not to whole messages.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, timeout_at};
use wire::PartialFrame;
use world::unit::{as_ms, ms};

/// When the connection last received and sent bytes.
#[derive(Debug)]
pub struct Progress {
    opened_at: Instant,
    /// Time of the last received byte, since `opened_at`.
    received_ms: AtomicU64,
    /// Time of the last byte handed to the network, since `opened_at`.
    sent_ms: AtomicU64,
    partial: PartialFrame,
}

impl Progress {
    /// Starts at the present. `partial` tells of frames that were received in part.
    #[must_use]
    pub fn new(partial: PartialFrame) -> Self {
        Self {
            opened_at: Instant::now(),
            received_ms: AtomicU64::new(0),
            sent_ms: AtomicU64::new(0),
            partial,
        }
    }

    /// When bytes were last received; at first, when the connection was opened.
    #[must_use]
    pub fn received_at(&self) -> Instant {
        self.opened_at + ms(self.received_ms.load(Ordering::Relaxed))
    }

    /// When bytes were last handed to the network.
    #[must_use]
    pub fn sent_at(&self) -> Instant {
        self.opened_at + ms(self.sent_ms.load(Ordering::Relaxed))
    }

    /// When bytes of a frame were last received whose rest is awaited; `None` between
    /// frames.
    #[must_use]
    pub fn receiving_at(&self) -> Option<Instant> {
        self.partial.is_pending().then(|| self.received_at())
    }

    fn record(&self, time_ms: &AtomicU64) {
        time_ms.store(as_ms(self.opened_at.elapsed()), Ordering::Relaxed);
    }
}

/// Waits for `operation` for as long as it makes progress: until `timeout` has passed
/// since the start and since the time that `progressed_at` returns. `None` afterwards.
pub async fn timeout_without_progress<F: Future>(
    timeout: Duration,
    progressed_at: impl Fn() -> Option<Instant>,
    operation: F,
) -> Option<F::Output> {
    let mut operation = pin!(operation);
    let mut deadline = Instant::now() + timeout;
    loop {
        if let Ok(output) = timeout_at(deadline, operation.as_mut()).await {
            return Some(output);
        }
        deadline = progressed_at().map(|at| at + timeout)?;
        if deadline <= Instant::now() {
            return None;
        }
    }
}

/// A stream that records its progress.
#[derive(Debug)]
pub struct Monitored<T> {
    inner: T,
    progress: Arc<Progress>,
}

impl<T> Monitored<T> {
    /// Wraps a stream.
    #[must_use]
    pub fn new(inner: T, progress: Arc<Progress>) -> Self {
        Self { inner, progress }
    }

    /// Returns the progress of the stream.
    #[must_use]
    pub fn progress(&self) -> Arc<Progress> {
        Arc::clone(&self.progress)
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Monitored<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.record(&self.progress.received_ms);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Monitored<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if matches!(polled, Poll::Ready(Ok(written)) if written > 0) {
            self.progress.record(&self.progress.sent_ms);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
