//! Measures size and speed of the table of client blocks: `cargo run --release
//! -p steer --example blocks -- [BLOCKS] [PLACES]`.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use ipnet::{IpNet, Ipv4Net};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steer::{BlockList, Blocks, LookupTables, Places};
use tokio::time::Instant;
use world::{DomainName, EntryVm, FailureDomain, MachineName, Region, RegionName, Zones};

const SEED: u64 = 7;
const REGIONS: usize = 4;
const LOOKUPS: u32 = 2_000_000;
const VMS: usize = 680;

fn zones(places: usize) -> Zones {
    let region = |r: usize| Region {
        name: RegionName::new(&format!("region-{r}")).expect("name"),
        domains: (0..places)
            .filter(|p| p % REGIONS == r)
            .map(|p| FailureDomain {
                name: DomainName::new(&format!("domain-{p}")).expect("name"),
            })
            .collect(),
    };
    Zones {
        regions: (0..REGIONS).map(region).collect(),
        links: Vec::new(),
    }
}

fn vm(index: usize, places: &Places) -> Arc<EntryVm> {
    let addr = ([127, 0, 0, 1], 1).into();
    let place = places.ids().nth(index % places.len()).expect("place");
    Arc::new(EntryVm {
        name: MachineName::new(&format!("entry-{index}")).expect("name"),
        place: places.place(place).clone(),
        front_addr: addr,
        desk_addr: addr,
        link_addr: addr,
    })
}

fn lists(places: &Places, count: usize, rng: &mut StdRng) -> Vec<BlockList> {
    let mut lists: Vec<BlockList> = places
        .ids()
        .map(|p| BlockList {
            home: places.place(p).clone(),
            blocks: Vec::new(),
        })
        .collect();
    let mut seen = std::collections::HashSet::new();
    while seen.len() < count {
        let bits = rng.random_range(20..=26);
        let net = Ipv4Net::new(Ipv4Addr::from_bits(rng.random()), bits).expect("prefix");
        if seen.insert(net.trunc()) {
            let home = rng.random_range(0..lists.len());
            lists[home].blocks.push(IpNet::V4(net.trunc()));
        }
    }
    lists
}

fn main() {
    let mut args = std::env::args().skip(1).map_while(|a| a.parse().ok());
    let count = args.next().unwrap_or(300_000);
    let places = Places::new(&zones(args.next().unwrap_or(14)));
    let mut rng = StdRng::seed_from_u64(SEED);
    let lists = lists(&places, count, &mut rng);
    let start = Instant::now();
    let blocks = Arc::new(Blocks::new(&places, &lists).expect("blocks"));
    let build = start.elapsed();
    let (size_bytes, count) = (blocks.size_bytes(), blocks.len());
    println!(
        "{count} blocks: {size_bytes} bytes, {} bytes for 100 blocks, built in {build:?}",
        size_bytes * 100 / count.max(1)
    );

    let clients: Vec<IpAddr> = (0..LOOKUPS)
        .map(|_| Ipv4Addr::from_bits(rng.random()).into())
        .collect();
    let start = Instant::now();
    let known = clients
        .iter()
        .filter(|c| blocks.home(**c).is_some())
        .count();
    let took = start.elapsed();
    println!(
        "lookup of the home only: {:?} each, {known} of {LOOKUPS} known",
        took / LOOKUPS
    );

    let vms: Vec<Arc<EntryVm>> = (0..VMS).map(|index| vm(index, &places)).collect();
    let tables = LookupTables::new(places, blocks, 5_000).with_entries(vms);
    let start = Instant::now();
    let returned: usize = clients
        .iter()
        .filter_map(|c| tables.lookup(*c, "any"))
        .map(|answer| answer.entries.len())
        .sum();
    let took = start.elapsed();
    println!(
        "whole answer over {VMS} entry VMs: {:?} each, {returned} entry VMs returned",
        took / LOOKUPS
    );
}
