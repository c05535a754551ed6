//! Serves with the settings until it is told to stop.

use std::path::Path;

use anyhow::{Context, Result, bail};
use conf::{Addrs, Role, Settings};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{check, logs};

/// Line on standard output once the process serves.
#[derive(Serialize)]
struct Ready {
    ready: Addrs,
}

/// A running role.
enum Running {
    Control(control::Control),
    Entry(Box<entry::Entry>),
}

/// Serves with the settings at `path`.
pub fn run(path: &Path) -> Result<()> {
    let settings = check::load(path)?;
    logs::start(&settings.log, &settings.name)?;
    let workers = Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("could not start the workers")?;
    workers.block_on(serve(&settings))
}

async fn serve(settings: &Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not watch for SIGTERM")?;
    let running = start(settings).await?;
    let ready = Ready {
        ready: running.addrs(settings),
    };
    println!("{}", serde_json::to_string(&ready)?);
    terminate.recv().await;
    log::info!(target: "waxwingd", "leaving");
    tokio::select! {
        () = running.stop() => Ok(()),
        () = again(&mut terminate) => bail!("stopped at once by a second SIGTERM"),
    }
}

async fn again(terminate: &mut Signal) {
    terminate.recv().await;
}

async fn start(settings: &Settings) -> Result<Running> {
    match settings.roles[..] {
        [Role::Control] => Ok(Running::Control(control::start(settings).await?)),
        [Role::Entry] => Ok(Running::Entry(Box::new(entry::start(settings).await?))),
        _ => bail!("roles: one role a process is all that can be served now"),
    }
}

impl Running {
    fn addrs(&self, settings: &Settings) -> Addrs {
        match self {
            Self::Control(control) => Addrs {
                front: settings.listen.front,
                desk: control.desk_addr,
                link: control.link_addr,
            },
            Self::Entry(entry) => entry.addrs,
        }
    }

    async fn stop(self) {
        match self {
            Self::Control(control) => control.stop().await,
            Self::Entry(entry) => entry.stop().await,
        }
    }
}
