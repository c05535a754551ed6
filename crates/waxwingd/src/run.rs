//! Serves with the settings until it is told to stop.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result, bail};
use conf::{ReplicaAddr, Role, Settings};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{check, logs};

/// Line on standard output once the process serves.
#[derive(Serialize)]
struct Line {
    ready: Ready,
}

/// The addresses of the roles that were started.
#[derive(Serialize)]
struct Ready {
    #[serde(skip_serializing_if = "Option::is_none")]
    front: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    desk: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    link: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    control_desk: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    control_link: Option<SocketAddr>,
}

/// The roles of this VM.
struct Running {
    control: Option<control::Control>,
    entry: Option<entry::Entry>,
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
    let line = Line {
        ready: running.ready(),
    };
    println!("{}", serde_json::to_string(&line)?);
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
    let mut running = Running {
        control: None,
        entry: None,
    };
    let mut settings = settings.clone();
    if settings.roles.contains(&Role::Control) {
        let control = control::start(&settings).await?;
        // The entry role of a small site asks the control role beside it.
        settings.control.push(ReplicaAddr {
            name: settings.name.clone(),
            link: control.addrs.link,
        });
        running.control = Some(control);
    }
    if settings.roles.contains(&Role::Entry) {
        running.entry = Some(entry::start(&settings).await?);
    }
    Ok(running)
}

impl Running {
    fn ready(&self) -> Ready {
        let entry = self.entry.as_ref().map(|e| e.addrs);
        let control = self.control.as_ref().map(|c| c.addrs);
        Ready {
            front: entry.map(|a| a.front),
            desk: entry.map(|a| a.desk),
            link: entry.map(|a| a.link),
            control_desk: control.map(|a| a.desk),
            control_link: control.map(|a| a.link),
        }
    }

    async fn stop(self) {
        if let Some(entry) = self.entry {
            entry.stop().await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
    }
}
