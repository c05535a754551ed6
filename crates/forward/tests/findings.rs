//! Which findings an entry VM reports: its own, once to each control VM, and those of
//! others only to a control VM that has lost them.

use std::collections::HashSet;
use std::time::Duration;

use balancer::{Fingerprint, Mark};
use discovery::{Finding, Row, Update};
use forward::findings::Findings;
use tokio::time::{Instant, advance};

fn crash(request: u64, convicted: bool) -> Finding {
    Finding::Crash(Mark {
        fingerprint: Fingerprint(request),
        convicted,
        crash_id: 1,
        sole: true,
        left_ms: 1_000,
    })
}

fn requests(updates: &[Update]) -> Vec<(u64, bool, u64)> {
    let rows = updates.iter().map(|update| match &update.row {
        Row::Finding(Finding::Crash(mark)) => (mark.fingerprint.0, mark.convicted, update.age_ms),
        row => panic!("not a crash: {row:?}"),
    });
    rows.collect()
}

#[tokio::test(start_paused = true)]
async fn findings_reported_to_a_control_vm() {
    let findings = Findings::default();
    let mut rows = Vec::new();
    let mut report = |findings: &Findings, when: &str, after: u64| {
        let (updates, reached) = findings.unreported(after, Instant::now());
        rows.push(format!("{when}: {:?}", requests(&updates)));
        reached
    };
    findings.report(crash(1, false), Instant::now());
    advance(Duration::from_millis(100)).await;
    let first = report(&findings, "own", 0);
    report(&findings, "after it was reported", first);
    let received = findings.receive(&crash(2, false), 300, Instant::now());
    assert_eq!(received, crash(2, false).aged(300));
    assert_eq!(
        findings.receive(&crash(2, false), 300, Instant::now()),
        None
    );
    report(&findings, "another's", first);
    findings.report(crash(1, false), Instant::now());
    report(&findings, "the same again", first);
    findings.report(crash(1, true), Instant::now());
    let confirmed = report(&findings, "confirmed", first);
    findings.restate(&HashSet::from([crash(1, true).key()]));
    report(&findings, "the control VM lacks the other's", confirmed);
    advance(Duration::from_millis(950)).await;
    findings.expire(Instant::now());
    report(&findings, "after the other's has expired", 0);
    insta::assert_snapshot!(rows.join("\n"));
}

/// A crash of a server with many requests must not make a message that delays others.
#[tokio::test(start_paused = true)]
async fn many_findings_go_out_in_several_messages() {
    let findings = Findings::default();
    for request in 0..300 {
        findings.report(crash(request, false), Instant::now());
    }
    let (mut after, mut sizes) = (0, Vec::new());
    loop {
        let (updates, reached) = findings.unreported(after, Instant::now());
        if updates.is_empty() {
            break;
        }
        sizes.push(updates.len());
        after = reached;
    }
    assert_eq!(sizes, [128, 128, 44]);
}
