//! The rings that determine which members ping each other, the choice of a domain's
//! delegates, and the tree along which load reports are summed. Each is derived from
//! hashes of the names, so that members with equal tables agree without messages.

use world::MachineName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of rings; a member pings its successor on each.
pub const RINGS: u64 = 3;
/// Number of members of a domain that exchange summaries with other domains.
pub const DELEGATES: usize = 2;
/// Most members that report to one member of the tree.
const TREE_CHILDREN_MAX: usize = 4;
/// Hash seed of the order from which delegates and tree follow; differs from those
/// of the rings.
const ORDER_SEED: u64 = 100;

fn hash(name: &MachineName, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

/// Returns the members that `me` pings: its successor on each ring.
#[must_use]
pub fn partners(me: &MachineName, live: &[MachineName]) -> Vec<MachineName> {
    let mut partners: Vec<MachineName> = Vec::new();
    for seed in 0..RINGS {
        let mine = (hash(me, seed), me);
        let others = live.iter().filter(|name| *name != me);
        let next = others.min_by_key(|name| {
            let ring_key = (hash(name, seed), *name);
            (ring_key < mine, ring_key)
        });
        if let Some(next) = next
            && !partners.contains(next)
        {
            partners.push(next.clone());
        }
    }
    partners
}

/// Sorts the members by hash. The first [`DELEGATES`] are the delegates; the very
/// first is the root of the report tree and publishes the domain's summary.
#[must_use]
pub fn order(live: &[MachineName]) -> Vec<MachineName> {
    let mut order = live.to_vec();
    order.sort_by_key(|name| hash(name, ORDER_SEED));
    order
}

/// Returns the member that `me` reports its load to; `None` for the root.
#[must_use]
pub fn parent<'a>(me: &MachineName, order: &'a [MachineName]) -> Option<&'a MachineName> {
    let index = order.iter().position(|name| name == me)?;
    order.get(index.checked_sub(1)? / TREE_CHILDREN_MAX)
}
