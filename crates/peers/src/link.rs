//! The calling side of a link: many concurrent calls over one connection.
//!
//! The connection is opened by the first call and kept alive by heartbeats.
//! When nothing has been received for [`crate::SILENCE_TIMEOUT`] it is closed,
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
use tokio::time::{Instant, MissedTickBehavior, interval, timeout, timeout_at};
use tokio_util::codec::Framed;
use wire::body::Ping;
use wire::{Body, Envelope, EnvelopeCodec};
use world::{Error, ErrorKind, LockRank, MachineName, RankedMutex};

use crate::handshake::{Identity, Stream};
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
        let sender = timeout_at(deadline, self.sender()).await;
        let sender = sender
            .map_err(|_| CallError::NotSent)?
            .map_err(|_| CallError::NotSent)?;
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.connection.lock().pending.insert(call, reply_sender);
        let pending_call = PendingCall { link: self, call };
        if sender.try_send(self.envelope(call, body)).is_err() {
            return Err(CallError::NotSent);
        }
        let reply = timeout_at(deadline, reply_receiver).await;
        drop(pending_call);
        reply
            .map_err(|_| CallError::Lost)?
            .map_err(|_| CallError::Lost)
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
        let connected = timeout(*connect_timeout, TcpStream::connect(self.addr)).await;
        *connect_timeout = match &connected {
            Ok(_) => CONNECT_TIMEOUT_MIN,
            Err(_) => (*connect_timeout * 2).min(CONNECT_TIMEOUT_MAX),
        };
        let stream = connected
            .context("connect timed out")?
            .with_context(|| format!("failed to connect to {}", self.addr))?;
        let (stream, peer) = timeout(HANDSHAKE_TIMEOUT, self.handshake(stream))
            .await
            .context("handshake timed out")??;
        let (sender, queue) = mpsc::channel(SEND_QUEUE_MAX);
        let generation = {
            let mut connection = self.connection.lock();
            connection.generation += 1;
            connection.sender = Some(sender.clone());
            connection.peer = Some(peer);
            connection.generation
        };
        tokio::spawn(Arc::clone(&self).run_connection(stream, queue, generation));
        Ok(sender)
    }

    async fn handshake(&self, stream: TcpStream) -> Result<(Stream, MachineName)> {
        stream.set_nodelay(true)?;
        let mut stream = Framed::new(stream, EnvelopeCodec::new());
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
        let (mut sink, mut source) = stream.split();
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silence_deadline = Instant::now() + SILENCE_TIMEOUT;
        let mut last_used_at = Instant::now();
        loop {
            tokio::select! {
                envelope = queue.recv() => {
                    let Some(envelope) = envelope else { return Ok(()) };
                    last_used_at = Instant::now();
                    timeout(SILENCE_TIMEOUT, sink.send(envelope)).await??;
                }
                _ = heartbeat.tick() => {
                    if last_used_at.elapsed() >= IDLE_TIMEOUT && self.close_if_idle(&mut queue) {
                        return Ok(());
                    }
                    let ping = self.envelope(0, Body::Ping(Ping {}));
                    timeout(SILENCE_TIMEOUT, sink.send(ping)).await??;
                }
                envelope = timeout_at(silence_deadline, source.next()) => {
                    let Some(envelope) = envelope.context("peer is silent")? else { return Ok(()) };
                    silence_deadline = Instant::now() + SILENCE_TIMEOUT;
                    self.handle_reply(envelope?);
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

/// Removes a call from the pending calls when it ends for any reason, including
/// when its future is dropped.
struct PendingCall<'a, S> {
    link: &'a Link<S>,
    call: u64,
}

impl<S> Drop for PendingCall<'_, S> {
    fn drop(&mut self) {
        self.link.connection.lock().pending.remove(&self.call);
    }
}
