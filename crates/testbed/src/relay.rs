//! A TCP relay that delays, freezes, cuts or silently loses connections.

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

/// Most bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Pieces on their way in one direction of a connection.
const PIECES_MAX: usize = 256;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// Time that this many bytes take at a rate above 0.
#[must_use]
pub fn time_of(bytes: u64, rate_bytes_per_s: u64) -> Duration {
    Duration::from_micros(bytes.saturating_mul(US_PER_S) / rate_bytes_per_s)
}

/// One direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that connected to the target.
    Up,
    /// From the target back.
    Down,
}

/// What the relay does with bytes and connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Resets connections, old and new.
    Cut,
    /// Holds everything, as a partition does to TCP, until it passes again.
    Freeze,
    /// Holds one direction until it passes again.
    Hold(Direction),
}

#[derive(Clone, Debug, Default)]
struct Plan {
    target: Option<SocketAddr>,
    mode: Mode,
    up_delay: Duration,
    down_delay: Duration,
    rate_bytes_per_s: u64,
    /// Connections of a lower generation are silent for good.
    generation: u64,
}

/// A running relay; it ends with its connections when it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub addr: SocketAddr,
    plan: Arc<watch::Sender<Plan>>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Binds a port on loopback; connections wait until a target is set.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> anyhow::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Binds this address; connections wait until a target is set.
    ///
    /// # Errors
    /// When it can't be bound.
    pub async fn start_at(addr: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| format!("could not bind {addr}"))?;
        let addr = listener.local_addr()?;
        let plan = Arc::new(watch::Sender::new(Plan::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, plan.subscribe()));
        Ok(Self {
            addr,
            plan,
            _tasks: tasks,
        })
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.plan.send_modify(|p| p.target = Some(target));
    }

    /// Sets what happens to bytes and connections from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.plan.send_modify(|p| p.mode = mode);
    }

    /// Sets the delay of each direction.
    pub fn set_delay(&self, up: Duration, down: Duration) {
        self.plan.send_modify(|p| {
            p.up_delay = up;
            p.down_delay = down;
        });
    }

    /// Sets the rate of each direction of a connection; 0 is no limit.
    pub fn set_rate(&self, rate_bytes_per_s: u64) {
        self.plan
            .send_modify(|p| p.rate_bytes_per_s = rate_bytes_per_s);
    }

    /// Loses track of every open connection: they stay open and silent for
    /// good, while new ones work.
    pub fn forget_connections(&self) {
        self.plan.send_modify(|p| p.generation += 1);
    }
}

async fn accept(listener: TcpListener, plan: watch::Receiver<Plan>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connect(stream, plan.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(mut near: TcpStream, mut plan: watch::Receiver<Plan>) {
    let is_open = |p: &Plan| p.target.is_some() && p.mode != Mode::Freeze;
    let Some(target) = wait_for(&mut plan, is_open).await.and_then(|p| p.target) else {
        return;
    };
    if plan.borrow().mode == Mode::Cut {
        reset(&near);
        return;
    }
    let generation = plan.borrow().generation;
    let Ok(mut far) = TcpStream::connect(target).await else {
        reset(&near);
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let mut cut = plan.clone();
    let up = Pump::new(Direction::Up, generation, plan.clone());
    let down = Pump::new(Direction::Down, generation, plan);
    let (near_in, near_out) = near.split();
    let (far_in, far_out) = far.split();
    let was_cut = tokio::select! {
        _ = async { tokio::join!(up.run(near_in, far_out), down.run(far_in, near_out)) } => false,
        _ = wait_for(&mut cut, |p| p.mode == Mode::Cut) => true,
    };
    if was_cut {
        reset(&near);
        reset(&far);
    }
}

/// Makes the socket send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn wait_for(plan: &mut watch::Receiver<Plan>, is: impl Fn(&Plan) -> bool) -> Option<Plan> {
    plan.wait_for(|p| is(p)).await.ok().map(|p| p.clone())
}

struct Pump {
    direction: Direction,
    generation: u64,
    plan: watch::Receiver<Plan>,
}

struct Piece {
    due: Instant,
    bytes: Bytes,
}

impl Pump {
    fn new(direction: Direction, generation: u64, plan: watch::Receiver<Plan>) -> Self {
        Self {
            direction,
            generation,
            plan,
        }
    }

    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) {
        let (send, receive) = mpsc::channel(PIECES_MAX);
        let delay_plan = self.plan.clone();
        tokio::join!(
            read(from, send, self.direction, delay_plan),
            self.write(to, receive)
        );
    }

    async fn write(mut self, mut to: WriteHalf<'_>, mut pieces: mpsc::Receiver<Piece>) {
        while let Some(piece) = pieces.recv().await {
            // Even a sleep that is over already may last to the timer's next millisecond.
            if piece.due > Instant::now() {
                sleep_until(piece.due).await;
            }
            if !self.may_pass().await || to.write_all(&piece.bytes).await.is_err() {
                return;
            }
            self.pace(piece.bytes.len()).await;
        }
        if self.may_pass().await {
            let _ = to.shutdown().await;
        }
    }

    /// Waits until this direction passes; never returns for a forgotten connection.
    async fn may_pass(&mut self) -> bool {
        let direction = self.direction;
        let passes = |p: &Plan| p.mode != Mode::Freeze && p.mode != Mode::Hold(direction);
        let Some(plan) = wait_for(&mut self.plan, passes).await else {
            return false;
        };
        if plan.generation > self.generation {
            std::future::pending::<()>().await;
        }
        true
    }

    async fn pace(&self, sent: usize) {
        let rate = self.plan.borrow().rate_bytes_per_s;
        if rate > 0 {
            sleep(time_of(sent as u64, rate)).await;
        }
    }
}

async fn read(
    mut from: ReadHalf<'_>,
    pieces: mpsc::Sender<Piece>,
    direction: Direction,
    plan: watch::Receiver<Plan>,
) {
    let mut buffer = BytesMut::with_capacity(PIECE_BYTES);
    loop {
        buffer.reserve(PIECE_BYTES);
        match from.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let delay = match direction {
            Direction::Up => plan.borrow().up_delay,
            Direction::Down => plan.borrow().down_delay,
        };
        let piece = Piece {
            due: Instant::now() + delay,
            bytes: buffer.split().freeze(),
        };
        if pieces.send(piece).await.is_err() {
            return;
        }
    }
}
