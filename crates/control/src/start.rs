//! Start of the control role.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::Settings;
use dropshot::HttpServer;
use peers::{Identity, accept};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::desk::{Context, api};
use crate::keeper::Keeper;

/// A running control role.
pub struct Control {
    /// Address of its desk.
    pub desk_addr: SocketAddr,
    /// Address of its links.
    pub link_addr: SocketAddr,
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
    let listener = TcpListener::bind(settings.listen.link)
        .await
        .with_context(|| format!("could not bind {}", settings.listen.link))?;
    let link_addr = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = tokio::spawn(accept(listener, identity, Arc::clone(&keeper)));
    let context = Context {
        name: settings.name.clone(),
        keeper,
        operator_key_sha256: settings.operator_key_sha256.clone(),
    };
    let desk = ::desk::start(api(), context, settings.listen.desk)?;
    Ok(Control {
        desk_addr: desk.local_addr(),
        link_addr,
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
