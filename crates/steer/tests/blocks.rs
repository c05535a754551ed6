//! The table of client blocks: comparison with a linear search, and errors in
//! block lists.

use std::net::{IpAddr, Ipv4Addr};

use ipnet::Ipv4Net;
use proptest::prelude::*;
use steer::{BlockList, Blocks, Places};
use world::{DomainName, FailureDomain, Place, Region, RegionName, Zones};

fn places(count: usize) -> Places {
    let domain = |d| FailureDomain {
        name: DomainName::new(&format!("d{d}")).expect("name"),
    };
    Places::new(&Zones {
        regions: vec![Region {
            name: RegionName::new("r").expect("name"),
            domains: (0..count).map(domain).collect(),
        }],
        links: Vec::new(),
    })
}

fn list(places: &Places, index: usize, blocks: &[&str]) -> BlockList {
    let id = places.ids().nth(index).expect("place");
    BlockList {
        home: places.place(id).clone(),
        blocks: blocks.iter().map(|b| b.parse().expect("block")).collect(),
    }
}

#[test]
fn longest_prefix_wins() {
    let places = places(3);
    let lists = [
        list(&places, 0, &["10.0.0.0/8", "2001:db8::/32"]),
        list(&places, 1, &["10.1.0.0/16", "2001:db8:1::/48"]),
        list(&places, 2, &["10.1.2.0/24", "255.255.255.0/24"]),
    ];
    let blocks = Blocks::new(&places, &lists).expect("blocks");
    let clients = [
        "9.255.255.255",
        "10.0.0.0",
        "10.1.0.0",
        "10.1.2.3",
        "10.1.3.0",
        "10.2.0.0",
        "10.255.255.255",
        "11.0.0.0",
        "255.255.255.255",
        "::ffff:10.1.2.3",
        "2001:db8::1",
        "2001:db8:1::1",
        "2001:db8:2::1",
        "2001:db9::1",
    ];
    let rows: Vec<String> = clients
        .iter()
        .map(|c| {
            let home = blocks.home(c.parse().expect("address"));
            let name = home.map_or("-", |id| places.place(id).domain.as_str());
            format!("{c:18} {name}")
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn mistakes_are_named() {
    let places = places(2);
    let elsewhere = Place::new(
        RegionName::new("r").expect("name"),
        DomainName::new("none").expect("name"),
    );
    let cases = [
        vec![
            list(&places, 0, &["10.0.0.0/8"]),
            list(&places, 1, &["10.0.0.0/8"]),
        ],
        vec![list(&places, 0, &["2001:db8::/65"])],
        vec![BlockList {
            home: elsewhere,
            blocks: Vec::new(),
        }],
    ];
    let rows: Vec<String> = cases
        .iter()
        .map(|lists| {
            Blocks::new(&places, lists)
                .expect_err("a mistake")
                .to_string()
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

proptest! {
    /// Prefixes are drawn from a small address range, so that many are nested or
    /// adjacent.
    #[test]
    fn same_as_a_linear_search(
        nets in prop::collection::btree_map((0u32..256, 20u8..=32), 0usize..3, 0..40),
        probes in prop::collection::vec(0u32..4_096, 64),
    ) {
        let places = places(3);
        let mut homes = std::collections::BTreeMap::new();
        for ((low, bits), home) in nets {
            let net = Ipv4Net::new(Ipv4Addr::from_bits(low << 4), bits).expect("prefix");
            homes.insert(net.trunc(), home);
        }
        let lists: Vec<BlockList> = homes
            .iter()
            .map(|(net, home)| list(&places, *home, &[&net.to_string()]))
            .collect();
        let blocks = Blocks::new(&places, &lists).expect("blocks");
        for probe in probes {
            let addr = Ipv4Addr::from_bits(probe);
            let expected = homes
                .iter()
                .filter(|(net, _)| net.contains(&addr))
                .max_by_key(|(net, _)| net.prefix_len())
                .map(|(_, home)| *home);
            let found = blocks.home(IpAddr::V4(addr)).map(steer::PlaceId::index);
            prop_assert_eq!(found, expected);
        }
    }
}
