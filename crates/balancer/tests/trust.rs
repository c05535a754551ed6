//! Reuse of pooled connections, hedges and retry budgets.
//!
//! Guards against requests on dead connections, and against hedges and retries
//! that multiply the load.

mod support;

use std::time::Duration;

use balancer::{
    BudgetSettings, ConnectionAge, ConnectionTrust, ConnectionTrustSettings, Hedge, HedgeSettings,
    Retry, RetryBudget,
};
use support::{long, server_name, service, short};
use tokio::time::Instant;

#[test]
fn idle_connections_are_reused_for_a_short_time() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut trust = ConnectionTrust::new(ConnectionTrustSettings::default());
    let age = |opened, last| ConnectionAge {
        opened_at: at(opened),
        last_byte_at: at(last),
    };
    let server = server_name(0);
    let non_idempotent = short(0).with_idempotent(false);
    let mut rows = Vec::new();
    for idle_ms in [0, 99, 100, 1_999, 2_000] {
        let idempotent = trust.allows(at(1_000 + idle_ms), &server, age(0, 1_000), &short(0));
        let non_idempotent =
            trust.allows(at(1_000 + idle_ms), &server, age(0, 1_000), &non_idempotent);
        rows.push(format!(
            "idle {idle_ms} ms: idempotent {idempotent}, non-idempotent {non_idempotent}"
        ));
    }
    trust.mark_unresponsive(&server, at(5_000));
    for (what, age) in [
        ("opened and last byte before", age(0, 4_900)),
        ("opened before, byte since", age(0, 5_001)),
        ("opened since", age(5_001, 5_001)),
    ] {
        let same_server = trust.allows(at(5_100), &server, age, &short(0));
        let other_server = trust.allows(at(5_100), &server_name(1), age, &short(0));
        rows.push(format!(
            "same server, {what}: {same_server}; another server: {other_server}"
        ));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn first_byte_timeout_of_a_reused_connection_follows_the_latency() {
    let trust = ConnectionTrust::new(ConnectionTrustSettings::default());
    let timeouts =
        [0, 10, 200].map(|typical| trust.first_byte_timeout(Duration::from_millis(typical)));
    assert_eq!(timeouts, [500, 500, 2_000].map(Duration::from_millis));
}

#[test]
fn hedges_come_after_a_learned_delay_on_a_budget() {
    let mut hedge = Hedge::new(HedgeSettings {
        budget: BudgetSettings {
            share: 0.05,
            burst: 2.0,
        },
        ..HedgeSettings::default()
    });
    let before = hedge.delay(&service(), &short(0));
    for ms in 1..=100 {
        hedge.record(&service(), Duration::from_millis(ms / 10 + 10));
    }
    let learned = hedge.delay(&service(), &short(0));
    let long = hedge.delay(&service(), &long(0));
    let non_idempotent = hedge.delay(&service(), &short(0).with_idempotent(false));
    let alone = hedge.delay(&service(), &short(0).with_alone(true));
    let mut sent = 0;
    for _ in 0..1_000 {
        let _ = hedge.delay(&service(), &short(0));
        sent += u32::from(hedge.spend());
    }
    insta::assert_debug_snapshot!((before, learned, long, non_idempotent, alone, sent));
}

#[test]
fn retries_need_budget_time_and_permission() {
    let now = Instant::now();
    let settings = BudgetSettings {
        share: 0.1,
        burst: 2.0,
    };
    let allowed_retry = Retry {
        may_run_again: true,
        attempts: 1,
        deadline: now + Duration::from_millis(100),
        expected: Duration::from_millis(10),
    };
    let mut budget = RetryBudget::new(settings);
    let refused = [
        budget.allow(
            now,
            &Retry {
                may_run_again: false,
                ..allowed_retry
            },
        ),
        budget.allow(
            now,
            &Retry {
                attempts: 3,
                ..allowed_retry
            },
        ),
        budget.allow(
            now,
            &Retry {
                deadline: now + allowed_retry.expected,
                ..allowed_retry
            },
        ),
    ];
    let burst: Vec<_> = (0..3).map(|_| budget.allow(now, &allowed_retry)).collect();
    let mut allowed_count = 0;
    for _ in 0..1_000 {
        budget.earn();
        allowed_count += u32::from(budget.allow(now, &allowed_retry));
    }
    insta::assert_debug_snapshot!((refused, burst, allowed_count));
}
