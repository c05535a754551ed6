//! What one replica may and may not say, step by step.

use std::time::Duration;

use quorum::message::{Append, AppendReply, Peer, VoteReply, VoteRequest};
use quorum::{
    Body, DiskId, Entry, Envelope, HardState, Machine, Members, Payload, Record, Replica, Settings,
    Stored,
};
use tokio::time::Instant;
use world::{Kind, MachineName, Result};

/// The disk of the replica under test; its peers are 2 and 3.
const ME: DiskId = DiskId(1);
const GROUP: DiskId = DiskId(9);

#[derive(Debug)]
struct Nothing;

impl Machine for Nothing {
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

/// A voter of three with the founding entry and one more of term 2.
fn member() -> Stored {
    let voters = [1, 2, 3].map(|d| (DiskId(d), name(DiskId(d))));
    let founding = Entry {
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
    stored.entries = vec![founding, command(2, 2)];
    stored
}

fn start(stored: Stored, now: Instant) -> Replica<Nothing> {
    let names = [1, 2, 3].map(|d| name(DiskId(d))).to_vec();
    let settings = Settings::new(name(ME), names, 1);
    Replica::new(settings, stored, Nothing, now).expect("restored")
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

fn granted(replica: &mut Replica<Nothing>) -> Vec<(DiskId, bool)> {
    let replies = replica.take_messages().into_iter();
    let votes = replies.filter_map(|m| match m.body {
        Body::VoteReply(reply) => Some((m.to.expect("addressed"), reply.granted)),
        _ => None,
    });
    votes.collect()
}

/// Stores what is to be stored, on the disk and for the replica.
fn store(replica: &mut Replica<Nothing>, disk: &mut Stored, now: Instant) {
    while let Some(batch) = replica.take_batch() {
        for record in batch.records {
            disk.replay(record);
        }
        replica.stored(batch.seq, now);
    }
}

/// The replica as leader of term 4, with its first entry at index 3.
fn leader(now: Instant) -> Replica<Nothing> {
    let mut disk = member();
    let mut replica = start(disk.clone(), now);
    let later = now + Duration::from_secs(2);
    replica.tick(later);
    let reply = VoteReply {
        for_term: 4,
        granted: true,
    };
    replica.receive(message(2, 3, Body::PreVoteReply(reply)), later);
    let early = replica.take_messages();
    let asks = |m: &Envelope| matches!(m.body, Body::Vote(_));
    assert!(
        !early.iter().any(asks),
        "asks before its own vote is durable"
    );
    store(&mut replica, &mut disk, later);
    assert!(replica.take_messages().iter().any(asks));
    replica.receive(message(2, 4, Body::VoteReply(reply)), later);
    assert!(replica.is_leader());
    store(&mut replica, &mut disk, later);
    replica
}

fn acknowledge(replica: &mut Replica<Nothing>, index: u64, now: Instant) -> u64 {
    let reply = AppendReply {
        round: 1,
        fits: true,
        index,
    };
    replica.receive(message(2, 4, Body::AppendReply(reply)), now);
    replica.status(now).commit
}

#[test]
fn a_vote_is_given_once_it_is_durable_and_only_once_in_a_term() {
    let now = Instant::now();
    let mut disk = member();
    let mut replica = start(disk.clone(), now);
    replica.receive(message(2, 5, vote(5, 2, 2)), now);
    assert_eq!(granted(&mut replica), []);
    store(&mut replica, &mut disk, now);
    assert_eq!(granted(&mut replica), [(DiskId(2), true)]);
    let mut again = start(disk, now);
    again.receive(message(3, 5, vote(5, 9, 4)), now);
    assert_eq!(granted(&mut again), [(DiskId(3), false)]);
}

#[test]
fn a_candidate_that_lacks_entries_gets_no_vote() {
    let now = Instant::now();
    let mut disk = member();
    let mut replica = start(disk.clone(), now);
    replica.receive(message(2, 5, vote(5, 1, 1)), now);
    replica.receive(message(3, 5, vote(5, 9, 1)), now);
    store(&mut replica, &mut disk, now);
    let votes = [(DiskId(2), false), (DiskId(3), false)];
    assert_eq!(granted(&mut replica), votes);
}

#[test]
fn an_acknowledgement_of_an_earlier_term_is_not_sent() {
    let now = Instant::now();
    let mut replica = start(member(), now);
    let entries = vec![command(3, 5)];
    replica.receive(message(2, 5, append(2, 2, entries, false)), now);
    let batch = replica.take_batch().expect("records");
    let entries = vec![command(3, 6)];
    replica.receive(message(3, 6, append(2, 2, entries, false)), now);
    replica.stored(batch.seq, now);
    let early = replica.take_messages();
    let acknowledges = |m: &Envelope| matches!(m.body, Body::AppendReply(r) if r.fits);
    assert!(!early.iter().any(acknowledges), "{early:?}");
    store(&mut replica, &mut member(), now);
    let late = replica.take_messages();
    let to: Vec<_> = late
        .iter()
        .filter(|m| acknowledges(m))
        .map(|m| m.to)
        .collect();
    assert_eq!(to, [Some(DiskId(3))]);
}

/// An entry of an earlier term on a majority may still be displaced.
#[test]
fn a_leader_commits_by_entries_of_its_own_term() {
    let now = Instant::now();
    let mut replica = leader(now);
    let later = now + Duration::from_secs(2);
    assert_eq!(acknowledge(&mut replica, 2, later), 0);
    assert_eq!(acknowledge(&mut replica, 3, later), 3);
}

#[test]
fn members_change_one_at_a_time_and_not_before_an_own_entry_is_committed() {
    let now = Instant::now();
    let mut replica = leader(now);
    let later = now + Duration::from_secs(2);
    let early = replica.remove(&name(DiskId(3)), later).expect_err("early");
    assert_eq!(early.kind, Kind::Overloaded);
    acknowledge(&mut replica, 3, later);
    replica.remove(&name(DiskId(3)), later).expect("changes");
    let second = replica.remove(&name(DiskId(2)), later).expect_err("second");
    assert_eq!(second.kind, Kind::Overloaded);
}

/// A replica on a new disk belongs to no group until a leader makes that disk a learner.
#[test]
fn a_new_disk_takes_nothing_that_was_meant_for_another() {
    let now = Instant::now();
    let mut replica = start(Stored::new(ME), now);
    let entries = vec![command(1, 1)];
    replica.receive(message(2, 5, append(0, 0, entries.clone(), false)), now);
    assert!(replica.is_fresh(), "took entries as a voter");
    let mut other = message(2, 5, append(0, 0, entries.clone(), true));
    other.to = Some(DiskId(77));
    replica.receive(other, now);
    assert!(replica.is_fresh(), "took entries for another disk");
    replica.receive(message(2, 5, append(0, 0, entries, true)), now);
    assert!(!replica.is_fresh());
    let batch = replica.take_batch().expect("records");
    let joins = |r: &Record| matches!(r, Record::State(s) if s.group == Some(GROUP));
    assert!(batch.records.iter().any(joins));
}
