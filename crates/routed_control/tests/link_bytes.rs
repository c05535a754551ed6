//! Bytes that an entry VM's link carries for the feed.

use std::sync::Arc;

use catalog::{Body, Catalog, Command, Item, Patch, Position};
use discovery::{Registry, RegistrySettings, Row, ServerRow};
use quorum::StateMachine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routed_control::feed::PIECE_BYTES_MAX;
use routed_control::pack::pack;
use tokio::time::Instant;
use world::{
    DomainName, HostName, Place, RegionName, RequestKind, Route, RouteName, ServerName,
    ServiceName, WeightedService,
};

/// What a link of 3.3 Mbit/s carries in a second, bytes.
const LINK_BYTES_PER_S: usize = 412_500;

/// Text without a pattern, as names of the users' sites are.
fn text(rng: &mut StdRng, len: usize) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let letter = |_| char::from(letters[rng.random_range(0..letters.len())]);
    (0..len).map(letter).collect()
}

fn route(rng: &mut StdRng, hosts: &[String], services: &[ServiceName]) -> Item {
    let pick = |rng: &mut StdRng, len| rng.random_range(0..len);
    let part = |service: &ServiceName, weight| WeightedService {
        service: service.clone(),
        weight,
    };
    let route = Route {
        name: RouteName::new(&format!("r-{}", text(rng, 7))).unwrap(),
        host: HostName::new(&hosts[pick(rng, hosts.len())]).unwrap(),
        prefix: format!("/{}/{}/", text(rng, 7), text(rng, 6)).into(),
        kind: RequestKind::Safe,
        timeout_ms: 5_000,
        target_ms: 1_200,
        priority: 2,
        attempts: 2,
        sticky: true,
        homes: vec![RegionName::new("zapad").unwrap()],
        parts: vec![part(&services[0], 90), part(&services[1], 10)],
    };
    Item {
        version: 9,
        body: Body::Route(Arc::new(route)),
        source: "".into(),
    }
}

/// Sizes of the packed pieces of a change of `count` routes.
fn pieces(count: usize) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(39);
    let hosts: Vec<String> = (0..3)
        .map(|_| format!("{}.example", text(&mut rng, 6)))
        .collect();
    let services = [(); 2].map(|()| ServiceName::new(&text(&mut rng, 7)).unwrap());
    let terms = services.iter().map(|name| Item {
        version: 1,
        body: Body::Service(Arc::new(world::ServiceTerms {
            name: name.clone(),
            health_path: "/health".into(),
            connections: 5_100,
            warmup_ms: 3_000,
            cold_per_s: 3.5,
        })),
        source: "".into(),
    });
    let mut upserts: Vec<Item> = terms.collect();
    upserts.extend((0..count).map(|_| route(&mut rng, &hosts, &services)));
    let removals = Vec::new();
    let change = Command::Patch(Patch { upserts, removals });
    let mut catalog = Catalog::default();
    catalog.apply(1, &change.encode().unwrap()).unwrap();
    let (mut position, mut sizes, mut more) = (Position::default(), Vec::new(), true);
    while more {
        let piece = catalog.piece(&position, PIECE_BYTES_MAX);
        sizes.push(pack(&postcard::to_stdvec(&piece).unwrap()).unwrap().len());
        (position, more) = (piece.next, piece.more);
    }
    sizes
}

/// Sizes of the packed pieces of a registry with `count` servers.
fn registry_pieces(count: u16) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(39);
    let now = Instant::now();
    let mut registry = Registry::new(RegistrySettings::default());
    for number in 0..count {
        let [_, port] = number.to_be_bytes();
        let row = ServerRow {
            name: ServerName::new(&format!("i-{}", text(&mut rng, 10))).unwrap(),
            service: ServiceName::new(
                ["terminy", "objednavky", "podklady"][usize::from(number) % 3],
            )
            .unwrap(),
            addr: ([10, 1, u8::try_from(number >> 8).unwrap(), port], 8185).into(),
            place: Place::new(
                RegionName::new("zapad").unwrap(),
                DomainName::new("zapad-a").unwrap(),
            ),
            slots: 9,
            draining: false,
            cold_ms: 0,
            born_ms: 1_790_000_000_000 + rng.random_range(0..100_000),
            sequence: 12,
        };
        registry.merge(Row::Server(row), 0, now);
    }
    let (mut cursor, mut sizes, mut more) = (0, Vec::new(), true);
    while more {
        let changes = registry.changed_since(cursor, PIECE_BYTES_MAX, now);
        sizes.push(
            pack(&postcard::to_stdvec(&changes.updates).unwrap())
                .unwrap()
                .len(),
        );
        (cursor, more) = (changes.cursor, changes.more);
    }
    sizes
}

/// A change of 1,400 routes has to be in effect after 3 s, at an entry VM whose link has a
/// tenth left beside the clients' work.
#[test]
fn a_change_of_many_routes_fits_into_a_tenth_of_a_link() {
    let sizes = [1_400, 2_800, 8_400].map(pieces);
    let servers = registry_pieces(1_083);
    let total = |sizes: &Vec<usize>| sizes.iter().sum::<usize>();
    assert!(total(&sizes[0]) < 3 * LINK_BYTES_PER_S / 10, "{sizes:?}");
    let all = sizes.iter().chain([&servers]);
    insta::assert_debug_snapshot!(all.map(|s| (s.len(), total(s))).collect::<Vec<_>>());
}
