//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use wire::body::{ChangeAsk, ChangeGive, ConfigAsk, ConfigGive};
use wire::{Body, Refusal};
use world::{Config, Error, Kind, MachineName, Result};

<<<<<<< HEAD
use crate::keeper::{CONFIG_GROUP, Keeper};
=======
use crate::keeper::Keeper;
use crate::ledger::{LedgerDesk, Single};
>>>>>>> main

/// What a control VM answers other processes from.
pub struct Server {
    /// The configuration.
    pub keeper: Arc<Keeper>,
    /// The ledger, on the control VM that keeps it.
    pub ledger: Option<LedgerDesk<Single>>,
}

impl Serve for Server {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
<<<<<<< HEAD
        let answer = match body {
            Body::Group(message) if message.group == CONFIG_GROUP => {
                self.receive(&message.payload);
                return None;
            }
            Body::ChangeAsk(ask) => self.take(&ask).await,
            Body::ConfigAsk(ask) => self.give(&ask).await,
            _ => Err(Error::new(
                Kind::BadRequest,
                "not a message for a control VM",
            )),
        };
        Some(answer.unwrap_or_else(|error| Body::Refusal(Refusal::from(&error))))
=======
        let error = match (body, &self.ledger) {
            (Body::ConfigAsk(ask), _) => return Some(self.keeper.give(&ask)),
            (Body::LedgerAsk(ask), Some(ledger)) => return Some(ledger.answer(&ask).await),
            (Body::LedgerAsk(_), None) => Error::new(Kind::NotLeader, "keeps no ledger"),
            _ => Error::new(Kind::BadRequest, "not a message for a control VM"),
        };
        Some(Body::Refusal(Refusal::from(&error)))
>>>>>>> main
    }

    fn config_version(&self) -> u64 {
        self.keeper.version()
    }

    fn heard_version(&self, _from: &MachineName, _version: u64) {}
}

impl Keeper {
    async fn take(&self, ask: &ChangeAsk) -> Result<Body> {
        let version = self.accept_here(&ask.change_json).await?;
        Ok(Body::ChangeGive(ChangeGive { version }))
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
