//! Simulated latency of short work by policy while some backend servers are slow.
//!
//! Guards against a policy that keeps sending work to slow servers.

mod support;

use balancer::Policy;
use support::sim::{SimParams, run};

fn policies() -> [(&'static str, Policy, bool); 5] {
    [
        ("round robin", Policy::RoundRobin, false),
        ("two choices", Policy::TwoChoices, false),
        ("two choices, hedges", Policy::TwoChoices, true),
        ("least cost", Policy::LeastCost, false),
        ("least cost, hedges", Policy::LeastCost, true),
    ]
}

fn rows(params: &SimParams, slowed: &[u32]) -> String {
    let mut rows = Vec::new();
    for slowed in slowed {
        for (name, policy, hedging) in policies() {
            let params = SimParams {
                policy,
                hedging,
                slowed: *slowed,
                ..params.clone()
            };
            rows.push(format!("{slowed:>2} slowed, {name:20} {}", run(&params)));
        }
    }
    rows.join("\n")
}

/// Twenty servers of one service behind one entry VM.
#[test]
fn whole_service() {
    let params = SimParams {
        servers: 20,
        ..SimParams::default()
    };
    insta::assert_snapshot!(rows(&params, &[0, 2, 5]));
}

/// The four servers that one entry VM owns; one of them is slowed.
#[test]
fn servers_of_one_owner() {
    insta::assert_snapshot!(rows(&SimParams::default(), &[0, 1]));
}

#[test]
fn stragglers() {
    let params = SimParams {
        straggler_one_in: 200,
        ..SimParams::default()
    };
    insta::assert_snapshot!(rows(&params, &[0]));
}

#[test]
fn quarter_slowed_stays_near_none_slowed() {
    let params = SimParams {
        servers: 20,
        ..SimParams::default()
    };
    let none = run(&params).short_us(0.99);
    let quarter = run(&SimParams {
        slowed: 5,
        ..params
    })
    .short_us(0.99);
    assert!(
        quarter * 2 <= none * 3,
        "{quarter} us is above 1.5 × {none} us"
    );
}
