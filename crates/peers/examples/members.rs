//! Cost of membership against the number of nodes: `cargo run --release -p
//! peers --example members -- [SECONDS]`.

#[allow(dead_code, reason = "the tests use the rest of it")]
#[path = "../tests/common/net.rs"]
mod net;

use std::time::Duration;

use net::Net;
use tokio::time::Instant;

const SEED: u64 = 11;
const SETTLE: Duration = Duration::from_secs(60);
const SIZES: [(usize, usize); 5] = [(14, 6), (14, 14), (140, 14), (680, 14), (680, 170)];

fn main() {
    let seconds = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let span = Duration::from_secs(seconds.unwrap_or(60));
    println!(
        "nodes domains  sent/s recv/s msgs/s  most sent/s most recv/s  us of CPU/s  site known"
    );
    for (count, domains) in SIZES {
        measure(count, domains, span);
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
    let took = start.elapsed();
    let seconds = usize::try_from(span.as_secs()).expect("small");
    let total = |of: fn(&net::Node) -> usize| net.nodes.iter().map(of).sum::<usize>();
    let most = |of: fn(&net::Node) -> usize| net.nodes.iter().map(of).max().unwrap_or(0);
    let per = count * seconds;
    let known = net
        .nodes
        .iter()
        .map(|n| n.members.site(net.now).len())
        .min();
    println!(
        "{count:5} {domains:7} {:7} {:6} {:6.1} {:12} {:11} {:12} {:11}",
        total(|n| n.sent_bytes) / per,
        total(|n| n.received_bytes) / per,
        f64::from(u32::try_from(total(|n| n.sent)).expect("small"))
            / f64::from(u32::try_from(per).expect("small")),
        most(|n| n.sent_bytes) / seconds,
        most(|n| n.received_bytes) / seconds,
        took.as_micros() / u128::try_from(per).expect("small"),
        known.unwrap_or(0),
    );
}
