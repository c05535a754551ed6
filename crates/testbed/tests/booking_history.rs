//! Histories of bookings through real processes under drawn faults, with the
//! runs on the backend server, are linearizable.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::{Site, Told, book};
use testbed::history::{Event, Heard, Timed, is_linearizable};
use testbed::process::wait_until;
use testbed::relay::{Mode, Relay};
use testbed::server::Behaviour;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const ROUNDS: u64 = 12;
const SENDS: usize = 5;
const DEADLINE_MS: u64 = 1_500;
const QUERY: &str = "?rig-ms=80";

/// What strikes while the sends of one round are under way.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    KillEntry,
    FreezeEntry,
    CutLedger,
    HoldLedger,
    ForgetLedger,
    KillLeader,
    FreezeLeader,
    CutLeader,
    CutAnswers,
    LateAnswers,
}

const FAULTS: [Fault; 11] = [
    Fault::Nothing,
    Fault::KillEntry,
    Fault::FreezeEntry,
    Fault::CutLedger,
    Fault::HoldLedger,
    Fault::ForgetLedger,
    Fault::KillLeader,
    Fault::FreezeLeader,
    Fault::CutLeader,
    Fault::CutAnswers,
    Fault::LateAnswers,
];

struct Sent {
    from: Instant,
    to: Instant,
    told: Told,
}

async fn strike(site: &mut Site, fault: Fault, length: Duration) {
    match fault {
        Fault::Nothing => {}
        Fault::KillEntry => site.restart_entry(0).await,
        Fault::FreezeEntry => {
            site.entries[0].freeze().unwrap();
            sleep(length).await;
            site.entries[0].thaw().unwrap();
        }
        Fault::CutLedger => {
            site.set_mode(0, Mode::Cut);
            sleep(length).await;
            site.set_mode(0, Mode::Pass);
        }
        Fault::HoldLedger => {
            site.set_mode(0, Mode::Freeze);
            sleep(length).await;
            site.set_mode(0, Mode::Pass);
        }
        Fault::ForgetLedger => {
            let relays = &site.relays[0];
            relays.iter().for_each(Relay::forget_connections);
        }
        Fault::KillLeader => {
            let leader = leader(site).await;
            site.restart_control(leader).await;
        }
        Fault::FreezeLeader => {
            let leader = leader(site).await;
            site.controls[leader].freeze().unwrap();
            sleep(length).await;
            site.controls[leader].thaw().unwrap();
        }
        Fault::CutLeader => {
            let relay = &site.control_relays[leader(site).await];
            relay.set_mode(Mode::Cut);
            sleep(length).await;
            relay.set_mode(Mode::Pass);
        }
        Fault::CutAnswers | Fault::LateAnswers => sleep(length).await,
    }
}

async fn leader(site: &Site) -> usize {
    let look = || site.ledger_leader();
    wait_until("the ledger has a leader", look).await.unwrap()
}

fn behaviour(fault: Fault) -> Behaviour {
    let mut behaviour = Behaviour::default();
    match fault {
        Fault::CutAnswers => behaviour.cut_per_mille = 500,
        Fault::LateAnswers => {
            behaviour.late_per_mille = 500;
            behaviour.late_ms = 2 * DEADLINE_MS;
        }
        _ => {}
    }
    behaviour
}

fn send(
    site: &Site,
    entry: usize,
    key: &str,
    pause: Duration,
) -> impl Future<Output = Sent> + Send + use<> {
    let front = site.entries[entry].addr("front").unwrap();
    let key = key.to_owned();
    async move {
        sleep(pause).await;
        let from = Instant::now();
        let told = book(front, &key, QUERY, DEADLINE_MS).await;
        let to = Instant::now();
        Sent { from, to, told }
    }
}

/// Operations of one key on the scale of microseconds since `zero`.
fn operations(site: &Site, zero: Instant, key: &str, sends: &[Sent]) -> Vec<Timed> {
    let us = |at: Instant| u64::try_from((at - zero).as_micros()).unwrap();
    let mut numbers = BTreeMap::new();
    let mut number = |request: &str| {
        let next = numbers.len();
        *numbers.entry(request.to_owned()).or_insert(next)
    };
    let mut operations = Vec::new();
    for (at, sent) in sends.iter().enumerate() {
        let told = &sent.told;
        let unnamed = format!("send {at}");
        let request = if told.request.is_empty() {
            &unnamed
        } else {
            &told.request
        };
        let heard = match (&told.run, told.ran.as_str(), told.what.as_str()) {
            (Some(run), ..) => Heard::Answer(number(run)),
            (None, "not run", _) => Heard::NotRun,
            (None, _, "outcome_unknown") => Heard::Unknown,
            _ => Heard::Nothing,
        };
        let event = Event::Send(number(request), heard);
        operations.push(Timed::new(event, us(sent.from), Some(us(sent.to))));
    }
    for run in site.server.runs().iter().filter(|run| run.key == key) {
        let after = Duration::from_micros(run.started_us);
        let (from, to) = (site.server_started.0 + after, site.server_started.1 + after);
        let event = Event::Run(number(&run.request));
        operations.push(Timed::new(event, us(from), Some(us(to))));
    }
    operations
}

async fn round(site: &mut Site, rng: &mut StdRng, key: &str, fault: Fault) -> Vec<Sent> {
    let mut under_way = JoinSet::new();
    for number in 0..SENDS {
        let pause = Duration::from_millis(rng.random_range(0..400));
        under_way.spawn(send(site, number % 2, key, pause));
    }
    site.behave(behaviour(fault));
    sleep(Duration::from_millis(rng.random_range(0..300))).await;
    strike(
        site,
        fault,
        Duration::from_millis(rng.random_range(100..2_500)),
    )
    .await;
    let mut sends = under_way.join_all().await;
    site.behave(Behaviour::default());
    site.wait_ready().await;
    for entry in 0..2 {
        sends.push(send(site, entry, key, Duration::ZERO).await);
    }
    sends
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn histories_under_faults() {
    let seed = std::env::var("SEED").map_or(1, |s| s.parse().unwrap());
    let mut rng = StdRng::seed_from_u64(seed);
    let zero = Instant::now();
    let mut site = Site::start(3).await;
    let mut totals: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..ROUNDS {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let key = format!("key-{number}");
        let sends = round(&mut site, &mut rng, &key, fault).await;
        let runs = site.runs(&key);
        let operations = operations(&site, zero, &key, &sends);
        for sent in &sends {
            *totals.entry(sent.told.what.clone()).or_default() += 1;
        }
        *totals.entry(format!("{runs} runs")).or_default() += 1;
        let rows: Vec<_> = sends.iter().map(|s| &s.told).collect();
        assert!(
            is_linearizable(&operations),
            "seed {seed}, {key}, {fault:?}: {operations:#?}\n{rows:#?}"
        );
    }
    println!("seed {seed}: {totals:?}");
}
