//! Replication transport over links: sends messages of the replicated log to control
//! VMs, whose set changes at run time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use control::group::ReplicationTransport;
use peers::Links;
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Body;
use wire::body::Group;
use world::{LockRank, MachineName, RankedMutex};

use crate::serve::MessageHandler;
use crate::settings::ip_of;

/// Name of the replica group of the catalog.
pub const CATALOG_GROUP: &str = "catalog";

/// Capacity of the queue to one machine, in messages. When it is full messages are
/// dropped; the leader sends their content again after its next heartbeat.
const QUEUE_MAX: usize = 256;

/// Sends messages to any control VM; clones share the queues.
#[derive(Clone)]
pub struct PeerTransport(Arc<Queues>);

/// A send queue for each control VM that was sent to so far.
struct Queues {
    link_port: u16,
    links: OnceLock<Arc<Links<MessageHandler>>>,
    by_machine: RankedMutex<HashMap<MachineName, Sender<Bytes>>>,
}

impl PeerTransport {
    /// Creates a transport to control VMs that listen on `link_port`. Messages are
    /// dropped until [`Self::connect`] was called.
    #[must_use]
    pub fn new(link_port: u16) -> Self {
        Self(Arc::new(Queues {
            link_port,
            links: OnceLock::new(),
            by_machine: RankedMutex::new(LockRank::Links, HashMap::new()),
        }))
    }

    /// Sets the links to send over; only the first call has an effect.
    pub fn connect(&self, links: Arc<Links<MessageHandler>>) {
        let _ = self.0.links.set(links);
    }
}

impl ReplicationTransport for PeerTransport {
    fn send(&self, to: &MachineName, payload: Bytes) {
        let mut queues = self.0.by_machine.lock();
        if let Some(queue) = queues.get(to) {
            if queue.try_send(payload).is_err() {
                log::debug!(target: "hub", to:% = to; "send queue full, message dropped");
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
        tokio::spawn(send_queued(addr, queue, Arc::clone(links)));
    }
}

async fn send_queued(
    addr: SocketAddr,
    mut queue: Receiver<Bytes>,
    links: Arc<Links<MessageHandler>>,
) {
    while let Some(payload) = queue.recv().await {
        let group = CATALOG_GROUP.into();
        let message = Body::Group(Group { group, payload });
        links.to(addr).notify(message).await;
    }
}
