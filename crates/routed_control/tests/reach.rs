//! Which control VMs pass on the rows of one that does not answer.

use std::net::IpAddr;

use routed_control::reach::Reach;
use tokio::time::{Duration, Instant};

fn ip(host: u8) -> IpAddr {
    [10, 0, 0, host].into()
}

/// Rows that each of the control VMs 1 to 6 is asked to pass on.
fn relayed(reach: &Reach) -> Vec<String> {
    let asked = (1..=6).map(|host| (host, reach.relayed_by(ip(host))));
    let asked = asked.filter(|(_, relayed)| !relayed.is_empty());
    asked
        .map(|(host, relayed)| format!("{host}: {relayed:?}"))
        .collect()
}

#[test]
fn two_others_pass_on_the_rows_of_a_silent_control_vm() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for host in 1..=6 {
        assert!(reach.record(ip(host), true, now));
    }
    let mut seen = vec![relayed(&reach)];
    assert!(reach.record(ip(2), false, now));
    seen.push(relayed(&reach));
    assert!(!reach.record(ip(2), false, now));
    // One of those that pass them on falls silent too.
    let relay = (1..=6).find(|host| !reach.relayed_by(ip(*host)).is_empty());
    reach.record(ip(relay.unwrap()), false, now);
    seen.push(relayed(&reach));
    reach.record(ip(2), true, now);
    reach.retain(&[ip(1), ip(2), ip(3)]);
    seen.push(relayed(&reach));
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a control VM that counts as cut off because machines that were replaced
/// long ago do not answer, or as in contact while most voters don't.
#[test]
fn contact_needs_recent_answers_of_most_voters() {
    let now = Instant::now();
    let mut reach = Reach::default();
    let voters = [1, 2, 3, 4, 5].map(ip);
    let mut seen = vec![reach.has_contact(ip(1), &voters, now)];
    for host in [2, 3, 9] {
        reach.record(ip(host), true, now);
    }
    // A learner in contact with the same two is not with most voters.
    seen.extend([1, 6].map(|own| reach.has_contact(ip(own), &voters, now)));
    let later = now + Duration::from_secs(1);
    seen.push(reach.has_contact(ip(1), &voters, later));
    // The only control VM of a small site, and one that knows no group yet.
    seen.push(reach.has_contact(ip(1), &[ip(1)], later));
    seen.push(reach.has_contact(ip(1), &[], later));
    assert_eq!(seen, [false, true, false, false, true, false]);
}
