//! Elections, partitions, freezes, repairs and catch-up, one at a time.

mod sim;

use quorum::Role;
use rstest::rstest;
use sim::{Heard, Sim, name};
use world::Kind;

fn led(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, seed);
    sim.until("all are members", 10_000, Sim::repaired);
    sim
}

fn accept(sim: &mut Sim, at: usize) -> u64 {
    let number = sim.propose(at).expect("leads");
    sim.until("accepted", 10_000, |s| {
        s.commands[&number] == Heard::Accepted
    });
    number
}

/// A leader other than `old`.
fn next_leader(sim: &mut Sim, old: usize) -> usize {
    let other = |s: &Sim| s.leader().filter(|at| *at != old);
    sim.until("another leads", 10_000, |s| other(s).is_some());
    other(sim).expect("leader")
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
#[case(7)]
fn a_group_is_founded_and_accepts(#[case] count: usize) {
    let mut sim = led(count, 1);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    let status = sim.status(leader).expect("running");
    let rows: Vec<String> = status
        .members
        .iter()
        .map(|m| format!("{} {:?} repaired: {}", m.name, m.role, m.repaired))
        .collect();
    let mut rows = rows;
    rows.sort();
    insta::assert_snapshot!(format!("founded_{count}"), rows.join("\n"));
}

#[test]
fn a_crashed_leader_is_replaced_and_nothing_is_lost() {
    let mut sim = led(3, 2);
    let old = sim.leader().expect("leader");
    accept(&mut sim, old);
    sim.crash_with(old, false);
    let new = next_leader(&mut sim, old);
    accept(&mut sim, new);
    sim.start(old);
    sim.settle();
    assert_eq!(sim.accepted().len(), 2);
}

#[test]
fn a_cut_off_leader_stops_accepting() {
    let mut sim = led(3, 3);
    let old = sim.leader().expect("leader");
    sim.cut_off(old);
    let unsettled = sim.propose(old).expect("does not know yet");
    let timing = quorum::Timing::default();
    sim.run_ms(timing.election_ms + timing.heartbeat_ms);
    let refused = sim.propose(old).expect_err("leads no longer");
    assert_eq!(refused.kind, Kind::NotLeader);
    assert_eq!(sim.commands[&unsettled], Heard::Waiting);
    let new = next_leader(&mut sim, old);
    accept(&mut sim, new);
    sim.until("outcome", 10_000, |s| {
        s.commands[&unsettled] == Heard::Unknown
    });
    sim.settle();
    // Its place in the log was taken, though the waiter had only heard "unknown".
    let leader = sim.leader().expect("leader");
    assert_eq!(sim.journal(leader).0.len(), 1);
}

#[test]
fn a_proposal_that_another_leader_displaced_was_not_accepted() {
    let mut sim = led(3, 4);
    let old = sim.leader().expect("leader");
    sim.cut_off(old);
    let displaced = sim.propose(old).expect("does not know yet");
    let new = next_leader(&mut sim, old);
    accept(&mut sim, new);
    sim.cut.clear();
    sim.until("outcome", 10_000, |s| {
        s.commands[&displaced] == Heard::NotAccepted
    });
    sim.settle();
}

#[test]
fn a_thawed_leader_answers_no_stale_read() {
    let mut sim = led(3, 5);
    let old = sim.leader().expect("leader");
    accept(&mut sim, old);
    sim.nodes[old].frozen = true;
    let new = next_leader(&mut sim, old);
    accept(&mut sim, new);
    sim.nodes[old].frozen = false;
    let refused = sim.read(old).expect_err("leads no longer");
    assert_eq!(refused.kind, Kind::NotLeader);
    sim.read(new).expect("leads");
    sim.until("read", 1_000, |s| s.reads_done == 1);
}

#[test]
fn a_short_freeze_hides_no_new_leader_from_a_read() {
    // Too short for the leader to notice by its own clock: only the round of
    // the read itself can tell.
    let mut sim = led(3, 6);
    let old = sim.leader().expect("leader");
    sim.cut_off(old);
    let read = sim.read(old);
    sim.run_ms(300);
    assert!(read.is_ok());
    assert_eq!(sim.reads_done, 0);
}

#[test]
fn a_minority_elects_nobody_and_keeps_its_term() {
    let mut sim = led(5, 7);
    let leader = sim.leader().expect("leader");
    let away = (leader + 1) % 5;
    let term = sim.status(away).expect("running").term;
    sim.cut_off(away);
    sim.run_ms(20_000);
    assert_eq!(sim.status(away).expect("running").term, term);
    sim.cut.clear();
    sim.run_ms(2_000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.status(leader).expect("running").term, term);
}

#[test]
fn a_far_behind_replica_catches_up_by_one_snapshot() {
    let mut sim = Sim::with_settings(3, 8, |s| s.with_compaction(50, 5));
    sim.until("all are members", 10_000, Sim::repaired);
    let leader = sim.leader().expect("leader");
    let away = (leader + 1) % 3;
    sim.crash_with(away, true);
    for _ in 0..300 {
        accept(&mut sim, leader);
    }
    sim.start(away);
    sim.settle();
    let status = sim.status(away).expect("running");
    assert!(status.snapshot_index >= 250, "{}", status.snapshot_index);
}

/// A snapshot that a delayed message brings must not undo acknowledged entries.
#[test]
fn snapshots_arrive_late_and_twice() {
    for seed in 0..20 {
        let mut sim = Sim::with_settings(3, seed, |s| s.with_compaction(5, 0));
        (sim.duplicate, sim.delay_ms, sim.loss) = (0.3, 400, 0.1);
        for round in 0..3_000 {
            if let Some(leader) = sim.leader().filter(|_| round % 3 == 0) {
                drop(sim.propose(leader));
            }
            sim.step();
        }
        sim.settle();
    }
}

#[test]
fn a_lost_disk_has_no_vote_under_the_old_name() {
    let mut sim = led(3, 9);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    // Only `leader` and `other` have the command; the leader goes, and the
    // replica with the new disk and `other`'s cut-off twin may not elect.
    sim.lose_disk(lost);
    sim.crash_with(leader, true);
    sim.run_ms(20_000);
    assert_eq!(sim.leader(), None);
    assert!(sim.status(lost).expect("running").members.is_empty());
    let status = sim.status(other).expect("running");
    assert!(status.members.iter().all(|m| !m.repaired));
    sim.start(leader);
    sim.settle();
}

#[test]
fn a_repair_is_reported_when_the_new_disk_votes_and_has_caught_up() {
    let mut sim = led(3, 10);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
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
    sim.settle();
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut sim = led(3, 11);
    for round in 0..6 {
        let leader = sim.leader().expect("leader");
        for _ in 0..5 {
            accept(&mut sim, leader);
        }
        sim.lose_disk(round % 3);
        sim.until("repaired", 30_000, Sim::repaired);
    }
    sim.settle();
    assert_eq!(sim.accepted().len(), 30);
}

#[test]
fn an_operator_replaces_a_machine() {
    let mut sim = led(3, 12);
    let leader = sim.leader().expect("leader");
    let lost = (leader + 1) % 3;
    sim.crash_with(lost, false);
    let now = sim.now;
    let node = sim.nodes[leader].replica.as_mut().expect("running");
    let own = node.remove(&name(leader), now).expect_err("leads");
    assert_eq!(own.kind, Kind::BadRequest);
    node.remove(&name(lost), now).expect("changes");
    let again = node.remove(&name(lost), now).expect_err("gone");
    assert_eq!(again.kind, Kind::BadRequest);
    sim.run_ms(1_000);
    let status = sim.status(leader).expect("running");
    assert_eq!(status.missing, vec![name(lost)]);
    assert!(!status.repaired);
    sim.lose_disk(lost);
    sim.until("repaired", 10_000, Sim::repaired);
    let status = sim.status(leader).expect("running");
    assert!(status.members.iter().all(|m| m.role == Role::Voter));
}

/// The founder alone on a new disk must not found a second group.
#[test]
fn a_founder_that_lost_its_disk_joins_the_group_it_founded() {
    let mut sim = led(3, 13);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    let group = sim.status(1).expect("running").group;
    sim.lose_disk(0);
    sim.until("repaired", 30_000, Sim::repaired);
    assert_eq!(sim.status(0).expect("running").group, group);
    sim.settle();
}

/// With a majority of the disks gone nothing is accepted, and no empty group begins.
#[test]
fn two_lost_disks_of_three_found_no_new_group() {
    let mut sim = led(3, 14);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    sim.lose_disk(0);
    sim.lose_disk(1);
    sim.run_ms(30_000);
    assert_eq!(sim.leader(), None);
    let first = sim.propose(0).expect_err("no group");
    assert_eq!(first.kind, Kind::NotLeader);
}

#[test]
fn a_group_that_was_stopped_whole_soon_leads_again() {
    let mut quick = 0;
    for seed in 0..10 {
        let mut sim = led(6, seed);
        sim.delay_ms = 55;
        for at in 0..6 {
            sim.crash_with(at, false);
        }
        for at in 0..6 {
            sim.start(at);
        }
        let started_at = sim.now;
        sim.until("a leader", 10_000, |s| s.leader().is_some());
        quick += u32::from(sim.now - started_at < quorum::Timing::default().election_min());
    }
    assert!(
        quick >= 5,
        "{quick} of 10 led within the least election timeout"
    );
}

#[test]
fn a_group_whose_machines_start_one_after_the_other_leads_soon_after() {
    let mut quick = 0;
    for seed in 0..10 {
        let mut sim = led(6, seed);
        sim.delay_ms = 55;
        for at in 0..6 {
            sim.crash_with(at, false);
        }
        for (at, pause_ms) in [0, 0, 300, 500, 200, 200].into_iter().enumerate() {
            sim.run_ms(pause_ms);
            sim.start(at);
        }
        let started_at = sim.now;
        sim.until("a leader", 10_000, |s| s.leader().is_some());
        quick += u32::from(sim.now - started_at < quorum::Timing::default().election_min());
    }
    assert!(
        quick >= 8,
        "{quick} of 10 led within the least election timeout"
    );
}

fn open(settings: quorum::Settings) -> quorum::Settings {
    let open = quorum::OpenMembership { retire_ms: 12_000 };
    let seeds: Vec<_> = (0..3).map(name).collect();
    let mut settings = settings.with_open_membership(open, true);
    settings.names = seeds;
    settings
}

/// Voters as the leader sees them.
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
    let mut sim = Sim::with_settings(6, 4, open);
    sim.until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
}

#[test]
fn a_silent_voter_of_an_open_group_loses_its_vote_and_comes_back() {
    let mut sim = Sim::with_settings(6, 5, open);
    sim.until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    let gone = (0..6).find(|at| *at != leader).expect("another");
    sim.crash_with(gone, false);
    sim.until("retired", 20_000, |s| voters(s).len() == 5);
    sim.start(gone);
    sim.until("back", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    sim.settle();
}

#[test]
fn a_lost_disk_of_an_open_group_is_replaced() {
    let mut sim = Sim::with_settings(6, 6, open);
    sim.until("all vote", 20_000, |s| voters(s).len() == 6);
    let leader = sim.leader().expect("leader");
    accept(&mut sim, leader);
    let lost = (0..6).find(|at| *at != leader).expect("another");
    sim.lose_disk(lost);
    sim.until("replaced", 20_000, |s| {
        voters(s).len() == 6 && s.status(lost).is_some_and(|me| me.group.is_some())
    });
    assert_eq!(sim.accepted().len(), 1);
}
