//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use wire::body::{ConfigAsk, ConfigGive};
use wire::{Body, Refusal};
use world::{Error, Kind, MachineName};

use crate::keeper::Keeper;
use crate::ledger::{LedgerDesk, Single};

/// What a control VM answers other processes from.
pub struct Server {
    /// The configuration.
    pub keeper: Arc<Keeper>,
    /// The ledger, on the control VM that keeps it.
    pub ledger: Option<LedgerDesk<Single>>,
}

impl Serve for Server {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        let error = match (body, &self.ledger) {
            (Body::ConfigAsk(ask), _) => return Some(self.keeper.give(&ask)),
            (Body::LedgerAsk(ask), Some(ledger)) => return Some(ledger.answer(&ask).await),
            (Body::LedgerAsk(_), None) => Error::new(Kind::NotLeader, "keeps no ledger"),
            _ => Error::new(Kind::BadRequest, "not a message for a control VM"),
        };
        Some(Body::Refusal(Refusal::from(&error)))
    }

    fn config_version(&self) -> u64 {
        self.keeper.version()
    }

    fn heard_version(&self, _from: &MachineName, _version: u64) {}
}

impl Keeper {
    fn give(&self, ask: &ConfigAsk) -> Body {
        let config = self.config();
        let mut config_json = Bytes::new();
        if config.version > ask.have_version {
            config_json = serde_json::to_vec(&config).unwrap_or_default().into();
        }
        Body::ConfigGive(ConfigGive {
            version: config.version,
            config_json,
        })
    }
}
