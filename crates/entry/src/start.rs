//! Start and end of the entry role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use conf::{Addrs, Settings};
use dropshot::HttpServer;
use peers::{Identity, Links, accept};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use world::EntryVm;
use world::unit::ms;

use crate::booking::Bookings;
use crate::desk::{Context, api};
use crate::front;
use crate::pull::{pull_config, tell_members};
use crate::state::{State, Times};

/// A running entry role.
pub struct Entry {
    /// Addresses that it listens on.
    pub addrs: Addrs,
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
    let desk = ::desk::start(api(), Context::default(), listen.desk)?;
    let addrs = Addrs {
        front: front_listener.local_addr()?,
        desk: desk.local_addr(),
        link: link_listener.local_addr()?,
    };
    let state = Arc::new(State::new(
        myself(settings, addrs),
        settings.secret.clone(),
        times(settings),
    ));
    let _ = desk.app_private().state.set(Arc::clone(&state));
    let identity = Identity::new(settings.name.clone(), settings.secret.clone());
    let links = Arc::new(Links::new(identity.clone(), Arc::clone(&state)));
    let replicas = settings.control.iter().map(|c| c.link).collect();
    let bookings = Arc::new(Bookings::new(Arc::clone(&links), replicas));
    state.set_bookings(Arc::clone(&bookings));
    let (leaving, left) = watch::channel(false);
    let sources = settings.control.iter().map(|c| c.link).collect();
    let tasks = vec![
        tokio::spawn(accept(link_listener, identity, Arc::clone(&state))),
        tokio::spawn(pull_config(Arc::clone(&state), Arc::clone(&links), sources)),
        tokio::spawn(tell_members(
            Arc::clone(&state),
            links,
            settings.seeds.clone(),
        )),
    ];
    let front = tokio::spawn(front::serve(front_listener, state, left));
    Ok(Entry {
        addrs,
        desk,
        leaving,
        front,
        bookings,
        shutdown: ms(settings.shutdown_ms),
        tasks,
    })
}

impl Entry {
    /// Takes nothing new, ends what was accepted, then stops.
    pub async fn stop(self) {
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

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("could not bind {addr}"))
}

fn myself(settings: &Settings, listen: Addrs) -> EntryVm {
    let addrs = settings.advertise.unwrap_or(listen);
    EntryVm {
        name: settings.name.clone(),
        place: settings.place.clone(),
        front_addr: addrs.front,
        desk_addr: addrs.desk,
        link_addr: addrs.link,
    }
}

fn times(settings: &Settings) -> Times {
    Times {
        lookup_ttl_ms: settings.lookup_ttl_ms,
        lease_ms: settings.lease_ms,
        shutdown_ms: settings.shutdown_ms,
    }
}
