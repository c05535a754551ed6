//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use wire::body::{ConfigAsk, ConfigGive};
use wire::{Body, Refusal};
use world::{Error, Kind, MachineName};

use crate::keeper::Keeper;

impl Serve for Keeper {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        if let Body::ConfigAsk(ask) = body {
            return Some(self.give(&ask));
        }
        let error = Error::new(Kind::BadRequest, "not a message for a control VM");
        Some(Body::Refusal(Refusal::from(&error)))
    }

    fn config_version(&self) -> u64 {
        self.version()
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
