//! Measures memory, snapshot size and speed of a full ledger.
//!
//! Run it with `cargo run --release -p idempotency --example size`.

use std::time::Instant;

use idempotency::{
    AttemptId, Command, Ledger, Limits, OperationId, OperationKey, Request, RequestDigest,
    StoredAnswer,
};
use world::{CustomerName, Error};

const ANSWER_BYTES: usize = 400;
const SPENT_KEYS: usize = 400_000;

fn id(number: usize) -> Result<OperationId, Error> {
    let key = OperationKey::new(&format!("booking-{number:024}"))?;
    Ok(OperationId::new(
        CustomerName::new(&format!("customer-{}", number % 3))?,
        key,
    ))
}

fn run_operation(ledger: &mut Ledger, number: usize, now_ms: u64) -> Result<(), Error> {
    let attempt = AttemptId::from_number(number as u128);
    let request = Request::Begin {
        id: id(number)?,
        digest: RequestDigest::new("POST", "objednavky/slots", b"slot 7"),
        attempt,
        asked_ms: now_ms,
        run_ms: 5_000,
    };
    ledger.apply(Command { now_ms, request });
    let request = Request::Finish {
        id: id(number)?,
        attempt,
        answer: Some(StoredAnswer::new(201, vec![b'x'; ANSWER_BYTES])),
    };
    ledger.apply(Command { now_ms, request });
    Ok(())
}

fn main() -> Result<(), Error> {
    let limits = Limits::default();
    let mut ledger = Ledger::new(limits);
    let day_ms = limits.retention_ms;
    let mut now_ms = 0;
    let started = Instant::now();
    let total = SPENT_KEYS + limits.operations_max;
    for number in 0..total {
        if number % limits.operations_max == 0 {
            // Lets the operations so far expire, so that their keys become spent.
            now_ms += day_ms + 1;
        }
        run_operation(&mut ledger, number, now_ms)?;
    }
    let each_us = started.elapsed().as_micros() / total as u128;
    println!("begin and finish: {each_us} us");
    println!(
        "operations: {}, answers: {} B",
        ledger.len(),
        ledger.answers_bytes()
    );
    let started = Instant::now();
    let bytes = ledger.to_bytes()?;
    println!("snapshot: {} B in {:?}", bytes.len(), started.elapsed());
    let started = Instant::now();
    let restored = Ledger::from_bytes(&bytes)?;
    println!("restore: {:?}", started.elapsed());
    assert_eq!(restored.len(), ledger.len());
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines().filter(|l| l.starts_with("VmHWM")) {
        println!("two ledgers and a snapshot, {line}");
    }
    Ok(())
}
