//! Linearizability of concurrent requests with one idempotency key.
//!
//! Guards against an operation that runs twice, or runs after a client was told
//! that it did not, when calls to the ledger are lost or late and entry VMs freeze
//! or crash. The runs on the backend server are events of the same history.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{Faults, SharedFakes, Vm, digest, id};
use idempotency::{Coordinator, Job, OperationOutcome, StoredAnswer};
use rstest::rstest;
use testbed::history::{Event, Observed, Timed, is_linearizable};
use tokio::time::{Instant, sleep};
use world::{Error, ErrorKind, RunStatus};

const REQUESTS: usize = 6;
const DEADLINE: Duration = Duration::from_secs(5);

/// The checker itself rejects invalid histories and accepts a valid one.
#[rstest]
#[case::two_runs(&[Event::Run(0), Event::Run(1)], false)]
#[case::not_run_then_run(&[Event::Request(0, Observed::NotRun), Event::Run(0)], false)]
#[case::not_run_after_run(&[Event::Run(0), Event::Request(1, Observed::NotRun)], false)]
#[case::answer_not_stored(&[Event::Run(0), Event::Request(0, Observed::Answer(0)), Event::Request(1, Observed::Unknown)], false)]
#[case::answer_without_run(&[Event::Request(0, Observed::Answer(0))], false)]
#[case::one_run(&[Event::Request(0, Observed::NotRun), Event::Run(1), Event::Request(2, Observed::Answer(1))], true)]
fn checker_rejects_only_invalid_histories(#[case] events: &[Event], #[case] holds: bool) {
    let timed = |(at, event): (u64, &Event)| Timed::new(*event, at, Some(at));
    let operations: Vec<Timed> = (0..).zip(events).map(timed).collect();
    assert_eq!(is_linearizable(&operations), holds);
}

fn observed(result: &Result<OperationOutcome<StoredAnswer>, Error>) -> Observed {
    let run_number = |a: &StoredAnswer| String::from_utf8_lossy(&a.body).parse().expect("a number");
    match result {
        Ok(OperationOutcome::Fresh(answer) | OperationOutcome::Stored(answer)) => {
            Observed::Answer(run_number(answer))
        }
        Err(error) if error.kind.response().ran == RunStatus::NotRun => Observed::NotRun,
        Err(error) if error.kind == ErrorKind::OutcomeUnknown => Observed::Unknown,
        Err(_) => Observed::Nothing,
    }
}

fn label(result: &Result<OperationOutcome<StoredAnswer>, Error>) -> String {
    match result {
        Ok(OperationOutcome::Fresh(_)) => "fresh".into(),
        Ok(OperationOutcome::Stored(_)) => "stored".into(),
        Err(error) => error.kind.to_string(),
    }
}

/// Sends one client request through an entry VM of its own; `None` if the VM crashed.
async fn send_request(fakes: Arc<SharedFakes>, number: usize) -> Option<String> {
    sleep(fakes.draw_ms(10_000)).await;
    let vm = Vm::new(&fakes, number);
    let from = fakes.next_step();
    let job = Job {
        id: id("booking-1"),
        digest: digest("slot 7"),
        deadline: Instant::now() + DEADLINE,
    };
    let result = Coordinator::new(vm.clone())
        .run(&job, &mut vm.clone())
        .await;
    if vm.has_crashed() {
        fakes.record(Event::Request(number, Observed::Nothing), from, None);
        return None;
    }
    let event = Event::Request(number, observed(&result));
    fakes.record(event, from, Some(fakes.next_step()));
    Some(label(&result))
}

const FAULTS: Faults = Faults {
    lose_request: 10,
    late_request: 10,
    lose_response: 15,
    freeze: 10,
    refuse: 10,
    lose_server_response: 10,
    crash: 25,
};

/// Runs one simulation, adds its results to `totals` and returns its history.
fn run_seed(seed: u64, totals: &mut BTreeMap<String, usize>) -> Vec<Timed> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let fakes = SharedFakes::new(seed, FAULTS);
        let tasks: Vec<_> = (0..REQUESTS)
            .map(|n| tokio::spawn(send_request(Arc::clone(&fakes), n)))
            .collect();
        for task in tasks {
            let result = task.await.expect("a request does not panic");
            *totals
                .entry(result.unwrap_or("crashed".into()))
                .or_default() += 1;
        }
        sleep(Duration::from_secs(60)).await;
        fakes.history.lock().clone()
    })
}

#[test]
fn histories_are_linearizable() {
    let mut totals = BTreeMap::new();
    for seed in 0..400 {
        let operations = run_seed(seed, &mut totals);
        let is_run = |o: &&Timed| matches!(o.event, Event::Run(_));
        let runs = operations.iter().filter(is_run).count();
        *totals.entry(format!("keys with {runs} runs")).or_default() += 1;
        assert!(is_linearizable(&operations), "seed {seed}: {operations:#?}");
    }
    insta::assert_json_snapshot!(totals);
}
