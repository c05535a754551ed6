//! Start of the control role.

use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::{ControlAddrs, Settings};
use dropshot::HttpServer;
use peers::{Identity, accept};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::desk::{Context, api};
use crate::keeper::Keeper;

/// A running control role.
pub struct Control {
    /// Addresses that it listens on.
    pub addrs: ControlAddrs,
    desk: HttpServer<Context>,
    links: JoinHandle<()>,
}

/// Starts the control role with these settings.
///
/// # Errors
/// When the data folder can't be opened or an address can't be bound.
pub async fn start(settings: &Settings) -> Result<Control> {
    let dir = settings.data_dir.clone().context("no data_dir is set")?;
    let keeper = Arc::new(Keeper::open(dir)?);
    let listen = settings
        .control_listen
        .context("no control_listen is set")?;
    let listener = TcpListener::bind(listen.link)
        .await
        .with_context(|| format!("could not bind {}", listen.link))?;
    let link = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = tokio::spawn(accept(listener, identity, Arc::clone(&keeper)));
    let context = Context {
        name: settings.name.clone(),
        keeper,
        operator_key_sha256: settings.operator_key_sha256.clone(),
    };
    let desk = ::desk::start(api(), context, listen.desk)?;
    Ok(Control {
        addrs: ControlAddrs {
            desk: desk.local_addr(),
            link,
        },
        desk,
        links,
    })
}

impl Control {
    /// Answers what has arrived, then stops.
    pub async fn stop(self) {
        if let Err(error) = self.desk.close().await {
            log::warn!(target: "control", error:% = error; "desk did not close cleanly");
        }
        self.links.abort();
    }
}
