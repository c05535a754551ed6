//! Limits that backend servers name: the parts of the entry VMs, and how long a limit
//! counts.

mod common;

use std::time::Duration;

use affinity::AffinityBalancer;
use affinity::limit::{RegionDemand, quota as quota_of_limit};
use common::{choose_and_end, new_balancer};
use tokio::time::Instant;

/// The parts of all entry VMs add up to the limit of a server at most, and to most of it,
/// however many there are.
#[test]
fn parts_of_a_limit_by_number_of_entry_vms() {
    let mut rows = Vec::new();
    for total in [4.0, 26.0, 35.4, 300.0] {
        for entry_vms in [1, 4, 20, 226] {
            // Three regions; the second sends a fifth and the third a twentieth here.
            let regions = [1.0, 0.2, 0.05].map(|weight| RegionDemand { entry_vms, weight });
            let parts = regions.map(|own| {
                let parts = (0..entry_vms).map(|rank| quota_of_limit(total, &regions, own, rank));
                parts.sum::<usize>()
            });
            rows.push(format!("{total} among 3 x {entry_vms}: {parts:?}"));
        }
    }
    insta::assert_snapshot!(rows.join("\n"));
}

/// Counts the requests that the first server of an object gets in `seconds`, at ten a
/// second.
fn requests_to(
    balancer: &mut AffinityBalancer,
    server: &str,
    from: Instant,
    seconds: u64,
) -> usize {
    let times = (0..seconds * 10).map(|tick| from + Duration::from_millis(tick * 100));
    let chosen = times.filter_map(|now| {
        balancer.advance(now);
        choose_and_end(balancer, 1, false, now)
    });
    chosen
        .filter(|choice| choice.server.as_str() == server)
        .count()
}

#[test]
fn a_limit_is_kept_until_a_response_names_none() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut balancer = new_balancer(start);
    let first = choose_and_end(&mut balancer, 1, false, start).unwrap();
    let name = first.server.as_str();
    let mut rows = vec![("no limit", requests_to(&mut balancer, name, start, 4))];
    balancer.apply_limit(&first, Some(2_000), at(4), at(4));
    rows.push(("2 a second", requests_to(&mut balancer, name, at(4), 4)));
    let ended = balancer.apply_limit(&first, None, at(3), at(8));
    assert!(!ended, "the request was sent before the limit was named");
    rows.push((
        "none, an old response",
        requests_to(&mut balancer, name, at(8), 4),
    ));
    balancer.apply_limit(&first, Some(500), at(12), at(12));
    rows.push(("1 in 2 s", requests_to(&mut balancer, name, at(12), 8)));
    assert!(balancer.apply_limit(&first, None, at(20), at(20)), "ended");
    rows.push(("none", requests_to(&mut balancer, name, at(20), 4)));
    balancer.apply_limit(&first, Some(2_000), at(24), at(24));
    rows.push((
        "not named for 10 s",
        requests_to(&mut balancer, name, at(35), 4),
    ));
    insta::assert_debug_snapshot!(rows);
}
