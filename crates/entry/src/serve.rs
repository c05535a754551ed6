//! Answers to other processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use tokio::time::Instant;
use wire::body::{ConfigAsk, ConfigGive, Members};
use wire::{Body, Refusal};
use world::{EntryVm, Error, Kind, MachineName};

use crate::crossing::give;
use crate::state::State;

impl Serve for State {
    async fn serve(self: &Arc<Self>, from: &MachineName, body: Body) -> Option<Body> {
        let answer = match body {
            Body::ConfigAsk(ask) => Ok(self.give(&ask)),
            Body::CreditAsk(ask) => Ok(Body::CreditGive(give(&self.gate, from, &ask))),
            Body::Members(members) => self.members_heard(&members),
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

    fn heard_version(&self, _from: &MachineName, _version: u64) {}
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

    fn members_heard(&self, members: &Members) -> Result<Body, Error> {
        let vms: Vec<EntryVm> = serde_json::from_slice(&members.payload)
            .map_err(|error| Error::new(Kind::BadRequest, error.to_string()))?;
        let now = Instant::now();
        let mut table = self.members.lock();
        for vm in vms {
            table.heard(now, vm);
        }
        drop(table);
        Ok(self.members_body())
    }

    /// This VM as a message to others.
    #[must_use]
    pub fn members_body(&self) -> Body {
        let payload = serde_json::to_vec(&[&self.me]).unwrap_or_default().into();
        Body::Members(Members { payload })
    }

    /// Takes in another VM's answer about itself.
    pub fn members_answer(&self, body: &Body) {
        if let Body::Members(members) = body {
            let _ = self.members_heard(members);
        }
    }
}
