//! Who probes whom, who speaks for a domain, and the tree of reports.

use world::MachineName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rings on which a member probes its successor.
pub const RINGS: u64 = 3;
/// Members of a domain that exchange summaries with other domains.
pub const DELEGATES: usize = 2;
/// Members that report to one member of the tree.
const TREE_WIDTH: usize = 4;
/// Seed of the order of delegates and of the tree.
const ORDER_SEED: u64 = 100;

fn hash(name: &MachineName, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

/// The members that `me` probes: its successor on each ring.
#[must_use]
pub fn partners(me: &MachineName, live: &[MachineName]) -> Vec<MachineName> {
    let mut partners: Vec<MachineName> = Vec::new();
    for seed in 0..RINGS {
        let mine = (hash(me, seed), me);
        let others = live.iter().filter(|name| *name != me);
        let next = others.min_by_key(|name| {
            let place = (hash(name, seed), *name);
            (place < mine, place)
        });
        if let Some(next) = next
            && !partners.contains(next)
        {
            partners.push(next.clone());
        }
    }
    partners
}

/// The members in the order of delegates: the first speaks for the domain.
#[must_use]
pub fn order(live: &[MachineName]) -> Vec<MachineName> {
    let mut order = live.to_vec();
    order.sort_by_key(|name| hash(name, ORDER_SEED));
    order
}

/// The member that `me` reports to; `None` for the one that speaks.
#[must_use]
pub fn parent<'a>(me: &MachineName, order: &'a [MachineName]) -> Option<&'a MachineName> {
    let at = order.iter().position(|name| name == me)?;
    order.get(at.checked_sub(1)? / TREE_WIDTH)
}
