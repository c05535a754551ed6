//! Which control VMs this one reads from directly, and which others pass on the rows of
//! those that it can't reach.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;

/// Control VMs that pass on the rows of one that can't be reached: two, so that the loss
/// of one of them is no gap.
const RELAYS: usize = 2;

/// Time since its last answer for which another control VM counts as in contact: it holds a
/// feed request for up to 0.6 s.
const CONTACT_MAX: Duration = Duration::from_secs(1);

/// Whether each known control VM answered the last feed request.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    answered: BTreeMap<IpAddr, bool>,
    answered_at: BTreeMap<IpAddr, Instant>,
}

impl Reach {
    /// Records whether a control VM answered. Returns whether that is a change.
    pub fn record(&mut self, control_vm: IpAddr, answered: bool, now: Instant) -> bool {
        if answered {
            self.answered_at.insert(control_vm, now);
        }
        self.answered.insert(control_vm, answered) != Some(answered)
    }

    /// Forgets control VMs that are no longer known.
    pub fn retain(&mut self, known: &[IpAddr]) {
        self.answered.retain(|ip, _| known.contains(ip));
        self.answered_at.retain(|ip, _| known.contains(ip));
    }

    /// Whether more than half of `control_vms` are in contact with `own`, which may be one
    /// of them.
    #[must_use]
    pub fn has_contact(&self, own: IpAddr, control_vms: &[IpAddr], now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CONTACT_MAX;
        let in_contact =
            |ip: &&IpAddr| **ip == own || self.answered_at.get(ip).is_some_and(is_recent);
        2 * control_vms.iter().filter(in_contact).count() > control_vms.len()
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
