//! Slots reserved for short work.
//!
//! Guards against long work that takes every slot, so that short work waits for
//! hundreds of milliseconds.

mod support;

use std::time::Duration;

use balancer::{FleetSettings, NoSlot};
use support::sim::{SimParams, run};
use support::{fleet, long, service, short};
use tokio::time::Instant;

fn settings(long_share: f64) -> FleetSettings {
    FleetSettings {
        long_share,
        warmup_ms: 0,
        lease_ms: 100_000,
        ..FleetSettings::default()
    }
}

#[test]
fn long_work_holds_a_share_while_short_work_comes() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(start, settings(0.67), 1, 3);
    let only_long: Vec<_> = (0..4)
        .map(|n| fleet.choose(start, &service(), &long(n)).err())
        .collect();
    let mut fleet = support::fleet(start, settings(0.67), 1, 3);
    let first = fleet.choose(start, &service(), &short(0)).expect("slot");
    fleet.done(start, first, balancer::Outcome::Answered);
    let after_short: Vec<_> = (0..3)
        .map(|n| fleet.choose(at(1), &service(), &long(n)).err())
        .collect();
    let later = fleet.choose(at(10_001), &service(), &long(3)).err();
    insta::assert_debug_snapshot!((only_long, after_short, later));
}

/// Short work that runs for 300 ms counts towards the slots of long work.
#[test]
fn straggler_counts_as_long() {
    let start = Instant::now();
    let mut fleet = fleet(start, settings(0.67), 1, 3);
    let _straggler = fleet.choose(start, &service(), &short(0)).expect("slot");
    let _long = fleet.choose(start, &service(), &long(1)).expect("slot");
    let later = start + Duration::from_millis(300);
    let refused = fleet.choose(later, &service(), &long(2)).err();
    assert_eq!(refused, Some(NoSlot::Busy));
    assert!(fleet.choose(later, &service(), &short(3)).is_ok());
}

#[test]
fn short_latency_beside_long_work() {
    let mut rows = Vec::new();
    for (name, long_share, long_one_in) in [
        ("no long work", 0.67, 0),
        ("long work, share limit", 0.5, 80),
        ("long work, no limit", 1.0, 80),
    ] {
        let params = SimParams {
            settings: settings(long_share),
            servers: 4,
            slots: 3,
            load: 0.4,
            long_one_in,
            ..SimParams::default()
        };
        rows.push(format!("{name:22} {}", run(&params)));
    }
    insta::assert_snapshot!(rows.join("\n"));
}
