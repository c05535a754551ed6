//! A TCP relay for fault injection: it can delay, hold, reset or silence the
//! connections between two processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks buffered in one direction of a connection.
const CHUNKS_MAX: usize = 256;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// Returns the time in which this number of bytes is sent; the rate must be above 0.
#[must_use]
pub fn transfer_time(bytes: u64, rate_bytes_per_s: u64) -> Duration {
    Duration::from_micros(bytes.saturating_mul(US_PER_S) / rate_bytes_per_s)
}

/// One direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// Treatment of bytes and connections by the relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Resets open and new connections.
    Reset,
    /// Holds all bytes and new connections until the mode changes, as a network
    /// partition does to TCP.
    HoldAll,
    /// Holds the bytes of one direction until the mode changes.
    Hold(Direction),
}

/// Settings of a relay, which may change while connections are open.
#[derive(Clone, Debug, Default)]
struct Settings {
    target: Option<SocketAddr>,
    mode: Mode,
    up_delay: Duration,
    down_delay: Duration,
    rate_bytes_per_s: u64,
    /// Connections that were opened at a lower generation forward nothing any more.
    generation: u64,
    /// Whether the port is closed for good.
    closed: bool,
}

/// A running relay; dropping it closes its port and its connections.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub addr: SocketAddr,
    settings: Arc<watch::Sender<Settings>>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay on a free port of loopback; connections wait until a target is set.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> anyhow::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a relay on this address; connections wait until a target is set.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start_at(addr: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| format!("could not bind {addr}"))?;
        let addr = listener.local_addr()?;
        let settings = Arc::new(watch::Sender::new(Settings::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, settings.subscribe()));
        Ok(Self {
            addr,
            settings,
            _tasks: tasks,
        })
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.settings.send_modify(|s| s.target = Some(target));
    }

    /// Sets the treatment of bytes and connections from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.settings.send_modify(|s| s.mode = mode);
    }

    /// Sets the delay of each direction, for bytes read from now on.
    pub fn set_delay(&self, up: Duration, down: Duration) {
        self.settings.send_modify(|s| {
            s.up_delay = up;
            s.down_delay = down;
        });
    }

    /// Limits the rate of each direction of each connection; 0 is no limit.
    pub fn set_rate(&self, rate_bytes_per_s: u64) {
        self.settings
            .send_modify(|s| s.rate_bytes_per_s = rate_bytes_per_s);
    }

    /// Silences every open connection for good without closing it, as a firewall does
    /// that loses its connection table; new connections work.
    pub fn silence_connections(&self) {
        self.settings.send_modify(|s| s.generation += 1);
    }

    /// Resets open connections and closes the port for good, as when the process behind
    /// it ends.
    pub fn close(&self) {
        self.settings.send_modify(|s| {
            s.mode = Mode::Reset;
            s.closed = true;
        });
    }
}

async fn accept(listener: TcpListener, settings: watch::Receiver<Settings>) {
    let mut connections = JoinSet::new();
    let mut closes = settings.clone();
    loop {
        tokio::select! {
            _ = wait_for(&mut closes, |s| s.closed) => break,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connect(stream, settings.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Forwards a client's connection to the target until both directions are closed or
/// the relay resets it.
async fn connect(mut client: TcpStream, mut settings: watch::Receiver<Settings>) {
    let is_open = |s: &Settings| s.target.is_some() && s.mode != Mode::HoldAll;
    let Some(target) = wait_for(&mut settings, is_open)
        .await
        .and_then(|s| s.target)
    else {
        return;
    };
    if settings.borrow().mode == Mode::Reset {
        reset(&client);
        return;
    }
    let generation = settings.borrow().generation;
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let mut resets = settings.clone();
    let up = Forwarder::new(Direction::Up, generation, settings.clone());
    let down = Forwarder::new(Direction::Down, generation, settings);
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let was_reset = tokio::select! {
        _ = async { tokio::join!(up.run(client_read, upstream_write), down.run(upstream_read, client_write)) } => false,
        _ = wait_for(&mut resets, |s| s.mode == Mode::Reset) => true,
    };
    if was_reset {
        reset(&client);
        reset(&upstream);
    }
}

/// Makes the socket send a TCP reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Waits for settings that satisfy the condition; `None` when the relay was dropped.
async fn wait_for(
    settings: &mut watch::Receiver<Settings>,
    matches: impl Fn(&Settings) -> bool,
) -> Option<Settings> {
    settings
        .wait_for(|s| matches(s))
        .await
        .ok()
        .map(|s| s.clone())
}

/// Forwards one direction of a connection.
struct Forwarder {
    direction: Direction,
    generation: u64,
    settings: watch::Receiver<Settings>,
}

/// Bytes read from one side, and the time at which to write them to the other.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

impl Forwarder {
    fn new(direction: Direction, generation: u64, settings: watch::Receiver<Settings>) -> Self {
        Self {
            direction,
            generation,
            settings,
        }
    }

    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) {
        let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
        let delay_settings = self.settings.clone();
        tokio::join!(
            read(from, sender, self.direction, delay_settings),
            self.write(to, receiver)
        );
    }

    async fn write(mut self, mut to: WriteHalf<'_>, mut chunks: mpsc::Receiver<Chunk>) {
        while let Some(chunk) = chunks.recv().await {
            // A sleep until a past time still lasts until the timer's next millisecond.
            if chunk.due > Instant::now() {
                sleep_until(chunk.due).await;
            }
            if !self.wait_may_send().await || to.write_all(&chunk.bytes).await.is_err() {
                return;
            }
            self.pace(chunk.bytes.len()).await;
        }
        if self.wait_may_send().await {
            let _ = to.shutdown().await;
        }
    }

    /// Waits until the mode lets this direction pass; returns `false` when the relay was
    /// dropped, and never returns for a silenced connection.
    async fn wait_may_send(&mut self) -> bool {
        let direction = self.direction;
        let passes = |s: &Settings| s.mode != Mode::HoldAll && s.mode != Mode::Hold(direction);
        let Some(settings) = wait_for(&mut self.settings, passes).await else {
            return false;
        };
        if settings.generation > self.generation {
            std::future::pending::<()>().await;
        }
        true
    }

    /// Sleeps for as long as the sent bytes take at the rate limit.
    async fn pace(&self, sent: usize) {
        let rate = self.settings.borrow().rate_bytes_per_s;
        if rate > 0 {
            sleep(transfer_time(sent as u64, rate)).await;
        }
    }
}

/// Reads one side until it closes and queues each chunk with its time to be written.
async fn read(
    mut from: ReadHalf<'_>,
    chunks: mpsc::Sender<Chunk>,
    direction: Direction,
    settings: watch::Receiver<Settings>,
) {
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    loop {
        buffer.reserve(CHUNK_BYTES);
        match from.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let delay = match direction {
            Direction::Up => settings.borrow().up_delay,
            Direction::Down => settings.borrow().down_delay,
        };
        let chunk = Chunk {
            due: Instant::now() + delay,
            bytes: buffer.split().freeze(),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}
