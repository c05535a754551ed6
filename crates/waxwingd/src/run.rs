//! Runs the roles of this VM until SIGTERM.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result, bail};
use conf::{ReplicaAddr, Role, Settings};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{check, logs};

/// Line of JSON printed on standard output once the process serves.
#[derive(Serialize)]
struct ReadyLine {
    ready: Ready,
}

/// Addresses that the started roles listen on.
#[derive(Serialize)]
struct Ready {
    /// Clients' requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    front: Option<SocketAddr>,
    /// API of the entry role.
    #[serde(skip_serializing_if = "Option::is_none")]
    desk: Option<SocketAddr>,
    /// Links to the entry role.
    #[serde(skip_serializing_if = "Option::is_none")]
    link: Option<SocketAddr>,
    /// API of the control role.
    #[serde(skip_serializing_if = "Option::is_none")]
    control_desk: Option<SocketAddr>,
    /// Links to the control role.
    #[serde(skip_serializing_if = "Option::is_none")]
    control_link: Option<SocketAddr>,
}

/// The running roles of this VM.
struct RunningRoles {
    control: Option<control::Control>,
    entry: Option<entry::Entry>,
}

/// Runs the roles named in the settings file at `path` until SIGTERM. Accepted
/// requests are then finished, unless a second SIGTERM arrives.
pub fn run(path: &Path) -> Result<()> {
    let settings = check::load(path)?;
    logs::start(&settings.log, &settings.name)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("could not start the workers")?;
    runtime.block_on(serve(&settings))
}

async fn serve(settings: &Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not watch for SIGTERM")?;
    let running = start(settings).await?;
    let line = ReadyLine {
        ready: running.ready(),
    };
    println!("{}", serde_json::to_string(&line)?);
    terminate.recv().await;
    log::info!(target: "waxwingd", "leaving");
    tokio::select! {
        () = running.stop() => Ok(()),
        () = second_sigterm(&mut terminate) => bail!("stopped at once by a second SIGTERM"),
    }
}

async fn second_sigterm(terminate: &mut Signal) {
    terminate.recv().await;
}

async fn start(settings: &Settings) -> Result<RunningRoles> {
    let mut running = RunningRoles {
        control: None,
        entry: None,
    };
    let mut settings = settings.clone();
    if settings.roles.contains(&Role::Control) {
        let control = control::start(&settings).await?;
        // On a small site one VM runs both roles: its entry role also calls the
        // control role of the same process.
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

impl RunningRoles {
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
