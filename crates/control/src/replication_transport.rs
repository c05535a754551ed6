//! Replication transport between control VMs: queues a group's messages for
//! each machine and sends them over its link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use peers::{Links, Serve};
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Body;
use wire::body::Group;
use world::MachineName;

use crate::group::ReplicationTransport;

/// Capacity of the queue to one machine, in messages. When it is full messages
/// are dropped; the group's next heartbeat has them sent again.
const QUEUE_MAX: usize = 256;

/// Queues the messages of one group, with a queue for each other machine.
pub struct LinkTransport {
    queues: HashMap<MachineName, Sender<Bytes>>,
}

/// Receiving ends of a [`LinkTransport`]'s queues. The transport exists before
/// the links, so the queues are connected to them afterwards.
pub struct QueueReceivers {
    group: &'static str,
    queues: Vec<(SocketAddr, Receiver<Bytes>)>,
}

impl LinkTransport {
    /// Creates a queue to each of these machines for the group named `group`.
    #[must_use]
    pub fn new(
        group: &'static str,
        machines: impl IntoIterator<Item = (MachineName, SocketAddr)>,
    ) -> (Self, QueueReceivers) {
        let mut senders = HashMap::new();
        let mut queues = Vec::new();
        for (name, addr) in machines {
            let (sender, queue) = mpsc::channel(QUEUE_MAX);
            senders.insert(name, sender);
            queues.push((addr, queue));
        }
        (Self { queues: senders }, QueueReceivers { group, queues })
    }
}

impl ReplicationTransport for LinkTransport {
    fn send(&self, to: &MachineName, payload: Bytes) {
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(payload);
        }
    }
}

impl QueueReceivers {
    /// Sends queued messages over `links` until the transport is dropped.
    pub fn send_over<S: Serve>(self, links: &Arc<Links<S>>) {
        for (addr, queue) in self.queues {
            tokio::spawn(send_queued(self.group, addr, queue, Arc::clone(links)));
        }
    }
}

async fn send_queued<S: Serve>(
    group: &'static str,
    addr: SocketAddr,
    mut queue: Receiver<Bytes>,
    links: Arc<Links<S>>,
) {
    while let Some(payload) = queue.recv().await {
        let group = group.into();
        let message = Body::Group(Group { group, payload });
        links.to(addr).notify(message).await;
    }
}
