//! Simulations with random faults, for many seeds. After each step `sim` checks
//! that each term has one leader and that all replicas apply the same commands;
//! at the end it checks that no accepted command was lost or applied twice.

mod sim;

use quorum::Timing;
use rand::RngExt;
use rstest::rstest;
use sim::{ClientOutcome, Sim};

const SEEDS: u64 = 20;

const FREQUENT_FAULT_SEEDS: u64 = 80;

/// Proposes or reads at random, mostly at the leader, or does nothing.
fn random_client_call(sim: &mut Sim) {
    let at = sim.rng.random_range(0..sim.nodes.len());
    let at = sim
        .leader()
        .filter(|_| sim.rng.random_bool(0.7))
        .unwrap_or(at);
    match sim.rng.random_range(0..10) {
        0..4 => drop(sim.propose(at)),
        4 => drop(sim.read(at)),
        _ => {}
    }
}

/// Crashes, isolates or freezes a replica, fills its disk, blocks a link, or ends such a
/// fault, at random.
fn random_fault(sim: &mut Sim) {
    let at = sim.rng.random_range(0..sim.nodes.len());
    let other = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..400) {
        0 if sim.nodes[at].replica.is_some() => sim.crash(at),
        1..6 if sim.nodes[at].replica.is_none() => sim.start(at),
        6 => sim.isolate(at),
        7 => drop(sim.blocked_links.insert((at, other))),
        8..12 => sim.blocked_links.clear(),
        12 => sim.nodes[at].frozen = true,
        13..18 => sim.nodes[at].frozen = false,
        18 | 19 => sim.fill_disk(at),
        20..28 => sim.empty_disk(at),
        _ => {}
    }
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn random_faults(#[case] count: usize) {
    let mut accepted = 0;
    let mut reads = 0;
    for seed in 0..SEEDS {
        let mut sim = Sim::with_settings(count, seed, |s| s.with_compaction(40, 10));
        (sim.loss_rate, sim.duplicate_rate, sim.delay_ms) = (0.02, 0.05, 60);
        for _ in 0..4_000 {
            random_client_call(&mut sim);
            random_fault(&mut sim);
            sim.step();
        }
        sim.heal_and_check();
        accepted += sim.accepted().len();
        reads += sim.reads_done;
    }
    // Without accepted commands and reads the checks would prove nothing.
    assert!(accepted > 1_000 && reads > 100, "{accepted} {reads}");
}

/// Election timeouts close to the network delays, so that elections collide.
const SHORT_TIMEOUTS: Timing = Timing {
    heartbeat_ms: 20,
    election_ms: 80,
    proposal_ms: 1_000,
    replace_ms: 400,
    snapshot_retry_ms: 400,
};

/// As [`random_fault`], but more often and mostly at the leader; also proposes a
/// command.
fn frequent_fault(sim: &mut Sim) {
    let at = sim.rng.random_range(0..sim.nodes.len());
    let leader = sim.leader().unwrap_or(at);
    match sim.rng.random_range(0..120) {
        0 | 1 if sim.nodes[at].replica.is_some() => sim.crash(at),
        2 if sim.nodes[leader].replica.is_some() => sim.crash(leader),
        3..15 if sim.nodes[at].replica.is_none() => sim.start(at),
        15 => sim.isolate(leader),
        16..22 => sim.blocked_links.clear(),
        22 => sim.nodes[leader].frozen = true,
        23..30 => sim.nodes[at].frozen = false,
        30 | 31 => sim.fill_disk(leader),
        32..42 => sim.empty_disk(at),
        _ => {}
    }
    drop(sim.propose(leader));
}

/// Frequent faults, slow disks and short election timeouts, so that leaders change
/// while batches are being stored.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn frequent_faults(#[case] count: usize) {
    let mut accepted = 0;
    for seed in 0..FREQUENT_FAULT_SEEDS {
        let mut sim = Sim::with_settings(count, seed, |s| {
            s.with_compaction(30, 5).with_timing(SHORT_TIMEOUTS)
        });
        (sim.loss_rate, sim.duplicate_rate, sim.delay_ms) = (0.05, 0.1, 50);
        sim.sync_ms = 60;
        for _ in 0..2_000 {
            frequent_fault(&mut sim);
            sim.step();
        }
        sim.heal_and_check();
        accepted += sim.accepted().len();
    }
    assert!(accepted > 1_000, "{accepted}");
}

/// `repaired` promises that one more disk may be lost. A disk is lost soon after
/// each time the leader reports it; no accepted command may be lost.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn losses_right_after_repairs(#[case] count: usize) {
    for seed in 0..SEEDS / 2 {
        let mut sim = Sim::with_settings(count, seed, |s| s.with_compaction(40, 10));
        (sim.loss_rate, sim.duplicate_rate, sim.delay_ms) = (0.02, 0.05, 30);
        let mut losses = 0;
        for _ in 0..6_000 {
            random_client_call(&mut sim);
            if sim.repaired() && sim.rng.random_bool(0.2) {
                let at = sim.rng.random_range(0..count);
                sim.lose_disk(at);
                losses += 1;
            }
            sim.step();
        }
        sim.heal_and_check();
        assert!(losses >= 3, "seed {seed}: {losses} losses");
    }
}

/// Crashes each replica at each of its first 39 syncs, with the batch being stored
/// either durable or lost.
#[test]
fn crash_at_every_sync() {
    let mut runs = 0;
    for at in 0..3 {
        for durable in [false, true] {
            for sync in 1..40 {
                let mut sim = Sim::with_settings(3, 7, |s| s.with_compaction(8, 2));
                sim.nodes[at].crash_at_sync = Some((sync, durable));
                for round in 0..500 {
                    if let Some(leader) = sim.leader().filter(|_| round % 4 == 0) {
                        drop(sim.propose(leader));
                    }
                    if sim.nodes[at].replica.is_none() && round % 100 == 0 {
                        sim.start(at);
                    }
                    sim.step();
                }
                sim.heal_and_check();
                let waiting = |outcome: &ClientOutcome| *outcome == ClientOutcome::Waiting;
                runs += usize::from(!sim.commands.values().all(waiting));
            }
        }
    }
    assert_eq!(runs, 234);
}
