//! Startup and shutdown of the entry role.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use conf::{EntryAddrs, PolicySettings, Settings};
use dropshot::HttpServer;
use peers::{Identity, Links, accept};
use steer::{Blocks, Places};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use world::EntryVm;
use world::unit::ms;

use crate::api::{self, Context};
use crate::config_sync::{initial_sync, sync_config};
use crate::cross_vm::CreditRequester;
use crate::front;
use crate::gossip::{self, LEAVE_PROPAGATION, run_membership};
use crate::maintenance::run_maintenance;
use crate::operations::OperationRunner;
use crate::site::Site;
use crate::state::{State, Times};
use crate::status_notices::send_status_notices;

/// A running entry role.
pub struct Entry {
    /// Addresses that the role listens on.
    pub addrs: EntryAddrs,
    state: Arc<State>,
    api_server: HttpServer<Context>,
    leaving: watch::Sender<bool>,
    front: JoinHandle<()>,
    operation_runner: Arc<OperationRunner>,
    shutdown: Duration,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the entry role.
///
/// # Errors
/// When an address can't be bound, or the blocks file can't be read.
pub async fn start(settings: &Settings) -> Result<Entry> {
    let listen = settings.listen.context("no listen is set")?;
    let front_listener = bind(listen.front).await?;
    let link_listener = bind(listen.link).await?;
    let api_server = ::http_api::start(api::description(), Context::default(), listen.desk)?;
    let addrs = EntryAddrs {
        front: front_listener.local_addr()?,
        desk: api_server.local_addr(),
        link: link_listener.local_addr()?,
    };
    let me = own_entry(settings, addrs);
    let site = Site::new(&me, settings, blocks(settings)?, Instant::now());
    let secret = settings.secret.clone();
    let policy = policy(settings);
    let state = State::new(me, secret, times(settings), &policy, site)?;
    let state = Arc::new(state);
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&state)));
    if settings.policy.credits.enabled {
        state.set_credit_requester(CreditRequester::new(Arc::clone(&links)));
    }
    let replicas = settings.control.iter().map(|c| c.link).collect();
    let operation_runner = Arc::new(OperationRunner::new(Arc::clone(&links), replicas));
    state.set_operation_runner(Arc::clone(&operation_runner));
    let (leaving, leaving_receiver) = watch::channel(false);
    let replicas: Vec<SocketAddr> = settings.control.iter().map(|c| c.link).collect();
    state.site.set_links(Arc::clone(&links));
    let mut tasks = vec![
        tokio::spawn(run_maintenance(Arc::clone(&state))),
        tokio::spawn(send_status_notices(Arc::clone(&state), Arc::clone(&links))),
        tokio::spawn(accept(link_listener, identity, Arc::clone(&state))),
        tokio::spawn(run_membership(Arc::clone(&state))),
    ];
    initial_sync(&state, &links, &replicas, &settings.seeds).await;
    tasks.push(tokio::spawn(sync_config(
        Arc::clone(&state),
        links,
        replicas,
    )));
    let _ = api_server.app_private().state.set(Arc::clone(&state));
    let front = tokio::spawn(front::serve(
        front_listener,
        Arc::clone(&state),
        leaving_receiver,
    ));
    Ok(Entry {
        addrs,
        state,
        api_server,
        leaving,
        front,
        operation_runner,
        shutdown: ms(settings.shutdown_ms),
        tasks,
    })
}

impl Entry {
    /// Announces that this VM leaves, so that lookups no longer return it and its backend
    /// servers get other owners. Serves until cached lookup responses that name this VM
    /// have expired, finishes the accepted requests and stops.
    pub async fn stop(self) {
        gossip::leave(&self.state);
        let alone = self.state.site.entries(Instant::now()).is_empty();
        let propagation = if alone {
            Duration::ZERO
        } else {
            LEAVE_PROPAGATION
        };
        sleep(propagation + ms(self.state.times.lookup_ttl_ms)).await;
        self.leaving.send_replace(true);
        let _ = self.front.await;
        if timeout(self.shutdown, self.operation_runner.idle())
            .await
            .is_err()
        {
            log::warn!(target: "entry", "shutdown timeout expired with operations still running");
        }
        if let Err(error) = self.api_server.close().await {
            log::warn!(target: "entry", error:% = error; "API server did not shut down cleanly");
        }
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Reads the client address blocks; none when no file is set.
fn blocks(settings: &Settings) -> Result<Blocks> {
    let Some(path) = &settings.blocks else {
        return Ok(Blocks::default());
    };
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("could not open {file}"))?;
    let lists = conf::parse_blocks(&file, &text)?;
    Ok(Blocks::new(&Places::new(&settings.zones), &lists)?)
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("could not bind {addr}"))
}

/// Describes this VM to other VMs: with the advertised addresses if they are set, or
/// else with those it listens on.
fn own_entry(settings: &Settings, listen: EntryAddrs) -> EntryVm {
    let addrs = settings.advertise.unwrap_or(listen);
    EntryVm {
        name: settings.name.clone(),
        place: settings.place.clone(),
        front_addr: addrs.front,
        desk_addr: addrs.desk,
        link_addr: addrs.link,
    }
}

/// Policy settings with the site's lease duration.
fn policy(settings: &Settings) -> PolicySettings {
    let mut policy = settings.policy.clone();
    policy.fleet.lease_ms = settings.lease_ms;
    policy
}

fn times(settings: &Settings) -> Times {
    Times {
        lookup_ttl_ms: settings.lookup_ttl_ms,
        lease_ms: settings.lease_ms,
        shutdown_ms: settings.shutdown_ms,
    }
}
