//! Simulations of a group with one fault each: elections, partitions, frozen
//! replicas, lost disks and catching up.

mod sim;

use quorum::{Replica, Role};
use rstest::rstest;
use sim::{ClientOutcome, Sim, name};
use world::ErrorKind;

/// A group of which all machines are voters that have caught up.
fn group_of(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, seed);
    sim.run_until("all are members", 10_000, Sim::repaired);
    sim
}

/// Proposes a command and runs until it is accepted; returns its number.
fn commit_command(sim: &mut Sim, at: usize) -> u64 {
    let number = sim.propose(at).expect("leads");
    sim.run_until("accepted", 10_000, |s| {
        s.commands[&number] == ClientOutcome::Accepted
    });
    number
}

/// Runs until a replica other than `old` is leader.
fn next_leader(sim: &mut Sim, old: usize) -> usize {
    let other = |s: &Sim| s.leader().filter(|at| *at != old);
    sim.run_until("another leader", 10_000, |s| other(s).is_some());
    other(sim).expect("leader")
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
#[case(7)]
fn a_group_bootstraps_and_commits(#[case] count: usize) {
    let mut sim = group_of(count, 1);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    let status = sim.status(leader).expect("running");
    let rows: Vec<String> = status
        .members
        .iter()
        .map(|m| format!("{} {:?} repaired: {}", m.name, m.role, m.repaired))
        .collect();
    let mut rows = rows;
    rows.sort();
    insta::assert_snapshot!(format!("bootstrapped_{count}"), rows.join("\n"));
}

#[test]
fn a_crashed_leader_is_replaced_and_nothing_is_lost() {
    let mut sim = group_of(3, 2);
    let old = sim.leader().expect("leader");
    commit_command(&mut sim, old);
    sim.crash_with(old, false);
    let new = next_leader(&mut sim, old);
    commit_command(&mut sim, new);
    sim.start(old);
    sim.heal_and_check();
    assert_eq!(sim.accepted().len(), 2);
}

/// An isolated leader must reject proposals once it has had no contact with a
/// majority for an election timeout.
#[test]
fn an_isolated_leader_stops_accepting() {
    let mut sim = group_of(3, 3);
    let old = sim.leader().expect("leader");
    sim.isolate(old);
    let uncommitted = sim.propose(old).expect("still believes that it leads");
    let timing = quorum::Timing::default();
    sim.run_ms(timing.election_ms + timing.heartbeat_ms);
    let refused = sim.propose(old).expect_err("no longer leader");
    assert_eq!(refused.kind, ErrorKind::NotLeader);
    assert_eq!(sim.commands[&uncommitted], ClientOutcome::Waiting);
    let new = next_leader(&mut sim, old);
    commit_command(&mut sim, new);
    sim.run_until("outcome", 10_000, |s| {
        s.commands[&uncommitted] == ClientOutcome::Unknown
    });
    sim.heal_and_check();
    // The command was overwritten in the log, though its outcome was unknown when
    // the proposal timed out.
    let leader = sim.leader().expect("leader");
    assert_eq!(sim.journal(leader).0.len(), 1);
}

/// The isolated leader accepts a proposal, which a new leader's entries overwrite.
/// Its outcome is then known: not accepted.
#[test]
fn a_proposal_that_another_leader_displaced_was_not_accepted() {
    let mut sim = group_of(3, 4);
    let old = sim.leader().expect("leader");
    sim.isolate(old);
    let overwritten = sim.propose(old).expect("still believes that it leads");
    let new = next_leader(&mut sim, old);
    commit_command(&mut sim, new);
    sim.blocked_links.clear();
    sim.run_until("outcome", 10_000, |s| {
        s.commands[&overwritten] == ClientOutcome::NotAccepted
    });
    sim.heal_and_check();
}

/// A leader that was frozen while another was elected must notice this before it
/// answers a read.
#[test]
fn a_resumed_leader_answers_no_stale_read() {
    let mut sim = group_of(3, 5);
    let old = sim.leader().expect("leader");
    commit_command(&mut sim, old);
    sim.nodes[old].frozen = true;
    let new = next_leader(&mut sim, old);
    commit_command(&mut sim, new);
    sim.nodes[old].frozen = false;
    let refused = sim.read(old).expect_err("no longer leader");
    assert_eq!(refused.kind, ErrorKind::NotLeader);
    sim.read(new).expect("leads");
    sim.run_until("read", 1_000, |s| s.reads_done == 1);
}

/// A leader that has just lost contact must not answer a read, since there may be a
/// new leader. 300 ms are too short for it to notice by its own clock; only the
/// round of the read prevents a stale answer.
#[test]
fn a_short_freeze_hides_no_new_leader_from_a_read() {
    let mut sim = group_of(3, 6);
    let old = sim.leader().expect("leader");
    sim.isolate(old);
    let read = sim.read(old);
    sim.run_ms(300);
    assert!(read.is_ok());
    assert_eq!(sim.reads_done, 0);
}

/// Without the pre-vote an isolated replica would increase its term with each
/// timeout, and depose the leader when it returns.
#[test]
fn a_minority_elects_nobody_and_keeps_its_term() {
    let mut sim = group_of(5, 7);
    let leader = sim.leader().expect("leader");
    let isolated = (leader + 1) % 5;
    let term = sim.status(isolated).expect("running").term;
    sim.isolate(isolated);
    sim.run_ms(20_000);
    assert_eq!(sim.status(isolated).expect("running").term, term);
    sim.blocked_links.clear();
    sim.run_ms(2_000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.status(leader).expect("running").term, term);
}

#[test]
fn a_far_behind_replica_catches_up_by_one_snapshot() {
    let mut sim = Sim::with_settings(3, 8, |s| s.with_compaction(50, 5));
    sim.run_until("all are members", 10_000, Sim::repaired);
    let leader = sim.leader().expect("leader");
    let lagging = (leader + 1) % 3;
    sim.crash_with(lagging, true);
    for _ in 0..300 {
        commit_command(&mut sim, leader);
    }
    sim.start(lagging);
    sim.heal_and_check();
    let status = sim.status(lagging).expect("running");
    assert!(status.snapshot_index >= 250, "{}", status.snapshot_index);
}

/// A delayed or duplicated snapshot must not undo entries that the replica has
/// already acknowledged.
#[test]
fn snapshots_arrive_late_and_twice() {
    for seed in 0..20 {
        let mut sim = Sim::with_settings(3, seed, |s| s.with_compaction(5, 0));
        (sim.duplicate_rate, sim.delay_ms, sim.loss_rate) = (0.3, 400, 0.1);
        for round in 0..3_000 {
            if let Some(leader) = sim.leader().filter(|_| round % 3 == 0) {
                drop(sim.propose(leader));
            }
            sim.step();
        }
        sim.heal_and_check();
    }
}

#[test]
fn a_lost_disk_has_no_vote_under_the_old_name() {
    let mut sim = group_of(3, 9);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    // Only `leader` and `other` still have the command. With the leader down,
    // `other` and the replica on the new disk must not elect a leader.
    sim.lose_disk(lost);
    sim.crash_with(leader, true);
    sim.run_ms(20_000);
    assert_eq!(sim.leader(), None);
    assert!(sim.status(lost).expect("running").members.is_empty());
    let status = sim.status(other).expect("running");
    assert!(status.members.iter().all(|m| !m.repaired));
    sim.start(leader);
    sim.heal_and_check();
}

/// The sequence of states that the leader reports for a machine that has lost its
/// disk. `repaired` must stay false until the new disk is a voter with the log.
#[test]
fn a_repair_is_reported_when_the_new_disk_votes_and_has_caught_up() {
    let mut sim = group_of(3, 10);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    let lost = (leader + 1) % 3;
    let old_disk = sim.status(lost).expect("running").disk;
    sim.lose_disk(lost);
    let timeout_ms = quorum::Timing::default().election_ms;
    let mut seen = Vec::new();
    while !sim.repaired() {
        sim.step();
        let status = sim.status(leader).expect("running");
        let member = status.members.into_iter().find(|m| m.name == name(lost));
        let row = match member {
            Some(m) => {
                let disk = if m.disk == old_disk { "old" } else { "new" };
                let heard = m.heard_ms.is_some_and(|ms| ms < timeout_ms);
                let repaired = m.repaired;
                format!(
                    "{disk} disk, {:?}, heard: {heard}, repaired: {repaired}",
                    m.role
                )
            }
            None => "no member".into(),
        };
        if seen.last() != Some(&row) {
            seen.push(row);
        }
        assert!(seen.len() < 20);
    }
    insta::assert_snapshot!(seen.join("\n"));
    sim.heal_and_check();
}

/// Each disk is lost as soon as the one before it is reported as repaired.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut sim = group_of(3, 11);
    for round in 0..6 {
        let leader = sim.leader().expect("leader");
        for _ in 0..5 {
            commit_command(&mut sim, leader);
        }
        sim.lose_disk(round % 3);
        sim.run_until("repaired", 30_000, Sim::repaired);
    }
    sim.heal_and_check();
    assert_eq!(sim.accepted().len(), 30);
}

/// Guards against a log that outgrows the memory of its machine, and is too large to be
/// read at the next start: it was compacted by the number of its entries only.
#[test]
fn the_log_is_compacted_by_the_length_of_its_commands() {
    const COMMAND_BYTES: usize = 8;
    const COMPACT_BYTES: usize = 20 * COMMAND_BYTES;
    let mut sim = Sim::with_settings(3, 15, |mut s| {
        s.compact_bytes = COMPACT_BYTES;
        s
    });
    sim.run_until("all are members", 10_000, Sim::repaired);
    let leader = sim.leader().expect("leader");
    for _ in 0..100 {
        commit_command(&mut sim, leader);
        for at in 0..3 {
            let log_bytes = sim.nodes[at].replica.as_ref().map(Replica::log_bytes);
            assert!(log_bytes < Some(2 * COMPACT_BYTES), "{log_bytes:?}");
        }
    }
    sim.run_ms(1_000);
    for at in 0..3 {
        assert!(sim.nodes[at].disk.entries.len() <= 20);
        sim.crash_with(at, true);
        sim.start(at);
    }
    sim.heal_and_check();
}

/// An operator removes a machine that doesn't come back by itself; it joins again
/// with a new disk.
#[test]
fn an_operator_replaces_a_machine() {
    let mut sim = group_of(3, 12);
    let leader = sim.leader().expect("leader");
    let lost = (leader + 1) % 3;
    sim.crash_with(lost, false);
    let now = sim.now;
    let node = sim.nodes[leader].replica.as_mut().expect("running");
    let own = node.remove(&name(leader), now).expect_err("leads");
    assert_eq!(own.kind, ErrorKind::BadRequest);
    node.remove(&name(lost), now).expect("changes");
    let again = node.remove(&name(lost), now).expect_err("gone");
    assert_eq!(again.kind, ErrorKind::BadRequest);
    sim.run_ms(1_000);
    let status = sim.status(leader).expect("running");
    assert_eq!(status.missing, vec![name(lost)]);
    assert!(!status.repaired);
    sim.lose_disk(lost);
    sim.run_until("repaired", 10_000, Sim::repaired);
    let status = sim.status(leader).expect("running");
    assert!(status.members.iter().all(|m| m.role == Role::Voter));
}

/// The bootstrap machine must not create a second group when it starts on a new
/// disk.
#[test]
fn a_bootstrap_machine_on_a_new_disk_rejoins_its_group() {
    let mut sim = group_of(3, 13);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    let group = sim.status(1).expect("running").group;
    sim.lose_disk(0);
    sim.run_until("repaired", 30_000, Sim::repaired);
    assert_eq!(sim.status(0).expect("running").group, group);
    sim.heal_and_check();
}

/// With a majority of the disks lost, nothing may be accepted, and the machines on
/// new disks must not create an empty group.
#[test]
fn two_lost_disks_of_three_bootstrap_no_new_group() {
    let mut sim = group_of(3, 14);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    sim.lose_disk(0);
    sim.lose_disk(1);
    sim.run_ms(30_000);
    assert_eq!(sim.leader(), None);
    let first = sim.propose(0).expect_err("no group");
    assert_eq!(first.kind, ErrorKind::NotLeader);
}

/// If all voters started their elections at the same time, they would split the
/// votes. Network delays are up to 55 ms.
#[test]
fn a_group_that_was_stopped_whole_soon_leads_again() {
    let mut quick = 0;
    for seed in 0..10 {
        let mut sim = group_of(6, seed);
        sim.delay_ms = 55;
        for at in 0..6 {
            sim.crash_with(at, false);
        }
        for at in 0..6 {
            sim.start(at);
        }
        let started_at = sim.now;
        sim.run_until("a leader", 10_000, |s| s.leader().is_some());
        quick += u32::from(sim.now - started_at < quorum::Timing::default().min_election_timeout());
    }
    assert!(
        quick >= 5,
        "{quick} of 10 led within the minimum election timeout"
    );
}

/// As above, with pauses between the starts. The time counts from the last start.
#[test]
fn a_group_whose_machines_start_one_after_the_other_leads_soon_after() {
    let mut quick = 0;
    for seed in 0..10 {
        let mut sim = group_of(6, seed);
        sim.delay_ms = 55;
        for at in 0..6 {
            sim.crash_with(at, false);
        }
        for (at, pause_ms) in [0, 0, 300, 500, 200, 200].into_iter().enumerate() {
            sim.run_ms(pause_ms);
            sim.start(at);
        }
        let started_at = sim.now;
        sim.run_until("a leader", 10_000, |s| s.leader().is_some());
        quick += u32::from(sim.now - started_at < quorum::Timing::default().min_election_timeout());
    }
    assert!(
        quick >= 8,
        "{quick} of 10 led within the minimum election timeout"
    );
}

/// Enables open membership, with the first three machines as initial ones.
fn open_group(settings: quorum::Settings) -> quorum::Settings {
    let open = quorum::OpenMembership {
        retire_ms: 12_000,
        tolerated_losses: 1,
    };
    let initial: Vec<_> = (0..3).map(name).collect();
    let mut settings = settings.with_open_membership(open, true);
    settings.names = initial;
    settings
}

/// Names of the voters as the leader reports them, sorted.
fn voters(sim: &Sim) -> Vec<String> {
    let Some(status) = sim.leader().and_then(|at| sim.status(at)) else {
        return Vec::new();
    };
    let voters = status.members.iter().filter(|m| m.role == Role::Voter);
    let mut voters: Vec<String> = voters.map(|m| m.name.to_string()).collect();
    voters.sort();
    voters
}

#[test]
fn machines_that_no_settings_name_join_an_open_group() {
    let mut sim = Sim::with_settings(6, 4, open_group);
    sim.run_until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
}

/// A voter that is down longer than `retire_ms` must be removed, so that it doesn't
/// count towards the majority, and must become a voter again after its return.
#[test]
fn a_silent_voter_of_an_open_group_loses_its_vote_and_comes_back() {
    let mut sim = Sim::with_settings(6, 5, open_group);
    sim.run_until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    let gone = (0..6).find(|at| *at != leader).expect("another");
    sim.crash_with(gone, false);
    sim.run_until("retired", 20_000, |s| voters(s).len() == 5);
    sim.start(gone);
    sim.run_until("back", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    sim.heal_and_check();
}

#[test]
fn a_lost_disk_of_an_open_group_is_replaced() {
    let mut sim = Sim::with_settings(6, 6, open_group);
    sim.run_until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    commit_command(&mut sim, leader);
    let lost = (0..6).find(|at| *at != leader).expect("another");
    sim.lose_disk(lost);
    sim.run_until("replaced", 20_000, |s| {
        voters(s).len() == 6 && s.status(lost).is_some_and(|me| me.group.is_some())
    });
    assert_eq!(sim.accepted().len(), 1);
}
