//! Histories of bookings through real processes under random faults, together with the
//! runs on the backend server, are linearizable: no booking runs twice, runs after "not
//! run" was reported, or loses its outcome.
//!
//! The environment variable `SEED` sets the seed of the faults.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::{BookingResult, Site, book};
use testbed::history::{Event, Observed, Timed, is_linearizable};
use testbed::process::wait_until;
use testbed::relay::{Mode, Relay};
use testbed::server::Behaviour;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const ROUNDS: u64 = 12;
const REQUESTS: usize = 5;
const DEADLINE_MS: u64 = 1_500;
const QUERY: &str = "?rig-ms=80";

/// Fault that is injected while the bookings of one round are in flight.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    KillEntry,
    FreezeEntry,
    ResetLedgerLinks,
    HoldLedgerLinks,
    SilenceLedgerLinks,
    KillLeader,
    FreezeLeader,
    ResetLeaderLinks,
    TruncateResponses,
    DelayResponses,
}

const FAULTS: [Fault; 11] = [
    Fault::Nothing,
    Fault::KillEntry,
    Fault::FreezeEntry,
    Fault::ResetLedgerLinks,
    Fault::HoldLedgerLinks,
    Fault::SilenceLedgerLinks,
    Fault::KillLeader,
    Fault::FreezeLeader,
    Fault::ResetLeaderLinks,
    Fault::TruncateResponses,
    Fault::DelayResponses,
];

struct TimedResult {
    from: Instant,
    to: Instant,
    result: BookingResult,
}

/// Injects a fault and ends it after `duration`; restarts end at once, and silenced
/// connections stay silent.
async fn inject(site: &mut Site, fault: Fault, duration: Duration) {
    match fault {
        Fault::Nothing => {}
        Fault::KillEntry => site.restart_entry(0).await,
        Fault::FreezeEntry => {
            site.entries[0].freeze().unwrap();
            sleep(duration).await;
            site.entries[0].thaw().unwrap();
        }
        Fault::ResetLedgerLinks => {
            site.set_mode(0, Mode::Reset);
            sleep(duration).await;
            site.set_mode(0, Mode::Pass);
        }
        Fault::HoldLedgerLinks => {
            site.set_mode(0, Mode::HoldAll);
            sleep(duration).await;
            site.set_mode(0, Mode::Pass);
        }
        Fault::SilenceLedgerLinks => {
            let relays = &site.relays[0];
            relays.iter().for_each(Relay::silence_connections);
        }
        Fault::KillLeader => {
            let leader = leader(site).await;
            site.restart_control(leader).await;
        }
        Fault::FreezeLeader => {
            let leader = leader(site).await;
            site.controls[leader].freeze().unwrap();
            sleep(duration).await;
            site.controls[leader].thaw().unwrap();
        }
        Fault::ResetLeaderLinks => {
            let relay = &site.control_relays[leader(site).await];
            relay.set_mode(Mode::Reset);
            sleep(duration).await;
            relay.set_mode(Mode::Pass);
        }
        Fault::TruncateResponses | Fault::DelayResponses => sleep(duration).await,
    }
}

async fn leader(site: &Site) -> usize {
    let poll = || site.ledger_leader();
    wait_until("the ledger has a leader", poll).await.unwrap()
}

/// Returns the behaviour of the backend server under a fault.
fn behaviour(fault: Fault) -> Behaviour {
    let mut behaviour = Behaviour::default();
    match fault {
        Fault::TruncateResponses => behaviour.cut_per_mille = 500,
        Fault::DelayResponses => {
            behaviour.late_per_mille = 500;
            behaviour.late_ms = 2 * DEADLINE_MS;
        }
        _ => {}
    }
    behaviour
}

/// Sends a booking after a pause.
fn send_booking(
    site: &Site,
    entry: usize,
    key: &str,
    pause: Duration,
) -> impl Future<Output = TimedResult> + Send + use<> {
    let front = site.entries[entry].addr("front").unwrap();
    let key = key.to_owned();
    async move {
        sleep(pause).await;
        let from = Instant::now();
        let result = book(front, &key, QUERY, DEADLINE_MS).await;
        let to = Instant::now();
        TimedResult { from, to, result }
    }
}

/// Returns the operations of one key, with times in microseconds since `epoch`.
fn operations(site: &Site, epoch: Instant, key: &str, bookings: &[TimedResult]) -> Vec<Timed> {
    let micros = |at: Instant| u64::try_from((at - epoch).as_micros()).unwrap();
    let mut numbers = BTreeMap::new();
    let mut number = |request: &str| {
        let next = numbers.len();
        *numbers.entry(request.to_owned()).or_insert(next)
    };
    let mut operations = Vec::new();
    for (at, booking) in bookings.iter().enumerate() {
        let result = &booking.result;
        let unnamed = format!("request {at}");
        let request = if result.request.is_empty() {
            &unnamed
        } else {
            &result.request
        };
        let observed = match (&result.run, result.ran.as_str(), result.outcome.as_str()) {
            (Some(run), ..) => Observed::Answer(number(run)),
            (None, "not run", _) => Observed::NotRun,
            (None, _, "outcome_unknown") => Observed::Unknown,
            _ => Observed::Nothing,
        };
        let event = Event::Request(number(request), observed);
        operations.push(Timed::new(
            event,
            micros(booking.from),
            Some(micros(booking.to)),
        ));
    }
    for run in site.server.runs().iter().filter(|run| run.key == key) {
        let after = Duration::from_micros(run.started_us);
        let (from, to) = (site.server_started.0 + after, site.server_started.1 + after);
        let event = Event::Run(number(&run.request));
        operations.push(Timed::new(event, micros(from), Some(micros(to))));
    }
    operations
}

/// Sends bookings of one key during a fault, and once more through each entry VM after it.
async fn run_round(site: &mut Site, rng: &mut StdRng, key: &str, fault: Fault) -> Vec<TimedResult> {
    let mut tasks = JoinSet::new();
    for number in 0..REQUESTS {
        let pause = Duration::from_millis(rng.random_range(0..400));
        tasks.spawn(send_booking(site, number % 2, key, pause));
    }
    site.set_behaviour(behaviour(fault));
    sleep(Duration::from_millis(rng.random_range(0..300))).await;
    inject(
        site,
        fault,
        Duration::from_millis(rng.random_range(100..2_500)),
    )
    .await;
    let mut bookings = tasks.join_all().await;
    site.set_behaviour(Behaviour::default());
    site.wait_ready().await;
    for entry in 0..2 {
        bookings.push(send_booking(site, entry, key, Duration::ZERO).await);
    }
    bookings
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn histories_under_faults() {
    let seed = std::env::var("SEED").map_or(1, |s| s.parse().unwrap());
    let mut rng = StdRng::seed_from_u64(seed);
    let epoch = Instant::now();
    let mut site = Site::start(3).await;
    let mut totals: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..ROUNDS {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let key = format!("key-{number}");
        let bookings = run_round(&mut site, &mut rng, &key, fault).await;
        let runs = site.runs(&key);
        let operations = operations(&site, epoch, &key, &bookings);
        for booking in &bookings {
            *totals.entry(booking.result.outcome.clone()).or_default() += 1;
        }
        *totals.entry(format!("{runs} runs")).or_default() += 1;
        let rows: Vec<_> = bookings.iter().map(|b| &b.result).collect();
        assert!(
            is_linearizable(&operations),
            "seed {seed}, {key}, {fault:?}: {operations:#?}\n{rows:#?}"
        );
    }
    println!("seed {seed}: {totals:?}");
}
