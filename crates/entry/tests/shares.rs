//! Shares of a plan limit at three entry VMs that report their demand to each other.
//! Guards against shares that sum to more than the limit after demand moves, and
//! against a VM that takes a larger share while it is cut off from the others.

use std::time::Duration;

use admission::limit::ObservedDemand;
use entry::shares::PlanShares;
use tokio::time::{Instant, advance};
use world::{CustomerName, MachineName, ServiceName};

/// Interval between two reports of a VM.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn demand(rate_per_s: f64) -> ObservedDemand {
    ObservedDemand {
        customer: CustomerName::new("garage").expect("name"),
        service: ServiceName::new("terminy").expect("name"),
        rate_per_s,
    }
}

/// One exchange: each VM reports its demand to those it can reach.
async fn round(
    vms: &mut [PlanShares],
    rates_per_s: &[f64],
    reaches: impl Fn(usize, usize) -> bool,
) {
    advance(REPORT_INTERVAL).await;
    let now = Instant::now();
    for from in 0..vms.len() {
        let reported = vms[from].record_own(now, vec![demand(rates_per_s[from])], 3);
        let name = MachineName::new(&format!("entry-{from}")).expect("name");
        for to in (0..vms.len()).filter(|to| *to != from && reaches(from, *to)) {
            vms[to].record_peer(now, &name, &reported);
        }
    }
}

fn row(what: &str, vms: &[PlanShares]) -> String {
    let now = Instant::now();
    let shares: Vec<f64> = vms
        .iter()
        .map(|vm| vm.rows(now).next().map_or(1.0, |(_, _, share)| share))
        .collect();
    let sum: f64 = shares.iter().sum();
    let shares: Vec<String> = shares.iter().map(|s| format!("{s:.2}")).collect();
    format!("{what:28} {}  sum {sum:.2}", shares.join(" "))
}

#[tokio::test(start_paused = true)]
async fn shares_follow_demand_and_sum_to_the_whole() {
    let mut vms: Vec<PlanShares> = (0..3).map(|_| PlanShares::new(Instant::now())).collect();
    advance(Duration::from_secs(10)).await;
    let mut rows = vec![row("no demand yet", &vms)];
    for _ in 0..10 {
        round(&mut vms, &[100.0, 0.0, 0.0], |_, _| true).await;
    }
    rows.push(row("all through the first", &vms));
    round(&mut vms, &[50.0, 50.0, 0.0], |_, _| true).await;
    rows.push(row("half moves, first round", &vms));
    for _ in 0..10 {
        round(&mut vms, &[50.0, 50.0, 0.0], |_, _| true).await;
    }
    rows.push(row("half moved", &vms));
    for _ in 0..10 {
        round(&mut vms, &[50.0, 500.0, 0.0], |from, to| {
            from != 1 && to != 1
        })
        .await;
    }
    rows.push(row("second cut off, demand grows", &vms));
    insta::assert_snapshot!(rows.join("\n"));
}
