//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use tokio::time::Instant;
use wire::body::{ConfigAsk, ConfigGive};
use wire::{Body, Refusal};
use world::{Error, Kind, MachineName};

use crate::crossing::give;
use crate::gossip;
use crate::notices;
use crate::state::State;

impl Serve for State {
    async fn serve(self: &Arc<Self>, from: &MachineName, body: Body) -> Option<Body> {
        if let Body::LoadNotice(notice) = &body {
            notices::heard(self, from, notice);
            return None;
        }
        let answer = match body {
            Body::ConfigAsk(ask) => Ok(self.give(&ask)),
            Body::CreditRequest(ask) => Ok(Body::CreditResponse(give(&self.gate, from, &ask))),
            Body::Members(members) => match gossip::answer(self, &members).await {
                Ok(None) => return None,
                Ok(Some(body)) => Ok(body),
                Err(error) => Err(error),
            },
            _ => Err(Error::new(
                Kind::BadRequest,
                "not a message for an entry VM",
            )),
        };
        Some(answer.unwrap_or_else(|error| Body::Refusal(Refusal::from(&error))))
    }

    fn config_version(&self) -> u64 {
        self.version()
    }

    fn on_config_version(&self, from: &MachineName, version: u64) {
        self.ahead.hear(from, version, self.version());
        if *from != self.me.name {
            self.site.members.lock().record_contact(Instant::now());
        }
    }
}

impl State {
    fn give(&self, ask: &ConfigAsk) -> Body {
        let in_force = self.in_force();
        let version = in_force.config.version;
        let mut config_json = Bytes::new();
        if version > ask.have_version {
            config_json = serde_json::to_vec(&in_force.config)
                .unwrap_or_default()
                .into();
        }
        Body::ConfigGive(ConfigGive {
            version,
            config_json,
        })
    }
}
