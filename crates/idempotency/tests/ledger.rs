//! Responses of the ledger to scripted commands, and equality of replicas.
//!
//! Guards against a second grant for one operation, a response that is lost before
//! its time, and a bound that is exceeded.

mod common;

use common::{attempt, digest, id};
use idempotency::{
    Command, Ledger, Limits, OperationId, OperationKey, Request, Response, StoredAnswer,
};
use proptest::prelude::*;

const HOUR_MS: u64 = 3_600_000;

fn begin(key: &str, body: &str, number: u128, asked_ms: u64) -> Request {
    Request::Begin {
        id: id(key),
        digest: digest(body),
        attempt: attempt(number),
        asked_ms,
        run_ms: 5_000,
    }
}

fn finish(key: &str, number: u128, body: &str) -> Request {
    Request::Finish {
        id: id(key),
        attempt: attempt(number),
        answer: Some(StoredAnswer::new(201, body)),
    }
}

fn abandon(key: &str, number: u128, asked_ms: u64) -> Request {
    Request::Abandon {
        id: id(key),
        attempt: attempt(number),
        asked_ms,
    }
}

fn lose(key: &str, number: u128) -> Request {
    Request::Lose {
        id: id(key),
        attempt: attempt(number),
    }
}

fn lookup(key: &str, body: &str) -> Request {
    Request::Lookup {
        id: id(key),
        digest: digest(body),
    }
}

fn apply(ledger: &mut Ledger, now_ms: u64, request: Request) -> Response {
    ledger.apply(Command { now_ms, request })
}

fn describe(response: &Response) -> String {
    match response {
        Response::Done(a) => format!("done {} {}", a.status, String::from_utf8_lossy(&a.body)),
        other => format!("{other:?}"),
    }
}

/// Applies the steps and returns a line with the response to each.
fn run_script(limits: Limits, steps: Vec<(u64, &str, Request)>) -> String {
    let mut ledger = Ledger::new(limits);
    let row = |(now_ms, text, request): (u64, &str, Request)| {
        let response = apply(&mut ledger, now_ms, request);
        format!("{now_ms:>9} ms  {text:40} {}", describe(&response))
    };
    steps.into_iter().map(row).collect::<Vec<_>>().join("\n")
}

#[test]
fn one_operation() {
    insta::assert_snapshot!(run_script(
        Limits::default(),
        vec![
            (0, "lookup of a new key", lookup("k", "a")),
            (1, "begin", begin("k", "a", 1, 0)),
            (2, "the same attempt begins again", begin("k", "a", 1, 0)),
            (3, "another attempt begins", begin("k", "a", 2, 0)),
            (4, "begin with another request", begin("k", "b", 3, 0)),
            (5, "another attempt finishes", finish("k", 2, "no")),
            (6, "another attempt is abandoned", abandon("k", 2, 0)),
            (5_002, "lookup after the run's time", lookup("k", "a")),
            (5_003, "another attempt begins", begin("k", "a", 4, 5_000)),
            (6_000, "the attempt finishes late", finish("k", 1, "booked")),
            (6_001, "the attempt finishes again", finish("k", 1, "other")),
            (
                6_002,
                "the attempt is abandoned when it is done",
                abandon("k", 1, 0)
            ),
            (6_003, "lookup", lookup("k", "a")),
            (6_004, "lookup with another request", lookup("k", "b")),
            (6_005, "begin after the response", begin("k", "a", 5, 6_000)),
        ]
    ));
}

#[test]
fn abandoned_and_lost() {
    insta::assert_snapshot!(run_script(
        Limits::default(),
        vec![
            (0, "begin", begin("k", "a", 1, 0)),
            (1, "abandon", abandon("k", 1, 0)),
            (2, "a delayed copy of the begin", begin("k", "a", 1, 0)),
            (3, "another attempt begins", begin("k", "a", 2, 0)),
            (4, "the first attempt finishes", finish("k", 1, "no")),
            (5, "the second attempt is lost", lose("k", 2)),
            (6, "lookup", lookup("k", "a")),
            (7, "a lost attempt can't be abandoned", abandon("k", 2, 0)),
            (8, "another attempt begins", begin("k", "a", 3, 0)),
            (9, "the lost attempt finishes", finish("k", 2, "booked")),
            (10, "lookup", lookup("k", "a")),
            (20, "abandon before the begin arrives", abandon("m", 9, 15)),
            (10_020, "the begin arrives", begin("m", "a", 9, 15)),
            (
                10_026,
                "the begin arrives when no longer refused",
                begin("m", "a", 9, 15)
            ),
            (10_027, "a new attempt", begin("m", "a", 10, 10_026)),
        ]
    ));
}

#[test]
fn retention() {
    let limits = Limits::default().with_spent_keep_ms(72 * HOUR_MS);
    insta::assert_snapshot!(run_script(
        limits,
        vec![
            (0, "begin", begin("k", "a", 1, 0)),
            (1, "finish", finish("k", 1, "booked")),
            (
                24 * HOUR_MS,
                "lookup before 24 h are over",
                lookup("k", "a")
            ),
            (24 * HOUR_MS + 1, "lookup after that time", lookup("k", "a")),
            (24 * HOUR_MS + 2, "begin", begin("k", "a", 2, 24 * HOUR_MS)),
            (
                24 * HOUR_MS + 3,
                "begin with another request",
                begin("k", "b", 3, 24 * HOUR_MS)
            ),
            (119 * HOUR_MS, "lookup four days later", lookup("k", "a")),
            (
                120 * HOUR_MS,
                "lookup when spent keys are removed",
                lookup("k", "a")
            ),
        ]
    ));
}

#[test]
fn bounds() {
    let limits = Limits::default().with_operations_max(4).with_spent_max(3);
    let large = "x".repeat(idempotency::limits::ANSWER_MAX_BYTES + 1);
    insta::assert_snapshot!(run_script(
        limits,
        vec![
            (0, "begin a", begin("a", "a", 1, 0)),
            (1, "begin b", begin("b", "a", 2, 0)),
            (2, "begin c at the bound", begin("c", "a", 3, 0)),
            (3, "finish a, too large to store", finish("a", 1, &large)),
            (4, "lookup of a", lookup("a", "a")),
            (5, "finish b", finish("b", 2, "booked")),
            (
                24 * HOUR_MS + 6,
                "begin c: two keys are spent",
                begin("c", "a", 4, 24 * HOUR_MS)
            ),
            (
                24 * HOUR_MS + 7,
                "begin d: the bound on keys is reached",
                begin("d", "a", 5, 24 * HOUR_MS)
            ),
            (
                24 * HOUR_MS + 8,
                "begin a",
                begin("a", "a", 6, 24 * HOUR_MS)
            ),
        ]
    ));
}

/// Space for the largest response is reserved until a run's time is over.
#[test]
fn space_is_reserved_for_responses_of_running_operations_only() {
    let mut limits = Limits::default();
    limits.answers_max_bytes = 2 * limits.answer_max_bytes;
    limits.operations_max = 100;
    insta::assert_snapshot!(run_script(
        limits,
        vec![
            (0, "begin a", begin("a", "a", 1, 0)),
            (1, "begin b", begin("b", "a", 2, 0)),
            (
                2,
                "begin c: no space for its response",
                begin("c", "a", 3, 0)
            ),
            (
                5_002,
                "begin c: a and b are overdue",
                begin("c", "a", 4, 5_000)
            ),
            (5_003, "abandon c", abandon("c", 4, 5_000)),
            (5_004, "finish a late", finish("a", 1, "booked")),
            (
                5_005,
                "begin d: space left after a's response",
                begin("d", "a", 5, 5_000)
            ),
            (5_006, "begin e", begin("e", "a", 6, 5_000)),
        ]
    ));
}

/// One customer can use at most half of the ledger.
#[test]
fn one_customer_leaves_room_for_others() {
    let limits = Limits::default().with_operations_max(4);
    let of = |customer: &str, key: &str, number: u128| Request::Begin {
        id: OperationId::new(
            customer.parse().expect("name"),
            OperationKey::new(key).expect("key"),
        ),
        digest: digest("a"),
        attempt: attempt(number),
        asked_ms: 0,
        run_ms: 5_000,
    };
    insta::assert_snapshot!(run_script(
        limits,
        vec![
            (0, "begin a", begin("a", "a", 1, 0)),
            (1, "begin b", begin("b", "a", 2, 0)),
            (
                2,
                "begin c: half of the ledger is used",
                begin("c", "a", 3, 0)
            ),
            (3, "another customer begins", of("other", "a", 4)),
            (4, "abandon b", abandon("b", 2, 0)),
            (5, "begin c", begin("c", "a", 5, 0)),
            (6, "the other customer begins again", of("other", "b", 6)),
            (7, "a third customer: all is used", of("third", "a", 7)),
        ]
    ));
}

fn any_request() -> impl Strategy<Value = Request> {
    let key = prop::sample::select(vec!["k", "m", "n"]);
    (0..5_u8, key, 0..6_u128, 0..40_000_u64).prop_map(|(kind, key, number, at_ms)| match kind {
        0 | 1 => begin(key, "a", number, at_ms),
        2 => finish(key, number, "booked"),
        3 => abandon(key, number, at_ms),
        _ => lose(key, number),
    })
}

proptest! {
    /// A replica restored from a snapshot stays equal to one that applied every
    /// command, and commands keep their meaning when encoded.
    #[test]
    fn replicas_are_equal(
        steps in prop::collection::vec((0..30_000_000_u64, any_request()), 1..60),
        snapshot_at in 0..60_usize,
    ) {
        let mut original = Ledger::new(Limits::default());
        let mut restored = Ledger::new(Limits::default());
        let mut now_ms = 0;
        for (at, (step_ms, request)) in steps.into_iter().enumerate() {
            now_ms += step_ms;
            let command = Command { now_ms, request };
            let bytes = command.to_bytes().expect("encode");
            let decoded = Command::from_bytes(&bytes).expect("decode");
            prop_assert_eq!(original.apply(command), restored.apply(decoded));
            if at == snapshot_at {
                restored = Ledger::from_bytes(&original.to_bytes().expect("encode")).expect("decode");
            }
            prop_assert_eq!(&original, &restored);
        }
    }
}
