//! Start of the control role.

<<<<<<< HEAD
use std::collections::HashMap;
=======
>>>>>>> main
use std::path::Path;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::{ControlAddrs, Settings};
use dropshot::HttpServer;
<<<<<<< HEAD
use peers::{Identity, Links, accept};
use quorum::FileDisk;
=======
use once::Limits;
use peers::{Identity, accept};
>>>>>>> main
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use world::MachineName;

use crate::courier::LinkCourier;
use crate::desk::{Context, api};
<<<<<<< HEAD
use crate::keeper::{CONFIG_GROUP, Keeper};
=======
use crate::keeper::Keeper;
use crate::ledger::{LEDGER_GROUP, LedgerDesk, Single};
use crate::serve::Server;
>>>>>>> main

/// A running control role.
pub struct Control {
    /// Addresses that it listens on.
    pub addrs: ControlAddrs,
    desk: HttpServer<Context>,
    links: JoinHandle<()>,
    keeper: Arc<Keeper>,
}

/// Starts the control role with these settings.
///
/// # Errors
/// When the data folder can't be opened or an address can't be bound.
pub async fn start(settings: &Settings) -> Result<Control> {
    let dir = settings.data_dir.clone().context("no data_dir is set")?;
<<<<<<< HEAD
=======
    let ledger = ledger(settings, &dir)?;
    let keeper = Arc::new(Keeper::open(dir)?);
    let server = Arc::new(Server {
        keeper: Arc::clone(&keeper),
        ledger,
    });
>>>>>>> main
    let listen = settings
        .control_listen
        .context("no control_listen is set")?;
    let listener = TcpListener::bind(listen.link)
        .await
        .with_context(|| format!("could not bind {}", listen.link))?;
    let link = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
<<<<<<< HEAD
    let keeper = keep(settings, &dir, &identity)?;
    let links = tokio::spawn(accept(listener, identity, Arc::clone(&keeper)));
    let kept = Arc::clone(&keeper);
=======
    let links = tokio::spawn(accept(listener, identity, server));
>>>>>>> main
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
        keeper: kept,
    })
}

<<<<<<< HEAD
/// Starts this machine's replica of the configuration and its links to the others.
fn keep(settings: &Settings, dir: &Path, identity: &Identity) -> Result<Arc<Keeper>> {
    let me = &settings.name;
    let mut names: Vec<MachineName> = settings.control.iter().map(|c| c.name.clone()).collect();
    names.push(me.clone());
    names.sort();
    names.dedup();
    let others = settings.control.iter().filter(|c| c.name != *me);
    let addrs: HashMap<_, _> = others.map(|c| (c.name.clone(), c.link)).collect();
    let (courier, outgoing) = LinkCourier::new(CONFIG_GROUP, addrs.clone());
    let disk = FileDisk::new(&dir.join(CONFIG_GROUP))?;
    let replica = quorum::Settings::new(me.clone(), names, rand::random());
    let keeper = Arc::new(Keeper::new(replica, disk, courier, addrs)?);
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&keeper)));
    outgoing.carry(&links);
    keeper.connect(links);
    Ok(keeper)
=======
/// The ledger, on the first of the control VMs only.
fn ledger(settings: &Settings, dir: &Path) -> Result<Option<LedgerDesk<Single>>> {
    let first = settings.control.first();
    if first.is_some_and(|replica| replica.name != settings.name) {
        return Ok(None);
    }
    let single = Single::open(&dir.join(LEDGER_GROUP), Limits::default())
        .context("could not open the ledger")?;
    Ok(Some(LedgerDesk::new(single)))
>>>>>>> main
}

impl Control {
    /// Answers what has arrived, then stops.
    pub async fn stop(self) {
        if let Err(error) = self.desk.close().await {
            log::warn!(target: "control", error:% = error; "desk did not close cleanly");
        }
        self.links.abort();
        self.keeper.stop();
    }
}
