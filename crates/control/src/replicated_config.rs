//! The replicated configuration: reads this machine's replica and forwards
//! changes and confirmed reads to the leader.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use peers::Links;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::{ChangeRequest, ChangeResponse, ConfigRequest};
use world::{Change, Config, Error, ErrorKind, MachineName, Result, RunStatus};

use crate::config_state_machine::ConfigStateMachine;
use crate::group::Group;
use crate::replication_transport::LinkTransport;
use crate::serve::Replicas;

/// Name of the group that replicates the configuration.
pub const CONFIG_GROUP: &str = "config";

/// Timeout of a change or a confirmed read, with all its attempts.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next attempt while no leader is known or reachable.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of one call forwarded to the leader.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The configuration, replicated on all control VMs.
pub struct ReplicatedConfig {
    /// This machine's replica.
    pub group: Arc<Group<ConfigStateMachine, LinkTransport>>,
    /// Link addresses of the other control VMs.
    addrs: HashMap<MachineName, SocketAddr>,
    links: OnceLock<Arc<Links<Replicas>>>,
}

impl ReplicatedConfig {
    /// Wraps this machine's replica; `addrs` holds the link addresses of the
    /// other control VMs.
    #[must_use]
    pub fn new(
        group: Arc<Group<ConfigStateMachine, LinkTransport>>,
        addrs: HashMap<MachineName, SocketAddr>,
    ) -> Self {
        Self {
            group,
            addrs,
            links: OnceLock::new(),
        }
    }

    /// Sets the links over which calls are forwarded to the leader; only the
    /// first call has an effect.
    pub fn set_links(&self, links: Arc<Links<Replicas>>) {
        let _ = self.links.set(links);
    }

    /// Returns the configuration of this replica, which may lag behind the leader.
    #[must_use]
    pub fn local(&self) -> Config {
        self.group
            .read_local(|state_machine| state_machine.config().clone())
    }

    /// Version of [`Self::local`].
    #[must_use]
    pub fn version(&self) -> u64 {
        self.group
            .read_local(|state_machine| state_machine.config().version)
    }

    /// Proposes a change to the leader and waits until it is committed and applied; returns the
    /// version that the change created.
    ///
    /// # Errors
    /// [`ErrorKind::Conflict`], [`ErrorKind::ChangeIdReused`] or [`ErrorKind::BadLists`] if the
    /// configuration refuses the change; [`ErrorKind::NotLeader`] if no leader
    /// accepted it; [`ErrorKind::NoQuorum`] if it may still take effect.
    pub async fn propose(&self, change: &Change) -> Result<u64> {
        let command = ConfigStateMachine::command(change)?;
        // An attempt with an unknown outcome may be repeated, because a change id
        // takes effect at most once.
        let mut unknown = None;
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let error = match self.try_propose(&command).await {
                Ok(version) => return Ok(version),
                Err(error) => error,
            };
            if !is_retryable(&error) {
                return Err(error);
            }
            if error.kind.response().ran != RunStatus::NotRun {
                unknown = Some(error.clone());
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(unknown.unwrap_or(error));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the configuration, including every change accepted before this call.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`] or [`ErrorKind::NoQuorum`].
    pub async fn read_confirmed(&self) -> Result<Config> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let error = match self.try_read_confirmed().await {
                Ok(config) => return Ok(config),
                Err(error) => error,
            };
            if !is_retryable(&error) || Instant::now() + RETRY_DELAY >= deadline {
                return Err(error);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Proposes a change to this replica, without forwarding it to the leader.
    pub(crate) async fn propose_local(&self, command: &[u8]) -> Result<u64> {
        self.group.propose(command).await?
    }

    /// Reads this replica if it leads, without forwarding the read to the leader.
    pub(crate) async fn read_confirmed_local(&self) -> Result<Config> {
        let config = self
            .group
            .read(|state_machine| state_machine.config().clone());
        config.await
    }

    async fn try_propose(&self, command: &[u8]) -> Result<u64> {
        if self.group.is_leader() {
            return self.propose_local(command).await;
        }
        let change_json = command.to_vec().into();
        let request = Body::ChangeRequest(ChangeRequest { change_json });
        match self.call_leader(request).await? {
            Body::ChangeResponse(ChangeResponse { version }) => Ok(version),
            other => Err(error_of(other)),
        }
    }

    async fn try_read_confirmed(&self) -> Result<Config> {
        if self.group.is_leader() {
            return self.read_confirmed_local().await;
        }
        let request = Body::ConfigRequest(ConfigRequest {
            have_version: 0,
            confirmed: true,
        });
        match self.call_leader(request).await? {
            // Version 0 is the empty configuration, which is sent without a body.
            Body::ConfigResponse(response) if response.version == 0 => Ok(Config::default()),
            Body::ConfigResponse(response) => serde_json::from_slice(&response.config_json)
                .map_err(|e| Error::new(ErrorKind::Internal, e.to_string())),
            other => Err(error_of(other)),
        }
    }

    async fn call_leader(&self, request: Body) -> Result<Body> {
        let leader = self.group.leader();
        let leader_addr = leader.and_then(|name| self.addrs.get(&name));
        let (Some(addr), Some(links)) = (leader_addr, self.links.get()) else {
            return Err(Error::new(ErrorKind::NotLeader, "no leader is known"));
        };
        Ok(links.to(*addr).call(request, CALL_TIMEOUT).await?)
    }
}

/// Whether another attempt may succeed.
fn is_retryable(error: &Error) -> bool {
    let kinds = [
        ErrorKind::NotLeader,
        ErrorKind::NoQuorum,
        ErrorKind::Unreachable,
    ];
    kinds.contains(&error.kind)
}

/// Error for a response that is not of the expected type: a refusal of the
/// leader, or an unexpected message.
fn error_of(body: Body) -> Error {
    match body {
        Body::Refusal(refusal) => refusal.into(),
        _ => Error::new(ErrorKind::Internal, "unexpected reply of the leader"),
    }
}
