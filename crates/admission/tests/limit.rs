//! Plan limits at one entry VM, their division among several, and link budgets.

use std::sync::Arc;
use std::time::Duration;

use admission::{Demand, Limits, LinkBudget, LinkSettings, ShareSettings, Shares, Traffic};
use tokio::time::Instant;
use world::{Class, Contract, CustomerName, Link, MachineName, Service, ServiceQuota};

fn contract(customer: &str, rate_per_s: u32, burst: u32, in_flight: u32) -> Contract {
    let service = "terminy".parse::<world::ServiceName>().expect("name");
    Contract {
        customer: CustomerName::new(customer).expect("name"),
        priority: 1,
        usage: Arc::new(ServiceQuota {
            service: service.clone(),
            rate_per_s,
            burst,
            in_flight,
        }),
        service: Arc::new(Service {
            name: service,
            class: Class::Short,
            idempotent: true,
            deadline_ms: 1_000,
        }),
        home: None,
    }
}

#[test]
fn a_customer_over_its_plan_harms_no_other() {
    let start = Instant::now();
    let mut limits = Limits::new(1.0);
    let greedy = contract("greedy", 10, 5, 100);
    let modest = contract("modest", 10, 5, 100);
    let mut admitted = [0, 0];
    let mut refused = None;
    for step in 0..1_000 {
        let now = start + Duration::from_millis(step * 10);
        for _ in 0..10 {
            match limits.admit(now, &greedy) {
                Ok(permit) => {
                    admitted[0] += 1;
                    limits.release(permit);
                }
                Err(error) => refused = Some(error),
            }
        }
        if step % 10 == 0 {
            let permit = limits.admit(now, &modest).expect("within its plan");
            admitted[1] += 1;
            limits.release(permit);
        }
    }
    insta::assert_debug_snapshot!((admitted, refused));
}

#[test]
fn requests_in_flight_are_bounded_and_given_back() {
    let now = Instant::now();
    let mut limits = Limits::new(1.0);
    let contract = contract("a", 1_000, 1_000, 2);
    let first = limits.admit(now, &contract).expect("first");
    let _second = limits.admit(now, &contract).expect("second");
    let third = limits.admit(now, &contract).map(|_| ());
    limits.release(first);
    assert!(third.is_err());
    assert_eq!(limits.in_flight("a", "terminy"), 1);
    assert!(limits.admit(now, &contract).is_ok());
}

fn vm(number: usize) -> MachineName {
    MachineName::new(&format!("vm{number}")).expect("name")
}

/// Returns the sum of the shares of four VMs for each second. During the seconds
/// `partition` a network partition separates the first two VMs from the others.
fn share_sums(demand: impl Fn(u64, usize) -> f64, partition: std::ops::Range<u64>) -> Vec<f64> {
    let start = Instant::now();
    let mut vms: Vec<_> = (0..4)
        .map(|_| Shares::new(start, ShareSettings::default(), 4))
        .collect();
    let mut share_sums = Vec::new();
    let mut in_transit = Vec::new();
    for second in 0..200 {
        let now = start + Duration::from_secs(second);
        for (from, shares) in vms.iter_mut().enumerate() {
            let rate_per_s = demand(second, from);
            let report = shares.report_own(now, Demand { rate_per_s });
            for to in 0..4 {
                let is_across = (from < 2) != (to < 2);
                if to != from && !(is_across && partition.contains(&second)) {
                    in_transit.push((to, from, report));
                }
            }
        }
        // The reports of this second arrive after the shares are computed.
        let later = now + Duration::from_millis(500);
        for shares in &mut vms {
            shares.expire(later);
        }
        share_sums.push(vms.iter().map(|s| s.share(later)).sum());
        for (to, from, report) in in_transit.drain(..) {
            let arrived_at = now + Duration::from_millis(900);
            vms[to].report(arrived_at, &vm(from), report);
        }
    }
    share_sums
}

fn highest(share_sums: &[f64]) -> f64 {
    share_sums.iter().copied().fold(0.0, f64::max)
}

#[test]
fn shares_follow_demand_and_never_sum_above_the_limit() {
    let moving_demand = |second: u64, vm: usize| {
        let busy = usize::try_from(second / 20).expect("small") % 4;
        if vm == busy { 100.0 } else { 1.0 }
    };
    let simultaneous_demand = |second: u64, _| if second % 40 < 20 { 1.0 } else { 100.0 };
    for share_sums in [
        share_sums(moving_demand, 0..0),
        share_sums(simultaneous_demand, 0..0),
    ] {
        assert!(
            highest(&share_sums) <= 1.000_001,
            "sum {}",
            highest(&share_sums)
        );
        assert!(share_sums[15] > 0.99, "settled sum {}", share_sums[15]);
    }
}

#[test]
fn overshoot_during_a_partition_is_bounded() {
    let rising_demand = |second: u64, vm: usize| {
        if second > 60 {
            100.0
        } else {
            f64::from(u32::try_from(vm).expect("small")) + 1.0
        }
    };
    let share_sums = share_sums(rising_demand, 50..150);
    // The hold time of 60 s ends in second 109. The other ranges start 2 s (the
    // settle time) after that, and 4 s after the end of the partition.
    let during_hold = highest(&share_sums[..109]);
    let during_partition = highest(&share_sums[112..150]);
    let after_partition = highest(&share_sums[154..]);
    let row = format!(
        "hold time {during_hold:.2}, long partition {during_partition:.2}, after it {after_partition:.2}"
    );
    insta::assert_snapshot!(row);
}

#[test]
fn bulk_is_paced_and_all_vms_stay_under_the_link() {
    let start = Instant::now();
    let link = Link {
        from: "a".parse().expect("name"),
        to: "b".parse().expect("name"),
        rate_bits_per_s: 8_000_000,
        latency_us: 0,
    };
    let mut vms: Vec<_> = (0..4)
        .map(|_| LinkBudget::new(start, LinkSettings::default(), &link, 4))
        .collect();
    let mut sent = [0_u64; 2];
    for step in 0..10_000 {
        let now = start + Duration::from_millis(step);
        for vm in &mut vms {
            while vm.take(now, Traffic::Bulk, 1_500).is_ok() {
                sent[0] += 1_500;
            }
            if step % 100 == 0 && vm.take(now, Traffic::Interactive, 1_000).is_ok() {
                sent[1] += 1_000;
            }
        }
    }
    let [bulk, interactive] = sent.map(|bytes| bytes / 10_000);
    insta::assert_snapshot!(format!(
        "link 1000 kB/s: bulk {bulk} kB/s, interactive {interactive} of 40 kB/s"
    ));
}
