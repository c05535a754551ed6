//! Start and end of the entry role.

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

use crate::booking::Bookings;
use crate::crossing::Crossing;
use crate::desk::{Context, api};
use crate::front;
use crate::gossip::{self, LEAVE_SPREAD, keep_members};
use crate::notices::tell;
use crate::pull::{pull_config, pull_first};
use crate::site::Site;
use crate::state::{State, Times};
use crate::tend::tend;

/// A running entry role.
pub struct Entry {
    /// Addresses that it listens on.
    pub addrs: EntryAddrs,
    state: Arc<State>,
    desk: HttpServer<Context>,
    leaving: watch::Sender<bool>,
    front: JoinHandle<()>,
    bookings: Arc<Bookings>,
    shutdown: Duration,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the entry role with these settings.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(settings: &Settings) -> Result<Entry> {
    let listen = settings.listen.context("no listen is set")?;
    let front_listener = bind(listen.front).await?;
    let link_listener = bind(listen.link).await?;
    let desk = ::http_api::start(api(), Context::default(), listen.desk)?;
    let addrs = EntryAddrs {
        front: front_listener.local_addr()?,
        desk: desk.local_addr(),
        link: link_listener.local_addr()?,
    };
    let me = myself(settings, addrs);
    let site = Site::new(&me, settings, blocks(settings)?, Instant::now());
    let secret = settings.secret.clone();
    let policy = policy(settings);
    let state = State::new(me, secret, times(settings), &policy, site)?;
    let state = Arc::new(state);
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&state)));
    if settings.policy.credits.enabled {
        state.set_crossing(Crossing::new(Arc::clone(&links)));
    }
    let replicas = settings.control.iter().map(|c| c.link).collect();
    let bookings = Arc::new(Bookings::new(Arc::clone(&links), replicas));
    state.set_bookings(Arc::clone(&bookings));
    let (leaving, left) = watch::channel(false);
    let sources: Vec<SocketAddr> = settings.control.iter().map(|c| c.link).collect();
    state.site.set_links(Arc::clone(&links));
    let mut tasks = vec![
        tokio::spawn(tend(Arc::clone(&state))),
        tokio::spawn(tell(Arc::clone(&state), Arc::clone(&links))),
        tokio::spawn(accept(link_listener, identity, Arc::clone(&state))),
        tokio::spawn(keep_members(Arc::clone(&state))),
    ];
    pull_first(&state, &links, &sources, &settings.seeds).await;
    tasks.push(tokio::spawn(pull_config(
        Arc::clone(&state),
        links,
        sources,
    )));
    let _ = desk.app_private().state.set(Arc::clone(&state));
    let front = tokio::spawn(front::serve(front_listener, Arc::clone(&state), left));
    Ok(Entry {
        addrs,
        state,
        desk,
        leaving,
        front,
        bookings,
        shutdown: ms(settings.shutdown_ms),
        tasks,
    })
}

impl Entry {
    /// Drops out of look-ups and hands its backend servers over, serves on
    /// until answers that name it have expired, ends what was accepted, stops.
    pub async fn stop(self) {
        gossip::leave(&self.state);
        let alone = self.state.site.entries(Instant::now()).is_empty();
        let spread = if alone { Duration::ZERO } else { LEAVE_SPREAD };
        sleep(spread + ms(self.state.times.lookup_ttl_ms)).await;
        self.leaving.send_replace(true);
        let _ = self.front.await;
        if timeout(self.shutdown, self.bookings.idle()).await.is_err() {
            log::warn!(target: "entry", "shutdown left operations under way");
        }
        if let Err(error) = self.desk.close().await {
            log::warn!(target: "entry", error:% = error; "desk did not close cleanly");
        }
        for task in self.tasks {
            task.abort();
        }
    }
}

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

fn myself(settings: &Settings, listen: EntryAddrs) -> EntryVm {
    let addrs = settings.advertise.unwrap_or(listen);
    EntryVm {
        name: settings.name.clone(),
        place: settings.place.clone(),
        front_addr: addrs.front,
        desk_addr: addrs.desk,
        link_addr: addrs.link,
    }
}

/// The policy; the length of a lease is set once for all.
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
