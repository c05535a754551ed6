//! Bootstrap of a group, and the requests of new disks to join it.
//!
//! The bootstrap machine creates the group once all machines of the settings
//! have consented. Later a new disk asks to be admitted until a leader adds it as a
//! learner.

use std::collections::BTreeSet;

use tokio::time::Instant;
use world::{Error, ErrorKind, MachineName, Result};

use crate::members::Members;
use crate::message::{Body, DiskId, Entry, Envelope, Payload, Peer};
use crate::record::{HardState, Record};
use crate::replica::{Election, Replica, Ticket};
use crate::state_machine::StateMachine;

/// Term of the first entry of a group, which sets the initial members. The first
/// election is for the next term.
const BOOTSTRAP_TERM: u64 = 1;

impl<M: StateMachine> Replica<M> {
    /// Removes the member on the machine `name`, so that the machine may join
    /// again with a new disk.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`]; [`ErrorKind::BadRequest`] if there is no such member or it
    /// is this leader; [`ErrorKind::Overloaded`] if another change of members is in
    /// progress, or too many proposals wait.
    pub fn remove(&mut self, name: &MachineName, now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        self.ensure_accepting()?;
        let Some(disk) = self.members.disk_of(name).filter(|d| *d != self.disk) else {
            let text = format!("{name} is the leader or no member");
            return Err(Error::new(ErrorKind::BadRequest, text));
        };
        if !self.can_change_members() {
            let text = "another change of members is under way";
            return Err(Error::new(ErrorKind::Overloaded, text));
        }
        let members = self.members.without(disk);
        let ticket = self.append_own(Payload::Members(members), now);
        self.advance(now);
        Ok(ticket)
    }

    /// Sends a `Hello` to all known machines, at most once per heartbeat interval, or
    /// per election timeout if this disk was a member.
    /// The bootstrap machine also checks whether it can create the group.
    pub(super) fn send_hellos(&mut self, now: Instant) {
        if now < self.next_hello_at {
            return;
        }
        let timing = &self.settings.timing;
        let interval = if self.has_empty_log() {
            timing.heartbeat_interval()
        } else {
            timing.min_election_timeout()
        };
        self.next_hello_at = now + interval;
        if self.has_empty_log() && self.settings.is_bootstrap_machine() {
            self.bootstrap_if_all_consented(now);
        }
        let me = self.settings.me.clone();
        let members = self.members.iter().map(|(_, member)| &member.name);
        let named = self.settings.names.iter().chain(members);
        let others: BTreeSet<&MachineName> = named.filter(|n| **n != me).collect();
        let hellos: Vec<Envelope> = others.into_iter().map(|n| self.hello(n)).collect();
        for hello in hellos {
            self.output.push_message(hello);
        }
    }

    /// Consents to the bootstrap, keeps the request until the members may change, or
    /// forwards the message to the leader, depending on the state of this replica.
    pub(super) fn on_hello(&mut self, envelope: &Envelope, now: Instant) {
        if self.has_empty_log() {
            let bootstrap_machine = self.settings.names.first() == Some(&envelope.from.name);
            if bootstrap_machine && self.settings.may_bootstrap {
                self.consent_to_bootstrap(&envelope.from, now);
            }
        } else if self.is_leader() {
            self.add_joining(&envelope.from, now);
        } else if self.settings.open_membership.is_some() {
            self.forward_hello(envelope);
        }
    }

    /// Forwards a `Hello` to the leader, whose machine the sender may not know.
    fn forward_hello(&mut self, envelope: &Envelope) {
        let Some(leader) = self.leader().cloned() else {
            return;
        };
        if leader == envelope.from.name {
            return;
        }
        let mut forwarded = envelope.clone();
        forwarded.to_name = leader;
        self.output.push_message(forwarded);
    }

    /// Records the consent of another machine to the bootstrap.
    pub(super) fn on_bootstrap_consent(&mut self, envelope: &Envelope, now: Instant) {
        let expected = self.has_empty_log() && self.settings.is_bootstrap_machine();
        if !expected || envelope.group != Some(self.disk) {
            return;
        }
        let Peer { disk, name } = envelope.from.clone();
        self.bootstrap_consents.insert(name, disk);
        self.bootstrap_if_all_consented(now);
    }

    /// Whether the message belongs to this replica's group. A replica on a new
    /// disk joins the group of the first leader that addresses it as a learner.
    pub(super) fn match_or_join_group(&mut self, envelope: &Envelope) -> bool {
        if envelope.group.is_some() && envelope.group == self.state.group {
            return true;
        }
        let as_learner = match &envelope.body {
            Body::Append(append) => append.to_learner,
            Body::Install(install) => install.to_learner,
            _ => false,
        };
        if !self.has_empty_log() || !as_learner || envelope.group.is_none() {
            return false;
        }
        self.set_group(envelope.group);
        true
    }

    fn hello(&self, to_name: &MachineName) -> Envelope {
        Envelope {
            group: self.state.group,
            from: self.me(),
            to: None,
            to_name: to_name.clone(),
            term: self.state.term,
            body: Body::Hello,
        }
    }

    /// Consents to the bootstrap by this machine. The consent is durable: this
    /// disk takes part in no other bootstrap.
    fn consent_to_bootstrap(&mut self, bootstrap_machine: &Peer, now: Instant) {
        self.set_group(Some(bootstrap_machine.disk));
        let response = self.reply(bootstrap_machine, Body::BootstrapConsent);
        self.send_durable(response, now);
    }

    /// Records membership in another group, with a new persistent state.
    fn set_group(&mut self, group: Option<DiskId>) {
        if self.state.group == group {
            return;
        }
        self.state = HardState {
            group,
            term: 0,
            vote: None,
        };
        self.output.record(Record::State(self.state));
    }

    /// Creates the group once all machines of the settings, each on a new disk,
    /// have consented. As every machine must be on a new disk, a group that has
    /// lost some disks is never bootstrapped again.
    fn bootstrap_if_all_consented(&mut self, now: Instant) {
        let me = self.settings.me.clone();
        self.bootstrap_consents.insert(me, self.disk);
        let names = &self.settings.names;
        if !names
            .iter()
            .all(|n| self.bootstrap_consents.contains_key(n))
        {
            return;
        }
        let voters = names
            .iter()
            .map(|n| (self.bootstrap_consents[n], n.clone()));
        let payload = Payload::Members(Members::new(voters));
        self.state = HardState {
            group: Some(self.disk),
            term: BOOTSTRAP_TERM,
            vote: Some(self.disk),
        };
        self.output.record(Record::State(self.state));
        let entry = Entry {
            index: 1,
            term: BOOTSTRAP_TERM,
            payload,
        };
        self.output.record(Record::Append(entry.clone()));
        self.log.push(entry);
        self.refresh_members();
        self.start_pre_vote(now);
    }

    /// Keeps the request of a disk to be admitted, unless its machine may not join.
    fn add_joining(&mut self, peer: &Peer, now: Instant) {
        let Peer { disk, name } = peer.clone();
        let allowed =
            self.settings.open_membership.is_some() || self.settings.names.contains(&name);
        if !allowed || name == self.settings.me || self.members.get(disk).is_some() {
            return;
        }
        if let Election::Leader(leader) = &mut self.election {
            leader.joining.insert(name, (disk, now));
        }
    }
}
