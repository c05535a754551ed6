//! Handles messages that other processes send over links.

use std::sync::Arc;

use bytes::Bytes;
use peers::Serve;
use tokio::time::Instant;
use wire::body::{ConfigRequest, ConfigResponse};
use wire::{Body, Refusal};
use world::{Error, ErrorKind, MachineName};

use crate::cross_vm::grant_credits;
use crate::gossip;
use crate::state::State;
use crate::status_notices;

impl Serve for State {
    async fn serve(self: &Arc<Self>, from: &MachineName, body: Body) -> Option<Body> {
        if let Body::StatusNotice(notice) = &body {
            status_notices::handle_status_notice(self, from, notice);
            return None;
        }
        let response = match body {
            Body::ConfigRequest(request) => Ok(self.config_response(&request)),
            Body::CreditRequest(request) => Ok(Body::CreditResponse(grant_credits(
                &self.admission,
                from,
                &request,
            ))),
            Body::Members(members) => match gossip::handle_message(self, &members).await {
                Ok(None) => return None,
                Ok(Some(body)) => Ok(body),
                Err(error) => Err(error),
            },
            _ => Err(Error::new(
                ErrorKind::BadRequest,
                "not a message for an entry VM",
            )),
        };
        Some(response.unwrap_or_else(|error| Body::Refusal(Refusal::from(&error))))
    }

    fn config_version(&self) -> u64 {
        self.version()
    }

    fn on_config_version(&self, from: &MachineName, version: u64) {
        self.newer_version.record(from, version, self.version());
        if *from != self.me.name {
            self.site.members.lock().record_contact(Instant::now());
        }
    }
}

impl State {
    fn config_response(&self, request: &ConfigRequest) -> Body {
        let active_config = self.active_config();
        let version = active_config.config.version;
        let mut config_json = Bytes::new();
        if version > request.have_version {
            config_json = serde_json::to_vec(&active_config.config)
                .unwrap_or_default()
                .into();
        }
        Body::ConfigResponse(ConfigResponse {
            version,
            config_json,
        })
    }
}
