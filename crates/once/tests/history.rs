//! Concurrent histories of one key are linearizable under losses, late
//! requests, freezes and crashes, with the runs on the backend servers as
//! operations of the same history.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{Event, Faults, Heard, Site, Vm, digest, id};
use once::{Job, Settled, Steward, StoredAnswer};
use rstest::rstest;
use todc_utils::{Action, History, Specification, WGLChecker};
use tokio::time::{Instant, sleep};
use world::{Error, Kind, Ran};

const SENDS: usize = 6;
const DEADLINE: Duration = Duration::from_secs(5);

/// A key runs at most once, never for a send that heard "not run", and once an
/// answer was heard the ledger has it for good.
struct AtMostOnce;

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct KeyState {
    ran: Option<usize>,
    answered: bool,
    refused: Vec<usize>,
}

impl Specification for AtMostOnce {
    type Operation = Event;
    type State = KeyState;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(event: &Event, state: &KeyState) -> (bool, KeyState) {
        let mut next = state.clone();
        let valid = match *event {
            Event::Send(_, Heard::Nothing) => true,
            Event::Send(_, Heard::Unknown) => !state.answered,
            Event::Send(_, Heard::Answer(run)) => {
                next.answered = true;
                state.ran == Some(run)
            }
            Event::Send(send, Heard::NotRun) => {
                next.refused.push(send);
                next.refused.sort_unstable();
                state.ran.is_none()
            }
            Event::Run(send) => {
                next.ran = Some(send);
                state.ran.is_none() && !state.refused.contains(&send)
            }
        };
        if valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}

fn linearizable(mut actions: Vec<(usize, Action<Event>)>) -> bool {
    let open: Vec<usize> = (0..SENDS)
        .filter(|send| actions.iter().filter(|(p, _)| p == send).count() == 1)
        .collect();
    for send in open {
        let event = Event::Send(send, Heard::Nothing);
        actions.push((send, Action::Response(event)));
    }
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
}

fn call(event: Event, process: usize) -> (usize, Action<Event>) {
    (process, Action::Call(event))
}

fn response(event: Event, process: usize) -> (usize, Action<Event>) {
    (process, Action::Response(event))
}

#[rstest]
#[case::two_runs(&[Event::Run(0), Event::Run(1)], false)]
#[case::not_run_then_run(&[Event::Send(0, Heard::NotRun), Event::Run(0)], false)]
#[case::not_run_after_run(&[Event::Run(0), Event::Send(1, Heard::NotRun)], false)]
#[case::answer_not_stored(&[Event::Run(0), Event::Send(0, Heard::Answer(0)), Event::Send(1, Heard::Unknown)], false)]
#[case::answer_without_run(&[Event::Send(0, Heard::Answer(0))], false)]
#[case::one_run(&[Event::Send(0, Heard::NotRun), Event::Run(1), Event::Send(2, Heard::Answer(1))], true)]
fn checker_is_proved_first(#[case] events: &[Event], #[case] holds: bool) {
    let pair = |(at, event): (usize, &Event)| [call(*event, 100 + at), response(*event, 100 + at)];
    let actions = events.iter().enumerate().flat_map(pair).collect();
    assert_eq!(linearizable(actions), holds);
}

fn heard(result: &Result<Settled<StoredAnswer>, Error>) -> Heard {
    let run = |a: &StoredAnswer| String::from_utf8_lossy(&a.body).parse().expect("a number");
    match result {
        Ok(Settled::Fresh(answer) | Settled::Stored(answer)) => Heard::Answer(run(answer)),
        Err(error) if error.kind.answer().ran == Ran::NotRun => Heard::NotRun,
        Err(error) if error.kind == Kind::OutcomeUnknown => Heard::Unknown,
        Err(_) => Heard::Nothing,
    }
}

fn label(result: &Result<Settled<StoredAnswer>, Error>) -> String {
    match result {
        Ok(Settled::Fresh(_)) => "fresh".into(),
        Ok(Settled::Stored(_)) => "stored".into(),
        Err(error) => error.kind.to_string(),
    }
}

async fn send(site: Arc<Site>, number: usize) -> Option<String> {
    sleep(site.draw_ms(10_000)).await;
    let vm = Vm::new(&site, number);
    let event = Event::Send(number, Heard::Nothing);
    site.record(number, Action::Call(event));
    let job = Job {
        id: id("booking-1"),
        digest: digest("slot 7"),
        deadline: Instant::now() + DEADLINE,
    };
    let result = Steward::new(vm.clone()).run(&job, &mut vm.clone()).await;
    if vm.dead() {
        return None;
    }
    let event = Event::Send(number, heard(&result));
    site.record(number, Action::Response(event));
    Some(label(&result))
}

const ROUGH: Faults = Faults {
    lose_request: 10,
    late_request: 10,
    lose_reply: 15,
    freeze: 10,
    refuse: 10,
    lose_answer: 10,
    crash: 25,
};

fn run_seed(seed: u64, totals: &mut BTreeMap<String, usize>) -> Vec<(usize, Action<Event>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let site = Site::new(seed, ROUGH);
        let tasks: Vec<_> = (0..SENDS)
            .map(|n| tokio::spawn(send(Arc::clone(&site), n)))
            .collect();
        for task in tasks {
            let told = task.await.expect("a send does not panic");
            *totals.entry(told.unwrap_or("crashed".into())).or_default() += 1;
        }
        sleep(Duration::from_secs(60)).await;
        site.history.lock().clone()
    })
}

#[test]
fn histories_are_linearizable() {
    let mut totals = BTreeMap::new();
    for seed in 0..400 {
        let actions = run_seed(seed, &mut totals);
        let is_run = |a: &&(usize, Action<Event>)| matches!(a.1, Action::Call(Event::Run(_)));
        let runs = actions.iter().filter(is_run).count();
        *totals.entry(format!("keys with {runs} runs")).or_default() += 1;
        assert!(linearizable(actions.clone()), "seed {seed}: {actions:#?}");
    }
    insta::assert_json_snapshot!(totals);
}
