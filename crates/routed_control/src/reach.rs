//! Which control VMs this one reads from directly, and which others pass on the rows of
//! those that it can't reach.

use std::collections::BTreeMap;
use std::net::IpAddr;

use steer::hash::{self, Purpose};

/// Control VMs that pass on the rows of one that can't be reached: two, so that the loss
/// of one of them is no gap.
const RELAYS: usize = 2;

/// Whether each known control VM answered the last feed request.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    answered: BTreeMap<IpAddr, bool>,
}

impl Reach {
    /// Records whether a control VM answered. Returns whether that is a change.
    pub fn record(&mut self, control_vm: IpAddr, answered: bool) -> bool {
        self.answered.insert(control_vm, answered) != Some(answered)
    }

    /// Forgets control VMs that are no longer known.
    pub fn retain(&mut self, known: &[IpAddr]) {
        self.answered.retain(|ip, _| known.contains(ip));
    }

    /// Returns the control VMs whose rows `relay` should pass on: those that do not answer
    /// and for which `relay` comes first in an order that differs by control VM.
    #[must_use]
    pub fn relayed_by(&self, relay: IpAddr) -> Vec<IpAddr> {
        let silent = self.answered.iter().filter(|(_, answered)| !**answered);
        let silent = silent.map(|(ip, _)| *ip);
        silent
            .filter(|origin| self.relays_of(*origin).contains(&relay))
            .collect()
    }

    /// Returns the control VMs that pass on the rows of `origin`.
    fn relays_of(&self, origin: IpAddr) -> Vec<IpAddr> {
        let answering = self.answered.iter().filter(|(_, answered)| **answered);
        let mut relays: Vec<IpAddr> = answering.map(|(ip, _)| *ip).collect();
        let hash_of = |ip: IpAddr| hash::name(&ip.to_string());
        relays.sort_by_key(|ip| hash::mix(hash_of(origin), hash_of(*ip), Purpose::Relay));
        relays.truncate(RELAYS);
        relays
    }
}
