//! Which control VMs pass on the rows of one that does not answer.

use std::net::IpAddr;

use routed_control::reach::Reach;

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
    let mut reach = Reach::default();
    for host in 1..=6 {
        assert!(reach.record(ip(host), true));
    }
    let mut seen = vec![relayed(&reach)];
    assert!(reach.record(ip(2), false));
    seen.push(relayed(&reach));
    assert!(!reach.record(ip(2), false));
    // One of those that pass them on falls silent too.
    let relay = (1..=6).find(|host| !reach.relayed_by(ip(*host)).is_empty());
    reach.record(ip(relay.unwrap()), false);
    seen.push(relayed(&reach));
    reach.record(ip(2), true);
    reach.retain(&[ip(1), ip(2), ip(3)]);
    seen.push(relayed(&reach));
    insta::assert_debug_snapshot!(seen);
}
