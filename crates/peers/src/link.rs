//! The calling side of a link: many concurrent calls over one connection.
//!
//! The connection is opened by the first call and kept alive by heartbeats.
//! When no byte has been received for [`crate::SILENCE_TIMEOUT`] it is closed,
//! every pending call fails with [`CallError::Lost`], and the next call opens
//! a new connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout, timeout_at};
use wire::body::Ping;
use wire::{Body, Envelope};
use world::{Error, ErrorKind, LockRank, MachineName, RankedMutex};

use crate::handshake::{Identity, Stream, framed};
use crate::progress::{Progress, timeout_without_progress};
use crate::serve::Serve;
use crate::{
    CONNECT_TIMEOUT_MAX, CONNECT_TIMEOUT_MIN, HANDSHAKE_TIMEOUT, HEARTBEAT_INTERVAL, IDLE_TIMEOUT,
    SEND_QUEUE_MAX, SILENCE_TIMEOUT,
};

/// Reason why a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The request was never sent.
    NotSent,
    /// The request was sent but no reply arrived; whether the peer processed it is unknown.
    Lost,
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => Self::new(ErrorKind::Unreachable, "the call was not sent"),
            CallError::Lost => Self::new(ErrorKind::NoQuorum, "the reply to the call was lost"),
        }
    }
}

/// State of a link's connection.
#[derive(Default)]
struct Connection {
    /// Send queue of the open connection; `None` while there is none.
    sender: Option<mpsc::Sender<Envelope>>,
    /// Number of connections opened so far.
    generation: u64,
    /// Progress of the open connection.
    progress: Option<Arc<Progress>>,
    /// Calls that await a reply, by call number.
    pending: HashMap<u64, oneshot::Sender<Body>>,
    peer: Option<MachineName>,
}

/// A link to the process at one address. It connects on demand.
pub struct Link<S> {
    addr: SocketAddr,
    identity: Identity,
    serve: Arc<S>,
    next_call: AtomicU64,
    /// Connection attempts started so far.
    attempts: AtomicU64,
    /// TCP connect timeout of the next attempt. The lock is held during an attempt,
    /// so that there is one at a time.
    connect_timeout: tokio::sync::Mutex<Duration>,
    connection: RankedMutex<Connection>,
}

impl<S: Serve> Link<S> {
    /// Creates a link to `addr` without connecting.
    #[must_use]
    pub fn new(addr: SocketAddr, identity: Identity, serve: Arc<S>) -> Self {
        Self {
            addr,
            identity,
            serve,
            next_call: AtomicU64::new(1),
            attempts: AtomicU64::new(0),
            connect_timeout: tokio::sync::Mutex::new(CONNECT_TIMEOUT_MIN),
            connection: RankedMutex::new(LockRank::Links, Connection::default()),
        }
    }

    /// Address of the other process.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Name of the other machine; `None` before the first handshake.
    #[must_use]
    pub fn peer(&self) -> Option<MachineName> {
        self.connection.lock().peer.clone()
    }

    /// Sends a request and waits for its reply. `max_wait` bounds both, including
    /// the time to connect.
    ///
    /// # Errors
    /// [`CallError::NotSent`] when there is no connection in time or the send queue
    /// is full; [`CallError::Lost`] when no reply arrives in time.
    pub async fn call(
        self: &Arc<Self>,
        body: Body,
        max_wait: Duration,
    ) -> std::result::Result<Body, CallError> {
        let deadline = Instant::now() + max_wait;
        let sender = self.sender_before(deadline).await?;
        let pending_call = self.send_call(&sender, body)?;
        let reply = timeout_at(deadline, pending_call.reply_receiver).await;
        reply
            .map_err(|_| CallError::Lost)?
            .map_err(|_| CallError::Lost)
    }

    /// As [`Self::call`], but `max_wait` bounds the time in which no byte of a message
    /// arrives: a large reply may take longer on a slow link.
    ///
    /// # Errors
    /// Those of [`Self::call`].
    pub async fn call_while_receiving(
        self: &Arc<Self>,
        body: Body,
        max_wait: Duration,
    ) -> std::result::Result<Body, CallError> {
        let sender = self.sender_before(Instant::now() + max_wait).await?;
        let pending_call = self.send_call(&sender, body)?;
        let receiving_at = || self.connection.lock().progress.as_ref()?.receiving_at();
        timeout_without_progress(max_wait, receiving_at, pending_call.reply_receiver)
            .await
            .ok_or(CallError::Lost)?
            .map_err(|_| CallError::Lost)
    }

    async fn sender_before(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> std::result::Result<mpsc::Sender<Envelope>, CallError> {
        match timeout_at(deadline, self.sender()).await {
            Ok(Ok(sender)) => Ok(sender),
            _ => Err(CallError::NotSent),
        }
    }

    /// Queues a request and registers the call for its reply.
    fn send_call(
        &self,
        sender: &mpsc::Sender<Envelope>,
        body: Body,
    ) -> std::result::Result<PendingCall<'_, S>, CallError> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.connection.lock().pending.insert(call, reply_sender);
        let entry = PendingEntry { link: self, call };
        if sender.try_send(self.envelope(call, body)).is_err() {
            return Err(CallError::NotSent);
        }
        Ok(PendingCall {
            reply_receiver,
            _entry: entry,
        })
    }

    /// Sends a one-way message. The message is dropped when the peer can't be
    /// reached or the send queue is full.
    pub async fn notify(self: &Arc<Self>, body: Body) {
        let Ok(sender) = self.sender().await else {
            return;
        };
        let _ = sender.try_send(self.envelope(0, body));
    }

    fn envelope(&self, call: u64, body: Body) -> Envelope {
        Envelope {
            call,
            config_version: self.serve.config_version(),
            body: Some(body),
        }
    }

    fn current_sender(&self) -> Option<mpsc::Sender<Envelope>> {
        self.connection.lock().sender.clone()
    }

    /// Returns the send queue of the open connection, and connects first if there
    /// is none. The attempt runs in a task of its own and continues when the call
    /// that started it times out, so that a later call can use its connection.
    async fn sender(self: &Arc<Self>) -> Result<mpsc::Sender<Envelope>> {
        if let Some(sender) = self.current_sender() {
            return Ok(sender);
        }
        tokio::spawn(Arc::clone(self).open_connection()).await?
    }

    async fn open_connection(self: Arc<Self>) -> Result<mpsc::Sender<Envelope>> {
        let attempts = self.attempts.load(Ordering::Relaxed);
        let mut connect_timeout = self.connect_timeout.lock().await;
        if let Some(sender) = self.current_sender() {
            return Ok(sender);
        }
        // Calls that waited for a concurrent attempt share its failure instead of
        // each making another one.
        ensure!(
            self.attempts.fetch_add(1, Ordering::Relaxed) == attempts,
            "a concurrent connection attempt failed"
        );
        let patience = self.serve.patience();
        let connecting = TcpStream::connect(self.addr);
        let connected = timeout(*connect_timeout + patience, connecting).await;
        *connect_timeout = match &connected {
            Ok(_) => CONNECT_TIMEOUT_MIN,
            Err(_) => (*connect_timeout * 2).min(CONNECT_TIMEOUT_MAX),
        };
        let stream = connected
            .context("connect timed out")?
            .with_context(|| format!("failed to connect to {}", self.addr))?;
        let (stream, peer) = timeout(HANDSHAKE_TIMEOUT + patience, self.handshake(stream))
            .await
            .context("handshake timed out")??;
        let (sender, queue) = mpsc::channel(SEND_QUEUE_MAX);
        let generation = {
            let mut connection = self.connection.lock();
            connection.generation += 1;
            connection.sender = Some(sender.clone());
            connection.progress = Some(stream.get_ref().progress());
            connection.peer = Some(peer);
            connection.generation
        };
        tokio::spawn(Arc::clone(&self).run_connection(stream, queue, generation));
        Ok(sender)
    }

    async fn handshake(&self, stream: TcpStream) -> Result<(Stream, MachineName)> {
        let mut stream = framed(stream)?;
        let peer = self.identity.open(&mut stream).await?;
        Ok((stream, peer))
    }

    /// Runs a connection until it closes, then fails its pending calls.
    async fn run_connection(
        self: Arc<Self>,
        stream: Stream,
        queue: mpsc::Receiver<Envelope>,
        generation: u64,
    ) {
        let ended = self.message_loop(stream, queue).await;
        if let Err(error) = ended {
            log::debug!(target: "peers", addr:% = self.addr, error:% = error; "link closed");
        }
        let mut connection = self.connection.lock();
        if connection.generation == generation {
            connection.sender = None;
            connection.pending.clear();
        }
    }

    async fn message_loop(
        &self,
        stream: Stream,
        mut queue: mpsc::Receiver<Envelope>,
    ) -> Result<()> {
        let progress = stream.get_ref().progress();
        let sent_at = || Some(progress.sent_at());
        let (mut sink, mut source) = stream.split();
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_used_at = Instant::now();
        loop {
            let silence_max = SILENCE_TIMEOUT + self.serve.patience();
            tokio::select! {
                envelope = queue.recv() => {
                    let Some(envelope) = envelope else { return Ok(()) };
                    last_used_at = Instant::now();
                    timeout_without_progress(SILENCE_TIMEOUT, sent_at, sink.send(envelope))
                        .await
                        .context("peer takes no bytes")??;
                }
                _ = heartbeat.tick() => {
                    if last_used_at.elapsed() >= IDLE_TIMEOUT && self.close_if_idle(&mut queue) {
                        return Ok(());
                    }
                    let ping = self.envelope(0, Body::Ping(Ping {}));
                    timeout_without_progress(SILENCE_TIMEOUT, sent_at, sink.send(ping))
                        .await
                        .context("peer takes no bytes")??;
                }
                envelope = source.next() => {
                    let Some(envelope) = envelope else { return Ok(()) };
                    self.handle_reply(envelope?);
                }
                () = sleep_until(progress.received_at() + silence_max) => {
                    // Bytes may have arrived since the deadline was set.
                    let silent_for = progress.received_at().elapsed();
                    ensure!(silent_for < silence_max, "peer is silent");
                }
            }
        }
    }

    /// Closes the connection, unless a message is queued or a call awaits its
    /// reply. Returns whether it was closed.
    fn close_if_idle(&self, queue: &mut mpsc::Receiver<Envelope>) -> bool {
        let mut connection = self.connection.lock();
        if !queue.is_empty() || !connection.pending.is_empty() {
            return false;
        }
        connection.sender = None;
        queue.close();
        true
    }

    fn handle_reply(&self, envelope: Envelope) {
        if let Some(peer) = self.peer() {
            self.serve.on_config_version(&peer, envelope.config_version);
        }
        let Some(body) = envelope.body else { return };
        let reply_sender = self.connection.lock().pending.remove(&envelope.call);
        if let Some(reply_sender) = reply_sender {
            let _ = reply_sender.send(body);
        }
    }
}

/// A call that awaits its reply.
struct PendingCall<'a, S> {
    reply_receiver: oneshot::Receiver<Body>,
    _entry: PendingEntry<'a, S>,
}

/// Entry of a call among the pending calls. Removes it when the call ends for any reason,
/// including when its future is dropped.
struct PendingEntry<'a, S> {
    link: &'a Link<S>,
    call: u64,
}

impl<S> Drop for PendingEntry<'_, S> {
    fn drop(&mut self) {
        self.link.connection.lock().pending.remove(&self.call);
    }
}
