//! Carries messages of a group over links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use peers::{Links, Serve};
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Body;
use wire::body::Group;
use world::MachineName;

use crate::group::Courier;

/// Messages that may wait for one machine; more are dropped, and the group's
/// next heartbeat makes up for them.
const QUEUE_MAX: usize = 256;

/// One queue for each other machine of a group.
pub struct LinkCourier {
    queues: HashMap<MachineName, Sender<Bytes>>,
}

/// The other end of the queues, to be carried once there are links.
pub struct Outgoing {
    group: &'static str,
    queues: Vec<(SocketAddr, Receiver<Bytes>)>,
}

impl LinkCourier {
    /// Queues for the group named `group` to the machines at these addresses.
    #[must_use]
    pub fn new(
        group: &'static str,
        machines: impl IntoIterator<Item = (MachineName, SocketAddr)>,
    ) -> (Self, Outgoing) {
        let mut senders = HashMap::new();
        let mut queues = Vec::new();
        for (name, addr) in machines {
            let (sender, queue) = mpsc::channel(QUEUE_MAX);
            senders.insert(name, sender);
            queues.push((addr, queue));
        }
        (Self { queues: senders }, Outgoing { group, queues })
    }
}

impl Courier for LinkCourier {
    fn send(&self, to: &MachineName, payload: Bytes) {
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(payload);
        }
    }
}

impl Outgoing {
    /// Carries the queues over `links` until the courier is dropped.
    pub fn carry<S: Serve>(self, links: &Arc<Links<S>>) {
        for (addr, queue) in self.queues {
            tokio::spawn(carry(self.group, addr, queue, Arc::clone(links)));
        }
    }
}

async fn carry<S: Serve>(
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
