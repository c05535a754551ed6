//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use wire::body::{ChangeRequest, ChangeResponse, ConfigAsk, ConfigGive, Group};
use wire::{Body, Refusal};
use world::{Config, Error, Kind, MachineName, Result};

use crate::keeper::{CONFIG_GROUP, Keeper};
use crate::ledger::shared::LedgerGroup;
use crate::ledger::{LEDGER_GROUP, LedgerDesk};

/// What a control VM answers other processes from.
pub struct Server {
    /// The configuration.
    pub keeper: Arc<Keeper>,
    /// This machine's replica of the ledger.
    pub ledger_group: Arc<LedgerGroup>,
    /// The desk before that ledger.
    pub ledger: LedgerDesk<Arc<LedgerGroup>>,
}

impl Serve for Server {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        let answer = match body {
            Body::Group(message) => {
                self.receive(&message);
                return None;
            }
            Body::LedgerRequest(ask) => return Some(self.ledger.answer(&ask).await),
            Body::ChangeRequest(ask) => self.keeper.take(&ask).await,
            Body::ConfigAsk(ask) => self.keeper.give(&ask).await,
            _ => Err(Error::new(
                Kind::BadRequest,
                "not a message for a control VM",
            )),
        };
        Some(answer.unwrap_or_else(|error| Body::Refusal(Refusal::from(&error))))
    }

    fn config_version(&self) -> u64 {
        self.keeper.version()
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}
}

impl Server {
    fn receive(&self, message: &Group) {
        match message.group.as_str() {
            CONFIG_GROUP => self.keeper.group.receive(&message.payload),
            LEDGER_GROUP => self.ledger_group.receive(&message.payload),
            other => log::warn!(target: "control", group = other; "message for an unknown group"),
        }
    }
}

impl Keeper {
    async fn take(&self, ask: &ChangeRequest) -> Result<Body> {
        let version = self.accept_here(&ask.change_json).await?;
        Ok(Body::ChangeResponse(ChangeResponse { version }))
    }

    async fn give(&self, ask: &ConfigAsk) -> Result<Body> {
        let config = if ask.confirmed {
            self.confirmed_here().await?
        } else {
            self.config()
        };
        Ok(Body::ConfigGive(ConfigGive {
            version: config.version,
            config_json: newer(&config, ask.have_version),
        }))
    }
}

fn newer(config: &Config, have_version: u64) -> Bytes {
    if config.version <= have_version {
        return Bytes::new();
    }
    serde_json::to_vec(config).unwrap_or_default().into()
}
