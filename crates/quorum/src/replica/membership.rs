//! Changes of members on the leader, one at a time.
//!
//! A change admits all disks that ask for it as learners, and adds or removes at most
//! one voter. Voters that are lost are removed, and learners that have caught up take
//! their place, so that the group is whole again soon after a loss.

use tokio::time::Instant;

use crate::members::{Members, Role, VOTERS_MAX};
use crate::message::{DiskId, Payload};
use crate::replica::{CAUGHT_UP_LAG_ENTRIES, Election, Replica};
use crate::state_machine::StateMachine;

/// The next members.
struct NextMembers {
    members: Members,
    /// Whether they have one voter more or less.
    changes_voters: bool,
}

impl NextMembers {
    fn remove_voter(&mut self, disk: DiskId) {
        self.members = self.members.without(disk);
        self.changes_voters = true;
    }
}

impl<M: StateMachine> Replica<M> {
    /// Starts the change of members that is due, if any.
    pub(super) fn change_members(&mut self, now: Instant) {
        if !self.can_change_members() || self.is_whole(now) {
            return;
        }
        let mut next = NextMembers {
            members: self.members.clone(),
            changes_voters: false,
        };
        self.admit_joining(&mut next, now);
        self.remove_silent_voter(&mut next, now);
        self.promote_learner(&mut next, now);
        if next.members != self.members {
            self.append_entry(Payload::Members(next.members), now);
        }
    }

    /// Whether all members are voters that respond, and no disk asks to be admitted.
    fn is_whole(&self, now: Instant) -> bool {
        let Election::Leader(leader) = &self.election else {
            return false;
        };
        let election_ms = self.settings.timing.election_ms;
        let responds =
            |disk| self.members.is_voter(disk) && !self.is_silent(disk, election_ms, now);
        leader.joining.is_empty() && self.members.iter().all(|(disk, _)| responds(disk))
    }

    /// Whether this leader may start a change of members: only after the previous one
    /// and an entry of this term are committed.
    pub(super) fn can_change_members(&self) -> bool {
        let Election::Leader(leader) = &self.election else {
            return false;
        };
        self.commit >= leader.first_index && self.commit >= self.members_index
    }

    /// Adds the disks that ask for it as learners. Such a disk replaces the one that its
    /// machine had before, which is gone.
    fn admit_joining(&mut self, next: &mut NextMembers, now: Instant) {
        let timing = self.settings.timing;
        let Election::Leader(leader) = &mut self.election else {
            return;
        };
        let recent = 2 * timing.min_election_timeout();
        leader.joining.retain(|_, (disk, asked_at)| {
            self.members.get(*disk).is_none() && now.saturating_duration_since(*asked_at) < recent
        });
        for (name, (disk, _)) in leader.joining.clone() {
            if let Some(old) = self.members.disk_of(&name) {
                let silent = self.is_silent(old, timing.replace_ms, now);
                let votes = self.members.is_voter(old);
                if !silent || votes && next.changes_voters {
                    continue;
                }
                log::warn!("{name} joins again with disk {disk}, which replaces disk {old}");
                next.members = next.members.without(old);
                next.changes_voters |= votes;
            }
            next.members = next.members.with_member(disk, name, Role::Learner);
        }
    }

    /// In an open group, removes a silent voter if enough others remain or a learner can
    /// take its place. Silence doesn't prove that its disk is gone.
    fn remove_silent_voter(&self, next: &mut NextMembers, now: Instant) {
        let Some(open_membership) = self.settings.open_membership else {
            return;
        };
        let others = self.members.voters().count() - 1 + self.ready_learners(now).count();
        if next.changes_voters || others < open_membership.min_voters() {
            return;
        }
        let retire_ms = open_membership.retire_ms;
        let mut voters = self.members.voters();
        if let Some(disk) = voters.find(|disk| self.is_silent(*disk, retire_ms, now)) {
            log::warn!("removing the voter on disk {disk}: silent for {retire_ms} ms");
            next.remove_voter(disk);
        }
    }

    /// Makes a learner that has caught up a voter. In an open group it waits while a voter
    /// is silent that it may replace.
    fn promote_learner(&self, next: &mut NextMembers, now: Instant) {
        let voters = self.members.voters().count();
        if next.changes_voters || voters >= VOTERS_MAX {
            return;
        }
        if let Some(open_membership) = self.settings.open_membership {
            let election_ms = self.settings.timing.election_ms;
            let mut disks = self.members.voters();
            let any_silent = disks.any(|disk| self.is_silent(disk, election_ms, now));
            if any_silent && voters >= open_membership.min_voters() {
                return;
            }
        }
        let ready = self.ready_learners(now).next();
        let Some((disk, member)) = ready.and_then(|disk| Some((disk, next.members.get(disk)?)))
        else {
            return;
        };
        let name = member.name.clone();
        next.members = next.members.with_member(disk, name, Role::Voter);
        next.changes_voters = true;
    }

    /// Learners that respond and have caught up.
    fn ready_learners(&self, now: Instant) -> impl Iterator<Item = DiskId> {
        let timeout = self.settings.timing.min_election_timeout();
        let is_ready = move |disk: &DiskId| {
            let Election::Leader(leader) = &self.election else {
                return false;
            };
            leader.progress.get(disk).is_some_and(|p| {
                let caught_up =
                    p.match_index > 0 && p.match_index + CAUGHT_UP_LAG_ENTRIES >= self.commit;
                caught_up && now.saturating_duration_since(p.last_contact_at) < timeout
            })
        };
        let members = self.members.iter();
        let learners = members.filter(|(_, member)| member.role == Role::Learner);
        learners.map(|(disk, _)| disk).filter(is_ready)
    }

    /// Whether a member other than this leader has not responded for `silent_ms`.
    fn is_silent(&self, disk: DiskId, silent_ms: u64, now: Instant) -> bool {
        self.last_contact_ms(disk, now)
            .is_some_and(|ms| ms >= silent_ms)
    }
}
