//! A stand-in backend server: it announces itself to entry VMs, serves HTTP
//! requests, and delays, fails or falsifies responses as its settings say.

mod announce;
mod behaviour;
mod body;
mod control;
mod options;
mod parsed_request;
mod runs;
mod serve;
mod slots;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use behaviour::{Behaviour, Health, Report};
pub use options::Options;
pub use runs::{Run, Stats};
use state::State;

/// A running stand-in backend server; dropping it stops all its tasks.
#[derive(Debug)]
pub struct Server {
    /// Address that serves requests.
    pub addr: SocketAddr,
    /// Address of the control interface for tests.
    pub control_addr: SocketAddr,
    state: Arc<State>,
    tasks: JoinSet<()>,
}

impl Server {
    /// Binds two ports on loopback and starts serving and announcing.
    ///
    /// # Errors
    /// When a port can't be bound.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        let listener = bind().await?;
        let control = bind().await?;
        let addr = listener.local_addr()?;
        let control_addr = control.local_addr()?;
        let state = Arc::new(State::new(options, addr));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve::accept(listener, Arc::clone(&state)));
        tasks.spawn(control::accept(control, Arc::clone(&state)));
        tasks.spawn(announce::renew(Arc::clone(&state)));
        Ok(Self {
            addr,
            control_addr,
            state,
            tasks,
        })
    }

    /// Waits until a request with the header `x-rig-crash` or the query parameter
    /// `rig-crash` ends the server.
    pub async fn crashed(&self) {
        self.state.crashed().await;
    }

    /// Announces that the server is draining, and waits until it is idle.
    pub async fn drain(&self) {
        self.state.start_drain();
        self.state.wait_idle().await;
    }

    /// Replaces the server's behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Returns the server's counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Returns the runs of requests with an idempotency key.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs()
    }

    /// Stops the server at once without a drain, as a crash does.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn bind() -> anyhow::Result<TcpListener> {
    TcpListener::bind(("127.0.0.1", 0))
        .await
        .context("could not bind a port on loopback")
}
