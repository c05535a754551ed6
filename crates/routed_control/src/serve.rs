//! Handles the messages that other processes of the system send to a control VM.

use std::sync::Arc;

use peers::Serve;
use wire::body::LogIndex;
use wire::{Body, Refusal};
use world::{Error, ErrorKind, MachineName, Result};

use crate::control_vm::ControlVm;
use crate::feed;
use crate::replication_transport::CATALOG_GROUP;

/// Handles messages of other processes on behalf of a control VM.
pub struct MessageHandler {
    control_vm: Arc<ControlVm>,
}

impl MessageHandler {
    /// Creates a handler for this control VM.
    #[must_use]
    pub fn new(control_vm: Arc<ControlVm>) -> Self {
        Self { control_vm }
    }

    async fn handle(&self, body: Body) -> Result<Option<Body>> {
        match body {
            Body::Group(message) if message.group == CATALOG_GROUP => {
                self.control_vm.catalog.receive(&message.payload);
                Ok(None)
            }
            Body::FeedRequest(request) => {
                let request = feed::decode(&request.payload)?;
                let response = self.control_vm.feed(request).await?;
                Ok(Some(Body::FeedResponse(response)))
            }
            Body::CommandRequest(request) => {
                self.control_vm.propose_here(&request.payload).await?;
                Ok(Some(Body::CommandResponse(LogIndex { index: 0 })))
            }
            Body::IndexRequest(_) => {
                let index = self.control_vm.read_index_here().await?;
                Ok(Some(Body::IndexResponse(LogIndex { index })))
            }
            _ => Err(Error::new(ErrorKind::BadRequest, "not a message for a hub")),
        }
    }
}

impl Serve for MessageHandler {
    async fn serve(self: &Arc<Self>, from: &MachineName, body: Body) -> Option<Body> {
        match self.handle(body).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(target: "hub", from:% = from, error:% = error; "call refused");
                Some(Body::Refusal(Refusal::from(&error)))
            }
        }
    }

    fn config_version(&self) -> u64 {
        *self.control_vm.catalog.applied().borrow()
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}
}
