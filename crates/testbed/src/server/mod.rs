//! A stand-in backend server that announces itself and misbehaves on request.

mod announce;
mod behaviour;
mod body;
mod control;
mod gate;
mod options;
mod order;
mod runs;
mod serve;
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

/// A running stand-in; everything of it ends when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Address of the control interface.
    pub control_addr: SocketAddr,
    state: Arc<State>,
    tasks: JoinSet<()>,
}

impl Server {
    /// Binds two ports on loopback and starts to serve and to announce.
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

    /// Waits until a marked request crashes the server.
    pub async fn crashed(&self) {
        self.state.crashed().await;
    }

    /// Announces that the server is leaving, and waits until it has no work left.
    pub async fn drain(&self) {
        self.state.start_drain();
        self.state.idle().await;
    }

    /// Changes how the server behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Counters of the server.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Runs of operations that had a key.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs()
    }

    /// Ends the server at once, as a crash does.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn bind() -> anyhow::Result<TcpListener> {
    TcpListener::bind(("127.0.0.1", 0))
        .await
        .context("could not bind a port on loopback")
}
