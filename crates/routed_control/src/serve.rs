//! Answers to other processes of the system.

use std::sync::Arc;

use peers::Serve;
use wire::body::{Applied, Feed};
use wire::{Body, Refusal};
use world::{Error, Kind, MachineName, Result};

use crate::courier::CATALOG_GROUP;
use crate::feed;
use crate::hub::Hub;

/// What a hub answers other processes from.
pub struct HubServer {
    hub: Arc<Hub>,
}

impl HubServer {
    /// Answers from this hub.
    #[must_use]
    pub fn new(hub: Arc<Hub>) -> Self {
        Self { hub }
    }

    async fn answer(&self, body: Body) -> Result<Option<Body>> {
        match body {
            Body::Group(message) if message.group == CATALOG_GROUP => {
                self.hub.catalog.receive(&message.payload);
                Ok(None)
            }
            Body::FeedAsk(ask) => {
                let give = self.hub.feed(feed::decode(&ask.payload)?).await;
                let payload = feed::encode(&give)?;
                Ok(Some(Body::FeedGive(Feed { payload })))
            }
            Body::CommandAsk(ask) => {
                self.hub.order_here(&ask.payload).await?;
                Ok(Some(Body::CommandGive(Applied { index: 0 })))
            }
            Body::IndexAsk(_) => {
                let index = self.hub.confirmed_here().await?;
                Ok(Some(Body::IndexGive(Applied { index })))
            }
            _ => Err(Error::new(Kind::BadRequest, "not a message for a hub")),
        }
    }
}

impl Serve for HubServer {
    async fn serve(self: &Arc<Self>, from: &MachineName, body: Body) -> Option<Body> {
        match self.answer(body).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(target: "hub", from:% = from, error:% = error; "refused a call");
                Some(Body::Refusal(Refusal::from(&error)))
            }
        }
    }

    fn config_version(&self) -> u64 {
        *self.hub.catalog.applied().borrow()
    }

    fn heard_version(&self, _from: &MachineName, _version: u64) {}
}
