//! Safety rules of the protocol, tested on one replica with messages made by hand.

use std::time::Duration;

use quorum::message::{Append, AppendReply, Peer, VoteReply, VoteRequest};
use quorum::{
    Body, DiskId, Entry, Envelope, HardState, Members, Payload, Record, Replica, Settings,
    StateMachine, Stored,
};
use tokio::time::Instant;
use world::{ErrorKind, MachineName, Result};

/// Disk of the replica under test; the other voters are on disks 2 and 3.
const ME: DiskId = DiskId(1);
const GROUP: DiskId = DiskId(9);

#[derive(Debug)]
struct NoopMachine;

impl StateMachine for NoopMachine {
    type Output = ();

    fn apply(&mut self, _index: u64, _command: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _bytes: &[u8]) -> Result<()> {
        Ok(())
    }
}

fn name(disk: DiskId) -> MachineName {
    MachineName::new(&format!("c{}", disk.0)).expect("name")
}

fn command(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(Vec::new().into());
    Entry {
        index,
        term,
        payload,
    }
}

/// Disk of a voter in a group of three. Its log has the first entry of the group
/// and a command of term 2; its current term is 3.
fn stored_voter() -> Stored {
    let voters = [1, 2, 3].map(|d| (DiskId(d), name(DiskId(d))));
    let first_entry = Entry {
        index: 1,
        term: 1,
        payload: Payload::Members(Members::new(voters)),
    };
    let mut stored = Stored::new(ME);
    stored.state = HardState {
        group: Some(GROUP),
        term: 3,
        vote: None,
    };
    stored.entries = vec![first_entry, command(2, 2)];
    stored
}

fn start(stored: Stored, now: Instant) -> Replica<NoopMachine> {
    let names = [1, 2, 3].map(|d| name(DiskId(d))).to_vec();
    let settings = Settings::new(name(ME), names, 1);
    Replica::new(settings, stored, NoopMachine, now).expect("restored")
}

fn message(from: u64, term: u64, body: Body) -> Envelope {
    let disk = DiskId(from);
    Envelope {
        group: Some(GROUP),
        from: Peer {
            disk,
            name: name(disk),
        },
        to: Some(ME),
        to_name: name(ME),
        term,
        body,
    }
}

fn vote(for_term: u64, last_index: u64, last_term: u64) -> Body {
    Body::Vote(VoteRequest {
        for_term,
        last_index,
        last_term,
    })
}

fn append(prev_index: u64, prev_term: u64, entries: Vec<Entry>, to_learner: bool) -> Body {
    Body::Append(Append {
        round: 1,
        to_learner,
        prev_index,
        prev_term,
        entries,
        commit: 0,
    })
}

/// Takes the messages and returns the receiver and decision of each vote response.
fn granted(replica: &mut Replica<NoopMachine>) -> Vec<(DiskId, bool)> {
    let replies = replica.take_messages().into_iter();
    let votes = replies.filter_map(|m| match m.body {
        Body::VoteReply(reply) => Some((m.to.expect("addressed"), reply.granted)),
        _ => None,
    });
    votes.collect()
}

/// Stores all records on the disk and confirms them to the replica.
fn store(replica: &mut Replica<NoopMachine>, disk: &mut Stored, now: Instant) {
    while let Some(batch) = replica.take_batch() {
        for record in batch.records {
            disk.replay(record);
        }
        replica.stored(batch.seq, now);
    }
}

/// The replica as leader of term 4; the first entry of that term has index 3.
fn leader(now: Instant) -> Replica<NoopMachine> {
    let mut disk = stored_voter();
    let mut replica = start(disk.clone(), now);
    let later = now + Duration::from_secs(2);
    replica.tick(later);
    let reply = VoteReply {
        for_term: 4,
        granted: true,
    };
    replica.receive(message(2, 3, Body::PreVoteReply(reply)), later);
    let early = replica.take_messages();
    let is_vote_request = |m: &Envelope| matches!(m.body, Body::Vote(_));
    assert!(
        !early.iter().any(is_vote_request),
        "requests votes before its own vote is durable"
    );
    store(&mut replica, &mut disk, later);
    assert!(replica.take_messages().iter().any(is_vote_request));
    replica.receive(message(2, 4, Body::VoteReply(reply)), later);
    assert!(replica.is_leader());
    store(&mut replica, &mut disk, later);
    replica
}

/// Acknowledges the log up to `index` as disk 2, and returns the commit index.
fn acknowledge(replica: &mut Replica<NoopMachine>, index: u64, now: Instant) -> u64 {
    let reply = AppendReply {
        round: 1,
        fits: true,
        index,
    };
    replica.receive(message(2, 4, Body::AppendReply(reply)), now);
    replica.status(now).commit
}

/// A replica that forgot its vote in a crash could vote for two candidates in one
/// term. Both could then become leader.
#[test]
fn a_vote_is_given_once_it_is_durable_and_only_once_in_a_term() {
    let now = Instant::now();
    let mut disk = stored_voter();
    let mut replica = start(disk.clone(), now);
    replica.receive(message(2, 5, vote(5, 2, 2)), now);
    assert_eq!(granted(&mut replica), []);
    store(&mut replica, &mut disk, now);
    assert_eq!(granted(&mut replica), [(DiskId(2), true)]);
    let mut restarted = start(disk, now);
    restarted.receive(message(3, 5, vote(5, 9, 4)), now);
    assert_eq!(granted(&mut restarted), [(DiskId(3), false)]);
}

/// Such a candidate could become leader without all committed entries. The log with
/// the higher last term is the more recent one, whatever its length.
#[test]
fn a_candidate_that_lacks_entries_gets_no_vote() {
    let now = Instant::now();
    let mut disk = stored_voter();
    let mut replica = start(disk.clone(), now);
    replica.receive(message(2, 5, vote(5, 1, 1)), now);
    replica.receive(message(3, 5, vote(5, 9, 1)), now);
    store(&mut replica, &mut disk, now);
    let votes = [(DiskId(2), false), (DiskId(3), false)];
    assert_eq!(granted(&mut replica), votes);
}

/// The entry that the first leader sent is truncated before it is durable. An
/// acknowledgement to that leader would count an entry that this log lacks.
#[test]
fn an_acknowledgement_of_an_earlier_term_is_not_sent() {
    let now = Instant::now();
    let mut replica = start(stored_voter(), now);
    let entries = vec![command(3, 5)];
    replica.receive(message(2, 5, append(2, 2, entries, false)), now);
    let batch = replica.take_batch().expect("records");
    let entries = vec![command(3, 6)];
    replica.receive(message(3, 6, append(2, 2, entries, false)), now);
    replica.stored(batch.seq, now);
    let early = replica.take_messages();
    let acknowledges = |m: &Envelope| matches!(m.body, Body::AppendReply(r) if r.fits);
    assert!(!early.iter().any(acknowledges), "{early:?}");
    store(&mut replica, &mut stored_voter(), now);
    let late = replica.take_messages();
    let to: Vec<_> = late
        .iter()
        .filter(|m| acknowledges(m))
        .map(|m| m.to)
        .collect();
    assert_eq!(to, [Some(DiskId(3))]);
}

/// A later leader may still overwrite an entry of an earlier term, even if a
/// majority has it.
#[test]
fn a_leader_commits_by_entries_of_its_own_term() {
    let now = Instant::now();
    let mut replica = leader(now);
    let later = now + Duration::from_secs(2);
    assert_eq!(acknowledge(&mut replica, 2, later), 0);
    assert_eq!(acknowledge(&mut replica, 3, later), 3);
}

/// With two concurrent changes, or one by a leader that doesn't know the latest
/// committed members, two disjoint majorities could exist.
#[test]
fn members_change_one_at_a_time_and_not_before_an_own_entry_is_committed() {
    let now = Instant::now();
    let mut replica = leader(now);
    let later = now + Duration::from_secs(2);
    let early = replica.remove(&name(DiskId(3)), later).expect_err("early");
    assert_eq!(early.kind, ErrorKind::Overloaded);
    acknowledge(&mut replica, 3, later);
    replica.remove(&name(DiskId(3)), later).expect("changes");
    let second = replica.remove(&name(DiskId(2)), later).expect_err("second");
    assert_eq!(second.kind, ErrorKind::Overloaded);
}

/// A replica that has lost its disk must not act for the old one. It ignores
/// entries until a leader sends them to its new disk as a learner.
#[test]
fn a_new_disk_takes_nothing_that_was_meant_for_another() {
    let now = Instant::now();
    let mut replica = start(Stored::new(ME), now);
    let entries = vec![command(1, 1)];
    replica.receive(message(2, 5, append(0, 0, entries.clone(), false)), now);
    assert!(replica.has_empty_log(), "accepted entries as a voter");
    let mut other = message(2, 5, append(0, 0, entries.clone(), true));
    other.to = Some(DiskId(77));
    replica.receive(other, now);
    assert!(replica.has_empty_log(), "accepted entries for another disk");
    replica.receive(message(2, 5, append(0, 0, entries, true)), now);
    assert!(!replica.has_empty_log());
    let batch = replica.take_batch().expect("records");
    let enters_group = |r: &Record| matches!(r, Record::State(s) if s.group == Some(GROUP));
    assert!(batch.records.iter().any(enters_group));
}
