//! One link to another process: calls and their replies over one connection.
//!
//! The connection is opened when it is first needed and has a heartbeat of
//! its own. After [`crate::SILENCE`] without a message it is closed, every
//! call that waits on it fails as [`CallError::Lost`], and the next call opens
//! a new one.

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
use wire::{Body, Envelope, Frames};
use world::{Error, Kind, MachineName, Rank, Ranked};

use crate::hello::{Identity, Stream};
use crate::serve::Serve;
use crate::{CONNECT_MAX, CONNECT_MIN, HEARTBEAT, IDLE, OPEN_TIMEOUT, SEND_QUEUE, SILENCE};

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// It was never sent.
    NotSent,
    /// It was sent; whether it was carried out is not known.
    Lost,
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => Self::new(Kind::Unreachable, "the call was not sent"),
            CallError::Lost => Self::new(Kind::NoQuorum, "the reply to the call was lost"),
        }
    }
}

/// The open connection of a link.
#[derive(Default)]
struct Open {
    sender: Option<mpsc::Sender<Envelope>>,
    generation: u64,
    waiting: HashMap<u64, oneshot::Sender<Body>>,
    peer: Option<MachineName>,
}

/// A link to the process at one address.
pub struct Link<S> {
    addr: SocketAddr,
    identity: Identity,
    serve: Arc<S>,
    next_call: AtomicU64,
    /// Openings that were begun.
    tries: AtomicU64,
    /// Held while a connection is opened; how long the next may take to come about.
    opening: tokio::sync::Mutex<Duration>,
    open: Ranked<Open>,
}

impl<S: Serve> Link<S> {
    /// A link to `addr`, not yet connected.
    #[must_use]
    pub fn new(addr: SocketAddr, identity: Identity, serve: Arc<S>) -> Self {
        Self {
            addr,
            identity,
            serve,
            next_call: AtomicU64::new(1),
            tries: AtomicU64::new(0),
            opening: tokio::sync::Mutex::new(CONNECT_MIN),
            open: Ranked::new(Rank::Links, Open::default()),
        }
    }

    /// Address of the other process.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Name of the other process, once it has been reached.
    #[must_use]
    pub fn peer(&self) -> Option<MachineName> {
        self.open.lock().peer.clone()
    }

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    /// [`CallError::NotSent`] or [`CallError::Lost`].
    pub async fn call(
        self: &Arc<Self>,
        body: Body,
        patience: Duration,
    ) -> std::result::Result<Body, CallError> {
        let deadline = Instant::now() + patience;
        let opened = timeout_at(deadline, self.sender()).await;
        let sender = opened
            .map_err(|_| CallError::NotSent)?
            .map_err(|_| CallError::NotSent)?;
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.open.lock().waiting.insert(call, reply);
        let forget = Forget { link: self, call };
        if sender.try_send(self.envelope(call, body)).is_err() {
            return Err(CallError::NotSent);
        }
        let answered = timeout_at(deadline, answer).await;
        drop(forget);
        answered
            .map_err(|_| CallError::Lost)?
            .map_err(|_| CallError::Lost)
    }

    /// Sends a message that wants no reply; drops it when it can't be sent now.
    pub async fn tell(self: &Arc<Self>, body: Body) {
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

    fn open_sender(&self) -> Option<mpsc::Sender<Envelope>> {
        self.open.lock().sender.clone()
    }

    /// The way into the open connection; opens one where there is none. An
    /// opening goes on when whoever asked for it gives up: the next call finds
    /// it done, or further on.
    async fn sender(self: &Arc<Self>) -> Result<mpsc::Sender<Envelope>> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        tokio::spawn(Arc::clone(self).open()).await?
    }

    async fn open(self: Arc<Self>) -> Result<mpsc::Sender<Envelope>> {
        let tries = self.tries.load(Ordering::Relaxed);
        let mut patience = self.opening.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        // One try is enough for all that waited for it.
        ensure!(
            self.tries.fetch_add(1, Ordering::Relaxed) == tries,
            "the opening failed"
        );
        let connected = timeout(*patience, TcpStream::connect(self.addr)).await;
        *patience = match &connected {
            Ok(_) => CONNECT_MIN,
            Err(_) => (*patience * 2).min(CONNECT_MAX),
        };
        let stream = connected
            .context("no connection came about in time")?
            .with_context(|| format!("could not connect to {}", self.addr))?;
        let (stream, peer) = timeout(OPEN_TIMEOUT, self.greet(stream))
            .await
            .context("opening took too long")??;
        let (sender, queue) = mpsc::channel(SEND_QUEUE);
        let generation = {
            let mut open = self.open.lock();
            open.generation += 1;
            open.sender = Some(sender.clone());
            open.peer = Some(peer);
            open.generation
        };
        tokio::spawn(Arc::clone(&self).carry(stream, queue, generation));
        Ok(sender)
    }

    async fn greet(&self, stream: TcpStream) -> Result<(Stream, MachineName)> {
        stream.set_nodelay(true)?;
        let mut stream = Framed::new(stream, Frames::new());
        let peer = self.identity.open(&mut stream).await?;
        Ok((stream, peer))
    }

    async fn carry(
        self: Arc<Self>,
        stream: Stream,
        queue: mpsc::Receiver<Envelope>,
        generation: u64,
    ) {
        let ended = self.pump(stream, queue).await;
        if let Err(error) = ended {
            log::debug!(target: "peers", addr:% = self.addr, error:% = error; "link closed");
        }
        let mut open = self.open.lock();
        if open.generation == generation {
            open.sender = None;
            open.waiting.clear();
        }
    }

    async fn pump(&self, stream: Stream, mut queue: mpsc::Receiver<Envelope>) -> Result<()> {
        let (mut sink, mut source) = stream.split();
        let mut beat = interval(HEARTBEAT);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silent_at = Instant::now() + SILENCE;
        let mut used_at = Instant::now();
        loop {
            tokio::select! {
                envelope = queue.recv() => {
                    let Some(envelope) = envelope else { return Ok(()) };
                    used_at = Instant::now();
                    timeout(SILENCE, sink.send(envelope)).await??;
                }
                _ = beat.tick() => {
                    if used_at.elapsed() >= IDLE && self.close_if_idle(&mut queue) {
                        return Ok(());
                    }
                    let ping = self.envelope(0, Body::Ping(Ping {}));
                    timeout(SILENCE, sink.send(ping)).await??;
                }
                envelope = timeout_at(silent_at, source.next()) => {
                    let Some(envelope) = envelope.context("silent")? else { return Ok(()) };
                    silent_at = Instant::now() + SILENCE;
                    self.arrived(envelope?);
                }
            }
        }
    }

    /// Closes the link to further messages unless one waits to be sent or a
    /// reply is due.
    fn close_if_idle(&self, queue: &mut mpsc::Receiver<Envelope>) -> bool {
        let mut open = self.open.lock();
        if !queue.is_empty() || !open.waiting.is_empty() {
            return false;
        }
        open.sender = None;
        queue.close();
        true
    }

    fn arrived(&self, envelope: Envelope) {
        if let Some(peer) = self.peer() {
            self.serve.heard_version(&peer, envelope.config_version);
        }
        let Some(body) = envelope.body else { return };
        let waiting = self.open.lock().waiting.remove(&envelope.call);
        if let Some(reply) = waiting {
            let _ = reply.send(body);
        }
    }
}

/// Takes a call's place in the table back when nobody waits for it.
struct Forget<'a, S> {
    link: &'a Link<S>,
    call: u64,
}

impl<S> Drop for Forget<'_, S> {
    fn drop(&mut self) {
        self.link.open.lock().waiting.remove(&self.call);
    }
}
