//! Start of the control role.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::{ControlAddrs, Settings};
use dropshot::HttpServer;
use idempotency::Limits;
use peers::{Identity, Links, accept};
use quorum::{FileDisk, Machine};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use world::MachineName;

use crate::courier::{LinkCourier, Outgoing};
use crate::desk::{Context, api};
use crate::group::Group;
use crate::keeper::{CONFIG_GROUP, Keeper};
use crate::ledger::{LEDGER_GROUP, LedgerDesk, LedgerMachine};
use crate::registry::Registry;
use crate::serve::Server;

/// A running control role.
pub struct Control {
    /// Addresses that it listens on.
    pub addrs: ControlAddrs,
    desk: HttpServer<Context>,
    links: JoinHandle<()>,
    server: Arc<Server>,
}

/// Starts the control role with these settings.
///
/// # Errors
/// When the data folder can't be opened or an address can't be bound.
pub async fn start(settings: &Settings) -> Result<Control> {
    let listen = settings
        .control_listen
        .context("no control_listen is set")?;
    let listener = TcpListener::bind(listen.link)
        .await
        .with_context(|| format!("could not bind {}", listen.link))?;
    let link = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let server = serve(settings, &identity)?;
    let links = tokio::spawn(accept(listener, identity, Arc::clone(&server)));
    let context = Context {
        name: settings.name.clone(),
        server: Arc::clone(&server),
        operator_key_sha256: settings.operator_key_sha256.clone(),
    };
    let desk = ::http_api::start(api(), context, listen.desk)?;
    Ok(Control {
        addrs: ControlAddrs {
            desk: desk.local_addr(),
            link,
        },
        desk,
        links,
        server,
    })
}

/// Starts this machine's replicas and their links to the others.
fn serve(settings: &Settings, identity: &Identity) -> Result<Arc<Server>> {
    let site = Site::new(settings)?;
    let (config, config_out) = site.group(CONFIG_GROUP, Registry::default())?;
    let ledger = LedgerMachine::new(Limits::default());
    let (ledger_group, ledger_out) = site.group(LEDGER_GROUP, ledger)?;
    let keeper = Arc::new(Keeper::new(config, site.others));
    let server = Arc::new(Server {
        keeper: Arc::clone(&keeper),
        ledger: LedgerDesk::new(Arc::clone(&ledger_group)),
        ledger_group,
    });
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&server)));
    config_out.carry(&links);
    ledger_out.carry(&links);
    keeper.connect(links);
    Ok(server)
}

/// The control replicas as this machine's settings name them.
struct Site {
    me: MachineName,
    names: Vec<MachineName>,
    others: HashMap<MachineName, SocketAddr>,
    dir: PathBuf,
}

impl Site {
    fn new(settings: &Settings) -> Result<Self> {
        let me = settings.name.clone();
        let rows = settings.control.iter().filter(|c| c.name != me);
        let others: HashMap<_, _> = rows.map(|c| (c.name.clone(), c.link)).collect();
        // In the same order on every machine: the first one founds the groups.
        let mut names: Vec<MachineName> = others.keys().cloned().collect();
        names.push(me.clone());
        names.sort();
        Ok(Self {
            me,
            names,
            others,
            dir: settings.data_dir.clone().context("no data_dir is set")?,
        })
    }

    fn group<M>(
        &self,
        name: &'static str,
        machine: M,
    ) -> Result<(Arc<Group<M, LinkCourier>>, Outgoing)>
    where
        M: Machine + Send + 'static,
        M::Output: Send,
    {
        let disk = FileDisk::new(&self.dir.join(name))?;
        let replica = quorum::Settings::new(self.me.clone(), self.names.clone(), rand::random());
        let (courier, outgoing) = LinkCourier::new(name, self.others.clone());
        let group = Group::start(replica, disk, machine, courier)
            .with_context(|| format!("could not open the group {name}"))?;
        Ok((group, outgoing))
    }
}

impl Control {
    /// Answers what has arrived, then stops.
    pub async fn stop(self) {
        if let Err(error) = self.desk.close().await {
            log::warn!(target: "control", error:% = error; "desk did not close cleanly");
        }
        self.links.abort();
        self.server.keeper.group.stop();
        self.server.ledger_group.stop();
    }
}
