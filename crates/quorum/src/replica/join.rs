//! Founding a group, joining it, and changing its members one at a time.

use std::collections::BTreeSet;

use tokio::time::Instant;
use world::{Error, Kind, MachineName, Result};

use crate::machine::Machine;
use crate::members::{Members, Role, VOTERS_MAX};
use crate::message::{Body, DiskId, Entry, Envelope, Payload, Peer};
use crate::record::{HardState, Record};
use crate::replica::{NEAR_ENTRIES, Part, Replica, Ticket};

/// An open group does not remove silent voters below this number.
const VOTERS_MIN: usize = 3;

/// Term of the entry that founds a group; elections start after it.
const FOUNDING_TERM: u64 = 1;

impl<M: Machine> Replica<M> {
    /// Removes the member that stands under `name`, so that the machine may
    /// join again with a new disk.
    ///
    /// # Errors
    /// [`Kind::NotLeader`]; [`Kind::BadRequest`] when there is no such member or
    /// it is this leader; [`Kind::Overloaded`] while another change is under way.
    pub fn remove(&mut self, name: &MachineName, now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        self.accepts()?;
        let Some(disk) = self.members.disk_of(name).filter(|d| *d != self.disk) else {
            let text = format!("{name} is the leader or no member");
            return Err(Error::new(Kind::BadRequest, text));
        };
        if !self.may_change() {
            let text = "another change of members is under way";
            return Err(Error::new(Kind::Overloaded, text));
        }
        let members = self.members.without(disk);
        let ticket = self.append_own(Payload::Members(members), now);
        self.settle(now);
        Ok(ticket)
    }

    /// A replica on a new disk asks for a group until it has one.
    pub(super) fn say_hello(&mut self, now: Instant) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + self.settings.timing.election();
        if self.is_fresh() && self.settings.is_founder() {
            self.found_if_all_pledged(now);
        }
        let me = self.settings.me.clone();
        let members = self.members.iter().map(|(_, member)| &member.name);
        let named = self.settings.names.iter().chain(members);
        let others: BTreeSet<&MachineName> = named.filter(|n| **n != me).collect();
        let hellos: Vec<Envelope> = others.into_iter().map(|n| self.hello(n)).collect();
        for hello in hellos {
            self.output.messages_push(hello);
        }
    }

    pub(super) fn on_hello(&mut self, envelope: &Envelope, now: Instant) {
        if self.is_fresh() {
            let founder = self.settings.names.first() == Some(&envelope.from.name);
            if founder && self.settings.founds {
                self.pledge(&envelope.from, now);
            }
        } else if self.is_leader() {
            self.admit(&envelope.from, now);
        } else if self.settings.open.is_some() {
            self.pass_hello_on(envelope);
        }
    }

    /// The sender may not know the leader's machine.
    fn pass_hello_on(&mut self, envelope: &Envelope) {
        let Some(leader) = self.leader().cloned() else {
            return;
        };
        if leader == envelope.from.name {
            return;
        }
        let mut passed = envelope.clone();
        passed.to_name = leader;
        self.output.messages_push(passed);
    }

    pub(super) fn on_pledge(&mut self, envelope: &Envelope, now: Instant) {
        let expected = self.is_fresh() && self.settings.is_founder();
        if !expected || envelope.group != Some(self.disk) {
            return;
        }
        let Peer { disk, name } = envelope.from.clone();
        self.pledged.insert(name, disk);
        self.found_if_all_pledged(now);
    }

    /// Whether the message is of this replica's group. A replica on a new disk
    /// takes the group of a leader that has made it a learner.
    pub(super) fn joins(&mut self, envelope: &Envelope) -> bool {
        if envelope.group.is_some() && envelope.group == self.state.group {
            return true;
        }
        let as_learner = match &envelope.body {
            Body::Append(append) => append.to_learner,
            Body::Install(install) => install.to_learner,
            _ => false,
        };
        if !self.is_fresh() || !as_learner || envelope.group.is_none() {
            return false;
        }
        self.enter_group(envelope.group);
        true
    }

    /// A learner that has caught up gets its vote.
    pub(super) fn promote_learner(&mut self, now: Instant) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        if !self.may_change() || self.members.voters().count() >= VOTERS_MAX {
            return;
        }
        let timeout = self.settings.timing.election();
        let ready = |disk: DiskId| {
            leader.progress.get(&disk).is_some_and(|p| {
                let near = p.matched > 0 && p.matched + NEAR_ENTRIES >= self.commit;
                near && now.saturating_duration_since(p.heard_at) < timeout
            })
        };
        let learners = self.members.iter().filter(|(_, m)| m.role == Role::Learner);
        let Some((disk, member)) = learners.into_iter().find(|(disk, _)| ready(*disk)) else {
            return;
        };
        let name = member.name.clone();
        let members = self.members.with_member(disk, name, Role::Voter);
        self.append_entry(Payload::Members(members), now);
    }

    /// In an open group a voter that stays silent loses its vote, so that
    /// machines that are gone for good do not eat up the majority.
    pub(super) fn retire_voter(&mut self, now: Instant) {
        let Some(open) = self.settings.open else {
            return;
        };
        if !self.may_change() || self.members.voters().count() <= VOTERS_MIN {
            return;
        }
        let silent = |disk: &DiskId| {
            let heard_ms = self.heard_ms(*disk, now);
            heard_ms.is_some_and(|ms| ms >= open.retire_ms)
        };
        let Some(disk) = self.members.voters().find(silent) else {
            return;
        };
        log::warn!(
            "disk {disk} has been silent for {} ms and loses its vote",
            open.retire_ms
        );
        let members = self.members.without(disk);
        self.append_entry(Payload::Members(members), now);
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

    /// From here on this disk takes part in no other founding.
    fn pledge(&mut self, founder: &Peer, now: Instant) {
        self.enter_group(Some(founder.disk));
        let answer = self.reply(founder, Body::Pledge);
        self.send_durable(answer, now);
    }

    fn enter_group(&mut self, group: Option<DiskId>) {
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

    /// Founds the group once every machine of the settings has a new disk and
    /// is pledged: a group that lost some disks is never founded anew.
    fn found_if_all_pledged(&mut self, now: Instant) {
        let me = self.settings.me.clone();
        self.pledged.insert(me, self.disk);
        let names = &self.settings.names;
        if !names.iter().all(|n| self.pledged.contains_key(n)) {
            return;
        }
        let voters = names.iter().map(|n| (self.pledged[n], n.clone()));
        let payload = Payload::Members(Members::new(voters));
        self.state = HardState {
            group: Some(self.disk),
            term: FOUNDING_TERM,
            vote: Some(self.disk),
        };
        self.output.record(Record::State(self.state));
        let entry = Entry {
            index: 1,
            term: FOUNDING_TERM,
            payload,
        };
        self.output.record(Record::Append(entry.clone()));
        self.log.push(entry);
        self.refresh_members();
        self.start_pre_vote(now);
    }

    /// Takes in the new disk of a machine as a learner, in place of the disk
    /// that the machine has lost.
    fn admit(&mut self, peer: &Peer, now: Instant) {
        let Peer { disk, name } = peer.clone();
        let named = self.settings.open.is_some() || self.settings.names.contains(&name);
        if !named
            || name == self.settings.me
            || self.members.get(disk).is_some()
            || !self.may_change()
        {
            return;
        }
        let mut members = self.members.clone();
        if let Some(old) = members.disk_of(&name) {
            let replace_ms = self.settings.timing.replace_ms;
            if self.heard_ms(old, now).is_none_or(|ms| ms < replace_ms) {
                return;
            }
            log::warn!("{name} has lost disk {old} and joins again with disk {disk}");
            members = members.without(old);
        }
        let members = members.with_member(disk, name, Role::Learner);
        self.append_entry(Payload::Members(members), now);
    }

    /// Members change one at a time, and only after an entry of this term is committed.
    fn may_change(&self) -> bool {
        let Part::Leader(leader) = &self.part else {
            return false;
        };
        self.commit >= leader.first_index && self.commit >= self.members_index
    }
}
