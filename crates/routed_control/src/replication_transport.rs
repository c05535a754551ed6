//! Carries messages of the replicated log to control VMs that come and go.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use control::group::Courier;
use peers::Links;
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Body;
use wire::body::Group;
use world::{MachineName, Rank, Ranked};

use crate::serve::HubServer;
use crate::settings::ip_of;

/// Name of the group that keeps the catalog.
pub const CATALOG_GROUP: &str = "catalog";

/// Messages that may wait for one machine; more are dropped, and the next
/// heartbeat of the log makes up for them.
const QUEUE_MAX: usize = 256;

/// Carries messages to any control VM; clones share its queues.
#[derive(Clone)]
pub struct PeerCourier(Arc<Queues>);

/// One queue for each control VM that was ever written to.
struct Queues {
    link_port: u16,
    links: OnceLock<Arc<Links<HubServer>>>,
    by_machine: Ranked<HashMap<MachineName, Sender<Bytes>>>,
}

impl PeerCourier {
    /// A courier to control VMs that listen on `link_port`.
    #[must_use]
    pub fn new(link_port: u16) -> Self {
        Self(Arc::new(Queues {
            link_port,
            links: OnceLock::new(),
            by_machine: Ranked::new(Rank::Links, HashMap::new()),
        }))
    }

    /// Gives the links to send over; only the first time counts.
    pub fn connect(&self, links: Arc<Links<HubServer>>) {
        let _ = self.0.links.set(links);
    }
}

impl Courier for PeerCourier {
    fn send(&self, to: &MachineName, payload: Bytes) {
        let mut queues = self.0.by_machine.lock();
        if let Some(queue) = queues.get(to) {
            if queue.try_send(payload).is_err() {
                log::debug!(target: "hub", to:% = to; "a message of the log was dropped");
            }
            return;
        }
        let (Some(links), Some(ip)) = (self.0.links.get(), ip_of(to)) else {
            return;
        };
        let (sender, queue) = mpsc::channel(QUEUE_MAX);
        let _ = sender.try_send(payload);
        queues.insert(to.clone(), sender);
        let addr = SocketAddr::new(ip, self.0.link_port);
        tokio::spawn(carry(addr, queue, Arc::clone(links)));
    }
}

async fn carry(addr: SocketAddr, mut queue: Receiver<Bytes>, links: Arc<Links<HubServer>>) {
    while let Some(payload) = queue.recv().await {
        let group = CATALOG_GROUP.into();
        let message = Body::Group(Group { group, payload });
        links.to(addr).tell(message).await;
    }
}
