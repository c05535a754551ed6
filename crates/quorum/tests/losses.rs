//! Two groups of machines are lost one after the other, as many at a time as the site
//! tolerates, in every way in which a machine can be lost. A machine counts as lost
//! until [`CATCH_UP_MS`] after it, or its successor, is back. With no more lost than
//! tolerated, a leader must accept commands within [`LEADER_MS`].

mod sim;

use std::collections::BTreeSet;

use quorum::{OpenMembership, Role, Settings};
use rand::RngExt;
use rand::seq::SliceRandom;
use rstest::rstest;
use sim::{ClientOutcome, Sim, name};

/// Time after which a machine that is back no longer counts as lost, from the users'
/// platform (`catch_up_s`).
const CATCH_UP_MS: u64 = 4_000;

/// Time in which a group that has lost no more than it tolerates must accept a command,
/// from the users' platform (`skew_max_ms`).
const LEADER_MS: u64 = 6_000;

/// Times for which machines are gone before they, or their successors, are back.
const DARK_MS: [u64; 4] = [500, 1_000, 2_000, 6_000];

/// Number of seeds for each pair of losses, unless `LOSS_SEEDS` sets it.
const SEEDS: u64 = 4;

/// Seeds with which several replicas start an election at the same time.
const SPLIT_VOTES: [u64; 3] = [152, 250, 283];

fn seeds() -> u64 {
    let set = std::env::var("LOSS_SEEDS").ok();
    set.map_or(SEEDS, |text| text.parse().expect("LOSS_SEEDS is a number"))
}

/// How a machine is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Its process ends, and starts again.
    Killed,
    /// It restarts on a new disk.
    Wiped,
    /// It is gone, and a successor with another name starts.
    Replaced,
    /// It is cut off from all others.
    Cut,
    /// Its disk refuses writes.
    FullDisk,
    /// It is suspended.
    Frozen,
}

use Loss::{Cut, Frozen, FullDisk, Killed, Replaced, Wiped};

const ALL: [Loss; 6] = [Killed, Wiped, Replaced, Cut, FullDisk, Frozen];

impl Loss {
    fn begin(self, sim: &mut Sim, at: usize) {
        match self {
            Killed | Wiped | Replaced => sim.crash(at),
            Cut => sim.isolate(at),
            FullDisk => sim.fill_disk(at),
            Frozen => sim.nodes[at].frozen = true,
        }
    }

    /// Ends the loss; returns the position of the machine that is back.
    fn end(self, sim: &mut Sim, at: usize) -> usize {
        match self {
            Killed => sim.start(at),
            Wiped => sim.lose_disk(at),
            Replaced => return sim.start_successor(at),
            Cut => sim
                .blocked_links
                .retain(|(from, to)| *from != at && *to != at),
            FullDisk => sim.empty_disk(at),
            Frozen => sim.nodes[at].frozen = false,
        }
        at
    }
}

/// Most machines that may be lost at a time in a site with `count` of them.
fn tolerated(count: usize) -> usize {
    if count < 5 { 1 } else { 2 }
}

fn open(settings: Settings, tolerated_losses: usize) -> Settings {
    let open = OpenMembership {
        retire_ms: 1_500,
        tolerated_losses,
    };
    let mut settings = settings.with_open_membership(open, true);
    settings.names = (0..3).map(name).collect();
    settings
}

/// A site of `count` voters whose links take 55 ms one way.
fn site(count: usize, seed: u64) -> Sim {
    let settings = match tolerated(count) {
        1 => |s| open(s, 1),
        _ => |s| open(s, 2),
    };
    let mut sim = Sim::with_settings(count, seed, settings);
    (sim.delay_ms, sim.sync_ms) = (55, 4);
    sim.run_until("all vote", 30_000, |s| {
        let status = s.leader().and_then(|at| s.status(at));
        status.is_some_and(|s| s.members.len() == count && s.members.iter().all(|m| m.repaired))
    });
    sim.may_bootstrap = false;
    sim
}

/// Pause between two commands of the client.
const CLIENT_INTERVAL_MS: u64 = 100;

/// Proposes commands, and reads, for `duration_ms`. Returns the time until the first
/// command was accepted, in milliseconds.
fn run_client(sim: &mut Sim, duration_ms: u64) -> Option<u64> {
    let start = sim.now;
    let mut proposed = Vec::new();
    let mut first = None;
    let elapsed_ms = |sim: &Sim| u64::try_from((sim.now - start).as_millis()).expect("short");
    while elapsed_ms(sim) < duration_ms {
        if let Some(leader) = sim.leader() {
            proposed.extend(sim.propose(leader).ok());
            drop(sim.read(leader));
        }
        sim.run_ms(CLIENT_INTERVAL_MS);
        let is_accepted = |n: &u64| sim.commands[n] == ClientOutcome::Accepted;
        if first.is_none() && proposed.iter().any(is_accepted) {
            first = Some(elapsed_ms(sim));
        }
    }
    first
}

/// Two losses one after the other, and whether the leader is lost in them.
#[derive(Clone, Copy, Debug)]
struct Losses {
    first: Loss,
    second: Loss,
    leader_lost: [bool; 2],
}

/// Positions of `count` running machines, none of them in `spared`; with the leader or
/// without it.
fn choose(
    sim: &mut Sim,
    count: usize,
    spared: &[usize],
    with_leader: bool,
    what: &str,
) -> Vec<usize> {
    let leader = sim.leader();
    let leader = leader.unwrap_or_else(|| panic!("no leader before a loss: {what}"));
    let is_free = |at: &usize| !sim.nodes[*at].removed && !spared.contains(at) && *at != leader;
    let mut machines: Vec<usize> = (0..sim.nodes.len()).filter(is_free).collect();
    machines.shuffle(&mut sim.rng);
    if with_leader && !spared.contains(&leader) {
        machines.insert(0, leader);
    }
    machines.truncate(count);
    machines
}

/// Loses the machines at once for one of [`DARK_MS`], and runs until they no longer count
/// as lost. Returns the machines that are back, and the time from the loss until a command
/// was accepted, in milliseconds.
fn lose(sim: &mut Sim, loss: Loss, machines: &[usize], what: &str) -> (Vec<usize>, u64) {
    let dark_ms = DARK_MS[sim.rng.random_range(0..DARK_MS.len())];
    for at in machines {
        loss.begin(sim, *at);
    }
    let in_dark = run_client(sim, dark_ms);
    let back = machines.iter().map(|at| loss.end(sim, *at)).collect();
    let in_rest = run_client(sim, CATCH_UP_MS).map(|ms| dark_ms + ms);
    let accepted_ms = in_dark.or(in_rest).unwrap_or(dark_ms + CATCH_UP_MS);
    assert!(accepted_ms <= LEADER_MS, "{accepted_ms} ms: {what}");
    (back, accepted_ms)
}

/// Plays both losses with a site of `count` machines. Returns the time from the second
/// loss until a command was accepted, in milliseconds.
fn play(count: usize, losses: Losses, seed: u64) -> u64 {
    let mut sim = site(count, seed);
    let what = format!("{count} machines, {losses:?}, seed {seed}");
    run_client(&mut sim, 1_000);
    let machines = choose(
        &mut sim,
        tolerated(count),
        &[],
        losses.leader_lost[0],
        &what,
    );
    let (back, _) = lose(&mut sim, losses.first, &machines, &what);
    let gap_ms = sim.rng.random_range(0..500);
    run_client(&mut sim, gap_ms);
    let machines = choose(
        &mut sim,
        tolerated(count),
        &back,
        losses.leader_lost[1],
        &what,
    );
    let (_, accepted_ms) = lose(&mut sim, losses.second, &machines, &what);
    assert!(accepted_ms <= LEADER_MS, "{accepted_ms} ms: {what}");
    sim.run_ms(1_000);
    let leader = sim.leader();
    sim.check_outcomes(leader.unwrap_or_else(|| panic!("no leader at the end: {what}")));
    accepted_ms
}

/// Guards against a group that has no leader again, or loses what it acknowledged, after
/// a second group of machines was lost as soon as the first no longer counts as lost.
#[rstest]
#[case::three(3)]
#[case::five(5)]
#[case::six(6)]
#[case::nine(9)]
fn a_second_loss_after_a_repair_leaves_a_leader(#[case] count: usize) {
    for (first, second) in ALL.into_iter().flat_map(|a| ALL.map(|b| (a, b))) {
        let mut times_ms: Vec<u64> = (0..seeds())
            .map(|seed| {
                let leader_lost = [seed % 2 == 0, seed % 4 < 2];
                let losses = Losses {
                    first,
                    second,
                    leader_lost,
                };
                play(count, losses, seed)
            })
            .collect();
        times_ms.sort_unstable();
        let (median, max) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
        println!(
            "{count} machines, {first:?} then {second:?}: median {median} ms, maximum {max} ms"
        );
    }
}

/// Whether the voters are the disks of all machines that are not gone for good, and
/// respond.
fn is_whole(sim: &Sim) -> bool {
    let Some(status) = sim.leader().and_then(|at| sim.status(at)) else {
        return false;
    };
    let running = sim.nodes.iter().filter(|n| !n.removed);
    let disks: BTreeSet<String> = running.map(|n| n.disk.disk.to_string()).collect();
    let voters = status.members.iter().filter(|m| m.role == Role::Voter);
    let voters: BTreeSet<String> = voters.map(|m| m.disk.clone()).collect();
    voters == disks && status.members.iter().all(|m| m.repaired)
}

/// Guards against a disk that is gone but keeps its vote when its machine, or the
/// successor, no longer counts as lost: another loss could then end the group.
#[rstest]
fn a_group_is_whole_when_nothing_counts_as_lost(
    #[values(Replaced, Wiped)] loss: Loss,
    #[values(3, 5, 6, 9)] count: usize,
) {
    for seed in (0..3 * seeds()).chain(SPLIT_VOTES) {
        let mut sim = site(count, seed);
        let what = format!("{count} machines, {loss:?}, seed {seed}");
        let machines = choose(&mut sim, tolerated(count), &[], seed % 3 > 0, &what);
        lose(&mut sim, loss, &machines, &what);
        assert!(is_whole(&sim), "{what}");
    }
}
