//! Many seeds of random faults; the checks are in `sim`.

mod sim;

use quorum::Timing;
use rand::RngExt;
use rstest::rstest;
use sim::{Heard, Sim};

const SEEDS: u64 = 20;

const STORM_SEEDS: u64 = 80;

fn workload(sim: &mut Sim) {
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

/// A crash, a restart, a cut, a freeze or their end.
fn fault(sim: &mut Sim) {
    let at = sim.rng.random_range(0..sim.nodes.len());
    let other = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..400) {
        0 if sim.nodes[at].replica.is_some() => sim.crash(at),
        1..6 if sim.nodes[at].replica.is_none() => sim.start(at),
        6 => sim.cut_off(at),
        7 => drop(sim.cut.insert((at, other))),
        8..12 => sim.cut.clear(),
        12 => sim.nodes[at].frozen = true,
        13..18 => sim.nodes[at].frozen = false,
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
        (sim.loss, sim.duplicate, sim.delay_ms) = (0.02, 0.05, 60);
        for _ in 0..4_000 {
            workload(&mut sim);
            fault(&mut sim);
            sim.step();
        }
        sim.settle();
        accepted += sim.accepted().len();
        reads += sim.reads_done;
    }
    // Runs in which nothing is accepted would prove nothing.
    assert!(accepted > 1_000 && reads > 100, "{accepted} {reads}");
}

const HASTY: Timing = Timing {
    heartbeat_ms: 20,
    election_ms: 80,
    proposal_ms: 1_000,
    replace_ms: 400,
};

/// Many faults a second, slow disks and election timeouts near the delays of
/// the network, so that elections clash.
fn storm(sim: &mut Sim) {
    let at = sim.rng.random_range(0..sim.nodes.len());
    let leader = sim.leader().unwrap_or(at);
    match sim.rng.random_range(0..120) {
        0 | 1 if sim.nodes[at].replica.is_some() => sim.crash(at),
        2 if sim.nodes[leader].replica.is_some() => sim.crash(leader),
        3..15 if sim.nodes[at].replica.is_none() => sim.start(at),
        15 => sim.cut_off(leader),
        16..22 => sim.cut.clear(),
        22 => sim.nodes[leader].frozen = true,
        23..30 => sim.nodes[at].frozen = false,
        _ => {}
    }
    drop(sim.propose(leader));
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn storms(#[case] count: usize) {
    let mut accepted = 0;
    for seed in 0..STORM_SEEDS {
        let mut sim =
            Sim::with_settings(count, seed, |s| s.with_compaction(30, 5).with_timing(HASTY));
        (sim.loss, sim.duplicate, sim.delay_ms) = (0.05, 0.1, 50);
        sim.sync_ms = 60;
        for _ in 0..2_000 {
            storm(&mut sim);
            sim.step();
        }
        sim.settle();
        accepted += sim.accepted().len();
    }
    assert!(accepted > 1_000, "{accepted}");
}

/// Whenever the leader knows of the last loss and says that all is repaired,
/// one more disk is lost.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn losses_right_after_repairs(#[case] count: usize) {
    for seed in 0..SEEDS / 2 {
        let mut sim = Sim::with_settings(count, seed, |s| s.with_compaction(40, 10));
        (sim.loss, sim.duplicate, sim.delay_ms) = (0.02, 0.05, 30);
        let mut losses = 0;
        for _ in 0..6_000 {
            workload(&mut sim);
            if sim.repaired() && sim.rng.random_bool(0.2) {
                let at = sim.rng.random_range(0..count);
                sim.lose_disk(at);
                losses += 1;
            }
            sim.step();
        }
        sim.settle();
        assert!(losses >= 3, "seed {seed}: {losses} losses");
    }
}

/// A crash at each sync of each replica, with the batch durable or lost.
#[test]
fn crash_at_every_sync() {
    let mut runs = 0;
    for at in 0..3 {
        for kept in [false, true] {
            for sync in 1..40 {
                let mut sim = Sim::with_settings(3, 7, |s| s.with_compaction(8, 2));
                sim.nodes[at].crash_at_sync = Some((sync, kept));
                for round in 0..500 {
                    if let Some(leader) = sim.leader().filter(|_| round % 4 == 0) {
                        drop(sim.propose(leader));
                    }
                    if sim.nodes[at].replica.is_none() && round % 100 == 0 {
                        sim.start(at);
                    }
                    sim.step();
                }
                sim.settle();
                let waiting = |h: &Heard| *h == Heard::Waiting;
                runs += usize::from(!sim.commands.values().all(waiting));
            }
        }
    }
    assert_eq!(runs, 234);
}
