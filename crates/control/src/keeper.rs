//! The configuration on this replica, and the way to the one that leads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use peers::Links;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::{ChangeRequest, ChangeResponse, ConfigAsk};
use world::{Change, Config, Error, Kind, MachineName, Ran, Result};

use crate::courier::LinkCourier;
use crate::group::Group;
use crate::registry::Registry;
use crate::serve::Server;

/// Name of the group that keeps the configuration.
pub const CONFIG_GROUP: &str = "config";

/// Longest wait for the outcome of a change or a read.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// Wait before the next try while no leader is known or reached.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest wait for the reply to one forwarded call.
const CALL_PATIENCE: Duration = Duration::from_secs(2);

/// Keeps the configuration together with the other control replicas.
pub struct Keeper {
    /// This machine's replica.
    pub group: Arc<Group<Registry, LinkCourier>>,
    addrs: HashMap<MachineName, SocketAddr>,
    links: OnceLock<Arc<Links<Server>>>,
}

impl Keeper {
    /// A keeper on this machine's replica; the others stand at `addrs`.
    #[must_use]
    pub fn new(
        group: Arc<Group<Registry, LinkCourier>>,
        addrs: HashMap<MachineName, SocketAddr>,
    ) -> Self {
        Self {
            group,
            addrs,
            links: OnceLock::new(),
        }
    }

    /// Gives the links over which calls are forwarded; only the first time counts.
    pub fn connect(&self, links: Arc<Links<Server>>) {
        let _ = self.links.set(links);
    }

    /// The configuration as far as this replica has it.
    #[must_use]
    pub fn config(&self) -> Config {
        self.group.look(|registry| registry.config().clone())
    }

    /// Version of the configuration as far as this replica has it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.group.look(|registry| registry.config().version)
    }

    /// Accepts a change on a majority of replicas, through the leader; gives
    /// its version.
    ///
    /// # Errors
    /// [`Kind::Conflict`], [`Kind::ChangeIdReused`] or [`Kind::BadLists`] from
    /// the configuration; [`Kind::NotLeader`] when nobody could take it;
    /// [`Kind::NoQuorum`] when it may still come into force.
    pub async fn accept(&self, change: &Change) -> Result<u64> {
        let command = Registry::command(change)?;
        // A try whose outcome is unknown may be made again: the change id tells.
        let mut unknown = None;
        let deadline = Instant::now() + PATIENCE;
        loop {
            let error = match self.accept_once(&command).await {
                Ok(version) => return Ok(version),
                Err(error) => error,
            };
            if !is_passing(&error) {
                return Err(error);
            }
            if error.kind.answer().ran != Ran::NotRun {
                unknown = Some(error.clone());
            }
            if Instant::now() + RETRY_AFTER >= deadline {
                return Err(unknown.unwrap_or(error));
            }
            sleep(RETRY_AFTER).await;
        }
    }

    /// The configuration with everything that was accepted before this call.
    ///
    /// # Errors
    /// [`Kind::NotLeader`] or [`Kind::NoQuorum`].
    pub async fn confirmed(&self) -> Result<Config> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let error = match self.confirmed_once().await {
                Ok(config) => return Ok(config),
                Err(error) => error,
            };
            if !is_passing(&error) || Instant::now() + RETRY_AFTER >= deadline {
                return Err(error);
            }
            sleep(RETRY_AFTER).await;
        }
    }

    /// Proposes at this replica alone.
    pub(crate) async fn accept_here(&self, command: &[u8]) -> Result<u64> {
        self.group.propose(command).await?
    }

    /// Reads at this replica alone.
    pub(crate) async fn confirmed_here(&self) -> Result<Config> {
        let config = self.group.read(|registry| registry.config().clone());
        config.await
    }

    async fn accept_once(&self, command: &[u8]) -> Result<u64> {
        if self.group.is_leader() {
            return self.accept_here(command).await;
        }
        let change_json = command.to_vec().into();
        let ask = Body::ChangeRequest(ChangeRequest { change_json });
        match self.call_leader(ask).await? {
            Body::ChangeResponse(ChangeResponse { version }) => Ok(version),
            other => Err(refused(other)),
        }
    }

    async fn confirmed_once(&self) -> Result<Config> {
        if self.group.is_leader() {
            return self.confirmed_here().await;
        }
        let ask = Body::ConfigAsk(ConfigAsk {
            have_version: 0,
            confirmed: true,
        });
        match self.call_leader(ask).await? {
            Body::ConfigGive(give) if give.version == 0 => Ok(Config::default()),
            Body::ConfigGive(give) => serde_json::from_slice(&give.config_json)
                .map_err(|e| Error::new(Kind::Internal, e.to_string())),
            other => Err(refused(other)),
        }
    }

    async fn call_leader(&self, ask: Body) -> Result<Body> {
        let leader = self.group.leader();
        let known = leader.and_then(|name| self.addrs.get(&name));
        let (Some(addr), Some(links)) = (known, self.links.get()) else {
            return Err(Error::new(Kind::NotLeader, "no leader is known"));
        };
        Ok(links.to(*addr).call(ask, CALL_PATIENCE).await?)
    }
}

/// Whether another try may end differently.
fn is_passing(error: &Error) -> bool {
    let kinds = [Kind::NotLeader, Kind::NoQuorum, Kind::Unreachable];
    kinds.contains(&error.kind)
}

fn refused(body: Body) -> Error {
    match body {
        Body::Refusal(refusal) => refusal.into(),
        _ => Error::new(Kind::Internal, "unexpected reply of the leader"),
    }
}
