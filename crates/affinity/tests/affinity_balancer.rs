//! Choice of a server for a request: object affinity, servers that get no
//! requests, limits on cold servers, and the shares of regions.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use affinity::cold::quota;
use affinity::shares::{Shares, target};
use affinity::{AffinityBalancer, AttemptEnd, Choice, Report};
use common::{
    DOMAINS, balancer_started_at, choose, choose_and_end, new_balancer, place, row, service,
};
use tokio::time::Instant;
use world::{DomainName, MachineName, RegionName, ServerName};

#[test]
fn an_object_stays_with_one_server_and_objects_are_spread() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let mut other = new_balancer(now);
    let mut used = BTreeSet::new();
    for object in 0..200 {
        let first = choose_and_end(&mut balancer, object, false, now)
            .unwrap()
            .server;
        let again = choose_and_end(&mut balancer, object, false, now)
            .unwrap()
            .server;
        let elsewhere = choose_and_end(&mut other, object, false, now)
            .unwrap()
            .server;
        assert_eq!((&first, &first), (&again, &elsewhere));
        used.insert(first);
    }
    assert_eq!(used.len(), 4, "all servers of the region: {used:?}");
}

#[test]
fn large_objects_stay_in_the_failure_domain() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let choices = (0..100).map(|o| {
        choose_and_end(&mut balancer, o, true, now)
            .unwrap()
            .place
            .domain
    });
    let domains: BTreeSet<String> = choices.map(|d| d.to_string()).collect();
    assert_eq!(domains, BTreeSet::from(["north-a".into()]));
}

#[test]
fn nothing_goes_to_servers_that_leave_are_evacuated_or_were_not_reached() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    balancer.set_evacuated(&[DomainName::new("north-b").unwrap()], now);
    balancer.mark_leaving(&ServerName::new("north-a-1").unwrap(), 1);
    let choice = choose(&mut balancer, 1, false, now).unwrap();
    assert_eq!(choice.server.as_str(), "north-a-2");
    balancer.mark_leaving(&choice.server, 1);
    assert!(
        !balancer.is_open(&choice, now),
        "the server left after the choice"
    );
    let elsewhere = choose_and_end(&mut balancer, 1, false, now).unwrap();
    assert_eq!(elsewhere.place.region.as_str(), "south");
    balancer.end_attempt(&elsewhere, AttemptEnd::Refused, Duration::ZERO, now);
    let next = choose_and_end(&mut balancer, 1, false, now);
    assert_ne!(next.map(|p| p.server), Some(elsewhere.server));
}

#[test]
fn a_later_incarnation_of_a_leaving_server_is_used() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let name = ServerName::new("north-a-1").unwrap();
    balancer.mark_leaving(&name, 1);
    let mut again = row("north-a-1", "north-a");
    again.born_ms = 2;
    balancer.apply_announcement(&again, 0, now);
    let used = (0..50).any(|o| choose_and_end(&mut balancer, o, true, now).unwrap().server == name);
    assert!(used);
}

#[test]
fn a_full_site_refuses_and_says_when_to_come_back() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let busy = Report {
        running: 4,
        waiting: 20,
        slots: 4,
        pace_percent: 100,
    };
    for object in 0..200 {
        if let Ok(choice) = choose(&mut balancer, object, false, now) {
            balancer.apply_report(&choice, busy, now);
        }
    }
    let full = choose(&mut balancer, 1, false, now).unwrap_err();
    assert!((50..=1_000).contains(&full.retry_after_ms), "{full:?}");
}

#[test]
fn a_full_region_sends_few_requests_elsewhere() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let mut away = 0;
    for object in 0..2_000 {
        // Attempts in the region never end, so it is soon full.
        if let Ok(choice) = choose(&mut balancer, object, false, now) {
            let elsewhere = choice.place.region.as_str() != "north";
            away += u32::from(elsewhere);
            if elsewhere {
                balancer.end_attempt(
                    &choice,
                    AttemptEnd::Answered,
                    Duration::from_millis(100),
                    now,
                );
            }
        }
    }
    assert!(away > 0 && away <= 150, "{away} of 2,000 ran elsewhere");
}

#[test]
fn a_region_without_servers_sends_all_requests_elsewhere() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let gone = ["north-a", "north-b"].map(|d| DomainName::new(d).unwrap());
    balancer.set_evacuated(&gone, now);
    let served = (0..100).filter(|o| choose_and_end(&mut balancer, *o, false, now).is_some());
    assert_eq!(served.count(), 100);
}

#[test]
fn cold_servers_get_no_more_than_their_limit_from_all_entry_vms_together() {
    for entries in [1, 3, 10, 11, 40, 71] {
        for total in [10.25, 20.0, 30.5] {
            let sum: usize = (0..entries).map(|rank| quota(total, entries, rank)).sum();
            let whole = [10, 20, 30].into_iter().rfind(|w| f64::from(*w) <= total);
            assert_eq!(sum, usize::try_from(whole.unwrap()).unwrap());
        }
    }
}

/// Guards against a service's `cold_per_s` for which the quota was counted up one by one,
/// for minutes, while the balancer was locked.
#[test]
fn a_quota_of_any_number_is_found_at_once() {
    let start = std::time::Instant::now();
    let none = [0.0, -0.0, -1.0, 0.999, 1e-300, f64::MIN, f64::NAN];
    assert_eq!(none.map(|total| quota(total, 3, 0)), [0; 7]);
    let huge = [5e9, 7.5e9 + 5.0, 1e18].map(|total| quota(total, 1, 0));
    assert_eq!(
        huge,
        [5_000_000_000, 7_500_000_005, 1_000_000_000_000_000_000]
    );
    let endless = [f64::MAX, f64::INFINITY].map(|total| quota(total, 11, 10));
    assert_eq!(endless, [usize::MAX / 11; 2]);
    assert!(start.elapsed() < std::time::Duration::from_secs(1));
}

/// Announces every server as cold for ten seconds.
fn announce_all_cold(balancer: &mut AffinityBalancer, now: Instant) {
    for (domain, _) in DOMAINS {
        for at in 1..=2 {
            let mut row = row(&format!("{domain}-{at}"), domain);
            row.cold_ms = 10_000;
            row.sequence = 2;
            balancer.apply_announcement(&row, 0, now);
        }
    }
}

/// Sends 200 requests at once and returns the highest number that went to one
/// server.
fn max_requests_to_one_server(balancer: &mut AffinityBalancer, now: Instant) -> usize {
    let mut sent: BTreeMap<ServerName, usize> = BTreeMap::new();
    for object in 0..200 {
        if let Some(choice) = choose_and_end(balancer, object, false, now) {
            *sent.entry(choice.server).or_default() += 1;
        }
    }
    sent.into_values().max().unwrap_or(0)
}

#[test]
fn the_limit_on_cold_servers_is_divided_among_known_entry_vms() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    announce_all_cold(&mut balancer, now);
    for at in 2..=71 {
        let name = MachineName::new(&format!("entry-{at}")).unwrap();
        balancer.update_entry_vm(&name, &place("north-a").region, false, now);
    }
    // 20 requests per second divided among 71 entry VMs.
    assert_eq!(max_requests_to_one_server(&mut balancer, now), 1);
}

#[test]
fn an_entry_vm_that_just_started_leaves_cold_servers_to_others() {
    let started_at = Instant::now();
    let mut balancer = balancer_started_at(started_at, started_at);
    announce_all_cold(&mut balancer, started_at);
    let at = |ms| started_at + Duration::from_millis(ms);
    assert_eq!(max_requests_to_one_server(&mut balancer, at(1_000)), 0);
    assert_eq!(max_requests_to_one_server(&mut balancer, at(2_500)), 20);
}

#[test]
fn a_domain_counts_as_cold_after_its_evacuation_ends() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    let domain = [DomainName::new("north-a").unwrap()];
    balancer.set_evacuated(&domain, now);
    balancer.set_evacuated(&[], now);
    let cold: Vec<bool> = (0..20)
        .filter_map(|o| choose_and_end(&mut balancer, o, true, now))
        .filter(|p| p.place.domain.as_str() == "north-a")
        .map(|p| p.cold)
        .collect();
    assert!(!cold.is_empty() && cold.iter().all(|c| *c), "{cold:?}");
}

#[test]
fn a_newer_announcement_replaces_the_cold_time() {
    let now = Instant::now();
    let mut balancer = new_balancer(now);
    announce_all_cold(&mut balancer, now);
    let name = ServerName::new("north-a-1").unwrap();
    let later = now + Duration::from_secs(1);
    let cold = |balancer: &mut AffinityBalancer, now: Instant| {
        let choices: Vec<Choice> = (0..200)
            .filter_map(|object| choose_and_end(balancer, object, true, now))
            .collect();
        let choice_of_server = choices.into_iter().find(|choice| choice.server == name);
        choice_of_server.map(|choice| choice.cold)
    };
    let mut seen = vec![cold(&mut balancer, later)];
    let mut warm = row("north-a-1", "north-a");
    warm.sequence = 3;
    balancer.apply_announcement(&warm, 0, later);
    seen.push(cold(&mut balancer, later));
    // The evacuation ends after the server sent this announcement, so the
    // server may have restarted since and stays cold.
    let last = later + Duration::from_secs(2);
    balancer.set_evacuated(&[DomainName::new("north-a").unwrap()], last);
    balancer.set_evacuated(&[], last);
    warm.sequence = 4;
    balancer.apply_announcement(&warm, 500, last);
    seen.push(cold(&mut balancer, last));
    assert_eq!(seen, [Some(true), Some(false), Some(true)]);
}

fn slots(rows: &[(&str, f64)]) -> BTreeMap<RegionName, f64> {
    let row = |(name, slots): &(&str, f64)| (RegionName::new(name).unwrap(), *slots);
    rows.iter().map(row).collect()
}

#[test]
fn a_region_with_few_slots_sends_the_rest_where_slots_are_left() {
    let slots = slots(&[("east", 90.0), ("mid", 72.0), ("west", 18.0)]);
    let rows: Vec<String> = slots
        .keys()
        .map(|home| {
            let shares = target(home, &slots);
            let row = |(to, share): (&RegionName, &f64)| format!("{to} {share:.2}");
            format!(
                "{home}: {}",
                shares.iter().map(row).collect::<Vec<_>>().join(", ")
            )
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn shares_move_less_than_the_bound_in_two_seconds() {
    let home = RegionName::new("west").unwrap();
    let before = target(&home, &slots(&[("east", 90.0), ("west", 90.0)]));
    let after = target(&home, &slots(&[("east", 150.0), ("west", 10.0)]));
    let mut shares = Shares::default();
    let begun_at = Instant::now();
    shares.advance(&before, begun_at);
    let regions_by_object = |shares: &Shares| -> Vec<RegionName> {
        (0..2_000_u64)
            .map(|o| shares.region(&home, o * 0x9e37_79b9))
            .collect()
    };
    let mut last = regions_by_object(&shares);
    for second in (2..40).step_by(2) {
        for half in 1..=4 {
            let at = Duration::from_millis(second * 1_000 - 2_000 + half * 500);
            shares.advance(&after, begun_at + at);
        }
        let next = regions_by_object(&shares);
        let moved = last.iter().zip(&next).filter(|(a, b)| a != b).count();
        assert!(moved <= 300, "{moved} of 2,000 in two seconds");
        last = next;
    }
}

/// Retries that a service's budget allows right after `now`.
fn retries_allowed(balancer: &mut AffinityBalancer, now: Instant) -> usize {
    balancer.advance(now);
    let service = service();
    (0..100)
        .take_while(|_| balancer.try_spend_retry(&service))
        .count()
}

/// An entry VM that has just started knows no other, and may have spent its part of the
/// site's retries before it was restarted (BUDGET).
#[test]
fn an_entry_vm_that_just_started_does_not_hold_the_retries_of_all() {
    let start = Instant::now();
    let mut balancer = balancer_started_at(start, start);
    let later = start + Duration::from_secs(3);
    let mut rows = vec![("alone, just started", retries_allowed(&mut balancer, start))];
    rows.push(("alone, 3 s later", retries_allowed(&mut balancer, later)));
    for _ in 0..100 {
        balancer.record_first_attempt(&service());
    }
    rows.push(("after 100 requests", retries_allowed(&mut balancer, later)));
    insta::assert_debug_snapshot!(rows);
}
