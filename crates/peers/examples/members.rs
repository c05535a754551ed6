//! Measures the traffic and CPU time of membership by number of nodes: `cargo run --release -p
//! peers --example members -- [SECONDS] [NODES] [DOMAINS]`.

#[allow(dead_code, reason = "only the tests use the rest of the module")]
#[path = "../tests/common/net.rs"]
mod net;

use std::time::Duration;

use net::Net;
use tokio::time::Instant;

const SEED: u64 = 11;
const SETTLE: Duration = Duration::from_secs(60);
const SIZES: [(usize, usize); 4] = [(14, 6), (14, 14), (140, 14), (680, 14)];

fn main() {
    let args: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let seconds = args.first().and_then(|s| u64::try_from(*s).ok());
    let span = Duration::from_secs(seconds.unwrap_or(60));
    println!(
        "nodes domains  sent/s recv/s msgs/s  most sent/s most recv/s  us of CPU/s  site known"
    );
    if let [_, count, domains] = args[..] {
        measure(count, domains, span);
        return;
    }
    for (count, domains) in SIZES {
        measure(count, domains, span);
        measure_convergence(count, domains);
    }
}

fn measure(count: usize, domains: usize, span: Duration) {
    let mut net = Net::new(count, domains, SEED);
    net.run(SETTLE);
    for node in &mut net.nodes {
        (node.sent, node.sent_bytes, node.received_bytes) = (0, 0, 0);
    }
    let start = Instant::now();
    net.run(span);
    let elapsed = start.elapsed();
    let seconds = usize::try_from(span.as_secs()).expect("small");
    let total = |of: fn(&net::Node) -> usize| net.nodes.iter().map(of).sum::<usize>();
    let most = |of: fn(&net::Node) -> usize| net.nodes.iter().map(of).max().unwrap_or(0);
    let node_seconds = count * seconds;
    let known = net
        .nodes
        .iter()
        .map(|n| n.members.site(net.now).len())
        .min();
    println!(
        "{count:5} {domains:7} {:7} {:6} {:6.1} {:12} {:11} {:12} {:11}",
        total(|n| n.sent_bytes) / node_seconds,
        total(|n| n.received_bytes) / node_seconds,
        f64::from(u32::try_from(total(|n| n.sent)).expect("small"))
            / f64::from(u32::try_from(node_seconds).expect("small")),
        most(|n| n.sent_bytes) / seconds,
        most(|n| n.received_bytes) / seconds,
        elapsed.as_micros() / u128::try_from(node_seconds).expect("small"),
        known.unwrap_or(0),
    );
}

fn measure_convergence(count: usize, domains: usize) {
    let last = count - 1;
    for (description, fault) in [
        ("a departure", Net::leave as fn(&mut Net, usize)),
        ("a death", Net::kill),
    ] {
        let mut net = Net::new(count, domains, SEED);
        net.run(SETTLE);
        fault(&mut net, last);
        let elapsed = net.run_until(SETTLE, Net::agrees);
        println!("        {description} is known to all after {elapsed:?}");
    }
}
