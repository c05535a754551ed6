//! Membership on a simulated network: failure detection, false suspicions, traffic and
//! network partitions.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::net::Net;
use peers::members::MemberState;
use rstest::rstest;

const SETTLE: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_secs(120);

fn converged_net(count: usize, domains: usize, seed: u64) -> Net {
    let mut net = Net::new(count, domains, seed);
    net.run_until(SETTLE, Net::agrees).expect("a full site");
    net.run(Duration::from_secs(10));
    net
}

fn median_and_max(spans: &[Duration]) -> String {
    let mut sorted = spans.to_vec();
    sorted.sort();
    let at = |part: usize| sorted[(sorted.len() - 1) * part / 100].as_secs_f64();
    format!("median {:.1} s, highest {:.1} s", at(50), at(100))
}

/// Time from a fault until every running node lists exactly the running ones, over ten
/// seeds.
fn converge(count: usize, domains: usize, fault: impl Fn(&mut Net)) -> String {
    let spans: Vec<Duration> = (0..10)
        .map(|seed| {
            let mut net = converged_net(count, domains, seed);
            fault(&mut net);
            net.run_until(LIMIT, Net::agrees).expect("agreement")
        })
        .collect();
    median_and_max(&spans)
}

#[test]
fn time_to_agree_after_a_change() {
    let in_domain = |net: &Net, domain: usize| -> Vec<usize> {
        (0..net.nodes.len()).filter(|i| i % 6 == domain).collect()
    };
    let rows = [
        ("one dies", converge(36, 6, |net| net.kill(7))),
        ("one leaves", converge(36, 6, |net| net.leave(7))),
        (
            "half a domain dies",
            converge(36, 6, |net| {
                for index in in_domain(net, 1).into_iter().step_by(2) {
                    net.kill(index);
                }
            }),
        ),
        (
            "a domain dies",
            converge(36, 6, |net| {
                for index in in_domain(net, 1) {
                    net.kill(index);
                }
            }),
        ),
        (
            "one restarts at once, its clock gone back",
            converge(36, 6, |net| {
                net.kill(7);
                net.restart(7, 0);
            }),
        ),
        (
            "all restart at once",
            converge(36, 6, |net| {
                for index in 0..36 {
                    net.kill(index);
                    net.restart(index, 2);
                }
                net.run(Duration::from_secs(1));
            }),
        ),
    ];
    let rows: Vec<String> = rows
        .iter()
        .map(|(fault, took)| format!("{fault}: {took}"))
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

/// Counts the running members that any node considered suspect or dead.
fn false_alarms(net: &mut Net, seconds: u64) -> (usize, usize) {
    let mut suspected = BTreeSet::new();
    let mut dead = BTreeSet::new();
    for _ in 0..seconds * 10 {
        net.run(Duration::from_millis(100));
        for node in &net.nodes {
            for record in node.members.records() {
                let claim = (record.vm.name.clone(), record.incarnation);
                match record.state {
                    MemberState::Suspect => suspected.insert(claim),
                    MemberState::Dead => dead.insert(claim),
                    MemberState::Alive | MemberState::Left => false,
                };
            }
        }
    }
    (suspected.len(), dead.len())
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
#[case(0.2)]
#[case(0.3)]
fn false_alarms_under_loss(#[case] loss: f64) {
    let mut net = converged_net(49, 1, 3);
    net.loss = loss;
    let (suspected, dead) = false_alarms(&mut net, 300);
    let name = format!("loss_{loss}");
    let text = format!("49 members, 300 s, loss {loss}: {suspected} suspected, {dead} held dead");
    insta::assert_snapshot!(name, text);
}

#[test]
fn a_dead_member_is_found_under_loss() {
    let spans: Vec<Duration> = (0..10)
        .map(|seed| {
            let mut net = converged_net(24, 2, seed);
            net.loss = 0.2;
            net.kill(5);
            let is_removed = |net: &Net| (0..24).filter(|i| *i != 5).all(|i| !net.lists(i, 5));
            net.run_until(LIMIT, is_removed).expect("found dead")
        })
        .collect();
    insta::assert_snapshot!(median_and_max(&spans));
}

#[test]
fn traffic_of_a_node_is_bounded_at_any_number_of_nodes() {
    let rows: Vec<String> = [(14, 14), (28, 14), (140, 14)]
        .iter()
        .map(|(count, domains)| {
            let mut net = converged_net(*count, *domains, 1);
            for node in &mut net.nodes {
                node.sent_bytes = 0;
            }
            net.run(Duration::from_secs(30));
            let sent: usize = net.nodes.iter().map(|n| n.sent_bytes).sum();
            let most = net.nodes.iter().map(|n| n.sent_bytes).max().unwrap_or(0);
            let (mean, most) = (sent / count / 30, most / 30);
            assert!(most < 8_192, "a node sends {most} bytes a second");
            format!("{count:3} nodes: mean {mean:4}, highest {most:4} bytes sent a second")
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn regions_cut_for_an_hour_find_each_other() {
    let mut net = converged_net(24, 8, 5);
    net.is_partitioned = |a, b| a.region != b.region;
    net.run(Duration::from_secs(3_600));
    let sizes: BTreeSet<usize> = net
        .nodes
        .iter()
        .map(|n| n.members.site(net.now).len())
        .collect();
    net.is_partitioned = |_, _| false;
    let healed = net.run_until(LIMIT, Net::agrees).expect("agreement");
    insta::assert_snapshot!(format!(
        "entry VMs listed during the cut: {sizes:?}; whole again after {:.1} s",
        healed.as_secs_f64()
    ));
}

#[test]
fn a_frozen_member_comes_back_once() {
    let mut net = converged_net(12, 2, 9);
    net.suspend(4);
    let removed_after = net.run_until(LIMIT, Net::agrees).expect("out");
    net.run(Duration::from_secs(20));
    net.resume(4);
    let listed_after = net.run_until(LIMIT, Net::agrees).expect("back");
    net.run(Duration::from_secs(5));
    let (suspected, dead) = false_alarms(&mut net, 60);
    let incarnation = net.nodes[4].members.me().incarnation;
    insta::assert_snapshot!(format!(
        "out after {:.1} s, back after {:.1} s as incarnation {incarnation}; \
         in the minute after: {suspected} suspected, {dead} held dead",
        removed_after.as_secs_f64(),
        listed_after.as_secs_f64()
    ));
}
