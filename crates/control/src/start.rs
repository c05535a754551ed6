//! Start of the control role.

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::{ControlAddrs, Settings};
use dropshot::HttpServer;
use once::Limits;
use peers::{Identity, accept};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::desk::{Context, api};
use crate::keeper::Keeper;
use crate::ledger::{LEDGER_GROUP, LedgerDesk, Single};
use crate::serve::Server;

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
    let ledger = ledger(settings, &dir)?;
    let keeper = Arc::new(Keeper::open(dir)?);
    let server = Arc::new(Server {
        keeper: Arc::clone(&keeper),
        ledger,
    });
    let listen = settings
        .control_listen
        .context("no control_listen is set")?;
    let listener = TcpListener::bind(listen.link)
        .await
        .with_context(|| format!("could not bind {}", listen.link))?;
    let link = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = tokio::spawn(accept(listener, identity, server));
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

/// The ledger, on the first of the control VMs only.
fn ledger(settings: &Settings, dir: &Path) -> Result<Option<LedgerDesk<Single>>> {
    let first = settings.control.first();
    if first.is_some_and(|replica| replica.name != settings.name) {
        return Ok(None);
    }
    let single = Single::open(&dir.join(LEDGER_GROUP), Limits::default())
        .context("could not open the ledger")?;
    Ok(Some(LedgerDesk::new(single)))
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
