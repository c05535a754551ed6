//! Versions of items, invalid patches, merging of rows by readers, and route lookup.

use std::sync::Arc;

use catalog::{Body, Catalog, Command, Item, ItemKey, Patch, Position, Removal, Row, Table};
use quorum::StateMachine;
use rstest::rstest;
use world::{
    DomainName, HostName, RequestKind, Route, RouteName, ServerName, ServiceName, ServiceTerms,
    WeightedService,
};

fn route() -> Route {
    Route {
        name: RouteName::new("r1").unwrap(),
        host: HostName::new("site.example").unwrap(),
        prefix: "/a/".into(),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        target_ms: 400,
        priority: 2,
        attempts: 2,
        sticky: true,
        homes: Vec::new(),
        parts: vec![part("slots", 1)],
    }
}

fn part(service: &str, weight: u32) -> WeightedService {
    let service = ServiceName::new(service).unwrap();
    WeightedService { service, weight }
}

fn item(version: u64, route: Route) -> Item {
    let source = format!("{route:?}").into();
    let body = Body::Route(Arc::new(route));
    Item {
        version,
        body,
        source,
    }
}

fn terms() -> Item {
    let terms = ServiceTerms {
        name: ServiceName::new("slots").unwrap(),
        health_path: "/health".into(),
        connections: 10,
        warmup_ms: 3_000,
        cold_per_s: 4.0,
    };
    Item {
        version: 1,
        body: Body::Service(Arc::new(terms)),
        source: "terms".into(),
    }
}

/// Rows of a catalog after a log index.
fn since(catalog: &Catalog, index: u64) -> Vec<Row> {
    catalog.rows_after(&Position::at_end_of(index)).collect()
}

struct Log {
    catalog: Catalog,
    index: u64,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            catalog: Catalog::default(),
            index: 0,
        };
        log.set(vec![terms(), item(3, route())]).unwrap();
        log
    }

    fn apply(&mut self, command: &Command) -> world::Result<()> {
        self.index += 1;
        self.catalog.apply(self.index, &command.encode().unwrap())
    }

    fn set(&mut self, upserts: Vec<Item>) -> world::Result<()> {
        let removals = Vec::new();
        self.apply(&Command::Patch(Patch { upserts, removals }))
    }

    fn remove_route(&mut self, version: u64) -> world::Result<()> {
        let key = ItemKey::Route(RouteName::new("r1").unwrap());
        self.apply(&Command::Patch(Patch {
            upserts: Vec::new(),
            removals: vec![Removal { key, version }],
        }))
    }

    fn version(&self) -> Option<u64> {
        let route = |i: &&Item| matches!(i.body, Body::Route(_));
        self.catalog.items().find(route).map(|i| i.version)
    }
}

#[test]
fn the_highest_version_is_in_effect_in_any_order() {
    let mut log = Log::new();
    let mut seen = vec![("set 3", log.version())];
    log.set(vec![item(2, route())]).unwrap();
    seen.push(("set 2", log.version()));
    log.remove_route(5).unwrap();
    seen.push(("remove 5", log.version()));
    log.set(vec![item(4, route())]).unwrap();
    seen.push(("set 4", log.version()));
    log.set(vec![item(9, route())]).unwrap();
    seen.push(("set 9", log.version()));
    log.remove_route(5).unwrap();
    seen.push(("remove 5 again", log.version()));
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn an_equal_version_with_other_content_changes_nothing() {
    let mut log = Log::new();
    let mut other = route();
    other.timeout_ms = 7;
    log.set(vec![item(3, other)]).unwrap();
    let sources: Vec<_> = log.catalog.items().map(|i| i.source.clone()).collect();
    assert!(sources.iter().all(|s| !s.contains("timeout_ms: 7")));
}

#[rstest]
#[case::no_timeout(|r: &mut Route| r.timeout_ms = 0)]
#[case::long_timeout(|r: &mut Route| r.timeout_ms = 600_001)]
#[case::no_attempts(|r: &mut Route| r.attempts = 0)]
#[case::bare_prefix(|r: &mut Route| r.prefix = "a/".into())]
#[case::no_service(|r: &mut Route| r.parts = vec![part("other", 1)])]
#[case::no_weight(|r: &mut Route| r.parts = vec![part("slots", 0)])]
fn an_invalid_change_leaves_nothing_behind(#[case] make_invalid: fn(&mut Route)) {
    let mut log = Log::new();
    let before = log.catalog.clone();
    let mut bad = route();
    make_invalid(&mut bad);
    let mut good = route();
    good.name = RouteName::new("r2").unwrap();
    let error = log.set(vec![item(8, good), item(8, bad)]).unwrap_err();
    assert_eq!(error.kind, world::ErrorKind::BadLists);
    assert_eq!(log.catalog, before);
}

#[test]
fn a_reader_that_is_behind_merges_rows_of_any_replica() {
    let mut log = Log::new();
    let mut reader = Catalog::default();
    for row in since(&log.catalog, 0) {
        reader.merge(row);
    }
    let old = since(&log.catalog, 0);
    log.set(vec![item(4, route())]).unwrap();
    let domain = DomainName::new("north-a").unwrap();
    for on in [true, false, true] {
        let domain = domain.clone();
        log.apply(&Command::Evacuate { domain, on }).unwrap();
    }
    let server = ServerName::new("s1").unwrap();
    let born_ms = 5;
    let leave = Command::Leave {
        server: server.clone(),
        born_ms,
    };
    log.apply(&leave).unwrap();
    for row in since(&log.catalog, reader.index()) {
        reader.merge(row);
    }
    for row in old {
        reader.merge(row);
    }
    assert!(reader.is_evacuated(&domain) && reader.is_leaving(&server, 5));
    assert!(
        !reader.is_leaving(&server, 6),
        "a later start does not leave"
    );
    let versions: Vec<u64> = reader.items().map(|i| i.version).collect();
    assert_eq!(versions, [4, 1]);
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let log = Log::new();
    let mut copy = Catalog::default();
    copy.restore(&log.catalog.snapshot()).unwrap();
    assert_eq!(copy, log.catalog);
}

#[test]
fn the_longest_prefix_takes_a_request() {
    let mut log = Log::new();
    let mut longer = route();
    longer.name = RouteName::new("r2").unwrap();
    longer.prefix = "/a/b/".into();
    log.set(vec![item(4, longer)]).unwrap();
    let table = Table::new(&log.catalog, []);
    let named = |host: &str, path: &str| table.route(host, path).map(|r| r.name.to_string());
    let rows = [
        named("site.example", "/a/x"),
        named("site.example", "/a/b/x"),
        named("site.example", "/a/bx"),
        named("site.example", "/b/"),
        named("other.example", "/a/x"),
    ];
    insta::assert_debug_snapshot!(rows);
}

/// Maximum size of a change of many routes: what a link of 6 Mbit/s transfers in one
/// second, half of the shortest time in which a change has to be in effect.
const CHANGE_BYTES_MAX: usize = 750_000;

#[test]
fn entry_vms_get_many_routes_without_their_source() {
    let mut log = Log::new();
    let items = (0..1_400).map(|at| {
        let mut route = route();
        route.name = RouteName::new(&format!("r-{at:05}")).unwrap();
        route.prefix = format!("/path-{at}/more-{at}/").into();
        item(9, route)
    });
    let before = log.catalog.index();
    log.set(items.collect()).unwrap();
    let rows = since(&log.catalog, before);
    let size = postcard::to_stdvec(&rows).unwrap().len();
    // Two control VMs send the change at the same time.
    assert!(2 * size < CHANGE_BYTES_MAX, "{size} bytes");
    let mut entry = Catalog::default();
    for row in rows {
        entry.merge(row);
    }
    let domains = || std::iter::empty::<DomainName>();
    let (theirs, ours) = (
        Table::new(&entry, domains()),
        Table::new(&log.catalog, domains()),
    );
    let host = HostName::new("site.example").unwrap();
    let path = "/path-7/more-7/x";
    assert_eq!(
        theirs.route(host.as_str(), path).map(|r| &r.name),
        ours.route(host.as_str(), path).map(|r| &r.name)
    );
    assert!(since(&log.catalog, log.catalog.index()).is_empty());
}

/// Guards against a log that grows by the whole list with each change of one item.
#[test]
fn a_change_is_logged_without_the_items_that_it_leaves_as_they_are() {
    let mut log = Log::new();
    log.set(vec![item(4, route())]).unwrap();
    let removal = |version| Removal {
        key: ItemKey::Route(RouteName::new("r1").unwrap()),
        version,
    };
    let new = item(5, route());
    let known =
        |upserts: Vec<Item>, removals| log.catalog.without_known(Patch { upserts, removals });
    let rest = known(
        vec![terms(), item(4, route()), new.clone()],
        vec![removal(3)],
    );
    assert_eq!(rest.upserts, [new]);
    assert_eq!(rest.removals, []);
    let rest = known(vec![item(3, route())], vec![removal(5)]);
    assert_eq!(rest.upserts, []);
    assert_eq!(rest.removals, [removal(5)]);
}

/// Guards against an order that lay unread at a control VM and is committed behind a newer
/// one of the same failure domain.
#[test]
fn an_order_behind_a_newer_one_changes_nothing() {
    let mut log = Log::new();
    let domain = DomainName::new("north-a").unwrap();
    let order = |on, known| Command::EvacuateSince {
        domain: domain.clone(),
        on,
        known,
    };
    let known = log.catalog.evacuation_index(&domain);
    log.apply(&order(true, known)).unwrap();
    let known = log.catalog.evacuation_index(&domain);
    // The order to end it came to two control VMs; a newer one to start it came in between.
    let late = order(false, known);
    log.apply(&late).unwrap();
    let known = log.catalog.evacuation_index(&domain);
    log.apply(&order(true, known)).unwrap();
    let error = log.apply(&late).unwrap_err();
    assert_eq!(error.kind, world::ErrorKind::Outdated);
    assert!(log.catalog.is_evacuated(&domain));
    // An order that is sent again is acknowledged again while it is in effect.
    log.apply(&order(true, known)).unwrap();
    // Orders in the log of an earlier version have no condition.
    let on = false;
    log.apply(&Command::Evacuate {
        domain: domain.clone(),
        on,
    })
    .unwrap();
    assert!(!log.catalog.is_evacuated(&domain));
}
