//! Handles messages of other VMs that arrive over links.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use wire::body::{ChangeRequest, ChangeResponse, ConfigRequest, ConfigResponse, Group};
use wire::{Body, Refusal};
use world::{Config, Error, ErrorKind, MachineName, Result};

use crate::ledger::group::LedgerGroup;
use crate::ledger::{LEDGER_GROUP, LedgerHandler};
use crate::replicated_config::{CONFIG_GROUP, ReplicatedConfig};

/// This control VM's replicas, as used by the links and by the control API.
pub struct Replicas {
    /// The configuration.
    pub config: Arc<ReplicatedConfig>,
    /// This machine's replica of the ledger.
    pub ledger_group: Arc<LedgerGroup>,
    /// Handler of ledger requests, on top of `ledger_group`.
    pub ledger: LedgerHandler<Arc<LedgerGroup>>,
}

impl Serve for Replicas {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        let response = match body {
            Body::Group(message) => {
                self.receive(&message);
                return None;
            }
            Body::LedgerRequest(request) => return Some(self.ledger.handle(&request).await),
            Body::ChangeRequest(request) => self.config.handle_change(&request).await,
            Body::ConfigRequest(request) => self.config.handle_config_request(&request).await,
            _ => Err(Error::new(
                ErrorKind::BadRequest,
                "not a message for a control VM",
            )),
        };
        Some(response.unwrap_or_else(|error| Body::Refusal(Refusal::from(&error))))
    }

    fn config_version(&self) -> u64 {
        self.config.version()
    }

    // Control VMs get the configuration by replication, not by version notices.
    fn on_config_version(&self, _from: &MachineName, _version: u64) {}
}

impl Replicas {
    /// Passes a replication message to the replica of its group.
    fn receive(&self, message: &Group) {
        match message.group.as_str() {
            CONFIG_GROUP => self.config.group.receive(&message.payload),
            LEDGER_GROUP => self.ledger_group.receive(&message.payload),
            other => log::warn!(target: "control", group = other; "message for an unknown group"),
        }
    }
}

impl ReplicatedConfig {
    async fn handle_change(&self, request: &ChangeRequest) -> Result<Body> {
        let version = self.propose_local(&request.change_json).await?;
        Ok(Body::ChangeResponse(ChangeResponse { version }))
    }

    async fn handle_config_request(&self, request: &ConfigRequest) -> Result<Body> {
        let config = if request.confirmed {
            self.read_confirmed_local().await?
        } else {
            self.local()
        };
        Ok(Body::ConfigResponse(ConfigResponse {
            version: config.version,
            config_json: json_if_newer(&config, request.have_version),
        }))
    }
}

/// Returns the configuration as JSON; empty if the peer already has this version.
fn json_if_newer(config: &Config, have_version: u64) -> Bytes {
    if config.version <= have_version {
        return Bytes::new();
    }
    serde_json::to_vec(config).unwrap_or_default().into()
}
