//! Starts and stops the control role of a VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use conf::{ControlAddrs, Settings};
use dropshot::HttpServer;
use idempotency::Limits;
use peers::{Identity, Links, accept};
use quorum::{FileDisk, StateMachine};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use world::MachineName;

use crate::api::{Context, description};
use crate::config_state_machine::ConfigStateMachine;
use crate::group::Group;
use crate::ledger::{LEDGER_GROUP, LedgerHandler, LedgerStateMachine};
use crate::replicated_config::{CONFIG_GROUP, ReplicatedConfig};
use crate::replication_transport::{LinkTransport, QueueReceivers};
use crate::serve::Replicas;

/// A running control role.
pub struct Control {
    /// Addresses it listens on.
    pub addrs: ControlAddrs,
    api: HttpServer<Context>,
    accept_loop: JoinHandle<()>,
    replicas: Arc<Replicas>,
}

/// Starts the control role.
///
/// # Errors
/// If a required setting is missing, the data folder can't be opened or an
/// address can't be bound.
pub async fn start(settings: &Settings) -> Result<Control> {
    let listen = settings
        .control_listen
        .context("no control_listen is set")?;
    let listener = TcpListener::bind(listen.link)
        .await
        .with_context(|| format!("could not bind {}", listen.link))?;
    let link_addr = listener.local_addr()?;
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let replicas = start_replicas(settings, &identity)?;
    let accept_loop = tokio::spawn(accept(listener, identity, Arc::clone(&replicas)));
    let context = Context {
        name: settings.name.clone(),
        replicas: Arc::clone(&replicas),
        operator_key_sha256: settings.operator_key_sha256.clone(),
    };
    let api = ::http_api::start(description(), context, listen.desk)?;
    Ok(Control {
        addrs: ControlAddrs {
            desk: api.local_addr(),
            link: link_addr,
        },
        api,
        accept_loop,
        replicas,
    })
}

/// Starts this machine's replicas and their links to the other control VMs.
fn start_replicas(settings: &Settings, identity: &Identity) -> Result<Arc<Replicas>> {
    let control_vms = ControlVms::new(settings)?;
    let (config_group, config_queues) =
        control_vms.start_group(CONFIG_GROUP, ConfigStateMachine::default())?;
    let ledger = LedgerStateMachine::new(Limits::default());
    let (ledger_group, ledger_queues) = control_vms.start_group(LEDGER_GROUP, ledger)?;
    let config = Arc::new(ReplicatedConfig::new(config_group, control_vms.others));
    let replicas = Arc::new(Replicas {
        config: Arc::clone(&config),
        ledger: LedgerHandler::new(Arc::clone(&ledger_group)),
        ledger_group,
    });
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&replicas)));
    config_queues.send_over(&links);
    ledger_queues.send_over(&links);
    config.set_links(links);
    Ok(replicas)
}

/// The control VMs named in the settings; each runs a replica of every group.
struct ControlVms {
    me: MachineName,
    names: Vec<MachineName>,
    /// Link addresses of the other control VMs.
    others: HashMap<MachineName, SocketAddr>,
    data_dir: PathBuf,
}

impl ControlVms {
    fn new(settings: &Settings) -> Result<Self> {
        let me = settings.name.clone();
        let others = settings.control.iter().filter(|c| c.name != me);
        let others: HashMap<_, _> = others.map(|c| (c.name.clone(), c.link)).collect();
        // Sorted, because every machine must have the same order: the first one
        // bootstraps the groups.
        let mut names: Vec<MachineName> = others.keys().cloned().collect();
        names.push(me.clone());
        names.sort();
        Ok(Self {
            me,
            names,
            others,
            data_dir: settings.data_dir.clone().context("no data_dir is set")?,
        })
    }

    fn start_group<M>(
        &self,
        name: &'static str,
        state_machine: M,
    ) -> Result<(Arc<Group<M, LinkTransport>>, QueueReceivers)>
    where
        M: StateMachine + Send + 'static,
        M::Output: Send,
    {
        let disk = FileDisk::new(&self.data_dir.join(name))?;
        let settings = quorum::Settings::new(self.me.clone(), self.names.clone(), rand::random());
        let (transport, queues) = LinkTransport::new(name, self.others.clone());
        let group = Group::start(settings, disk, state_machine, transport)
            .with_context(|| format!("could not open the group {name}"))?;
        Ok((group, queues))
    }
}

impl Control {
    /// Finishes the accepted HTTP requests, then stops accepting links and stops the
    /// replicas.
    pub async fn stop(self) {
        if let Err(error) = self.api.close().await {
            log::warn!(target: "control", error:% = error; "could not close the control API");
        }
        self.accept_loop.abort();
        self.replicas.config.group.stop();
        self.replicas.ledger_group.stop();
    }
}
