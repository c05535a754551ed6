//! Merging of announcements that arrive late, twice or from an earlier
//! incarnation, detection of losses, and the entry VMs returned to clients.

use std::time::Duration;

use balancer::{Fingerprint, Mark};
use discovery::{
    EntryRow, Finding, Origin, Registry, RegistrySettings, Row, ServerLimit, ServerRow,
    SubstituteScope,
};
use tokio::time::Instant;
use world::{DomainName, MachineName, Place, RegionName, ServerName, ServiceName};

fn place(region: &str, domain: &str) -> Place {
    Place::new(
        RegionName::new(region).unwrap(),
        DomainName::new(domain).unwrap(),
    )
}

fn server(name: &str, port: u16, born_ms: u64, sequence: u64) -> ServerRow {
    ServerRow {
        name: ServerName::new(name).unwrap(),
        service: ServiceName::new("slots").unwrap(),
        addr: ([10, 0, 0, 1], port).into(),
        place: place("north", "north-a"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

fn entry(name: &str, place: Place, sequence: u64, leaving: bool) -> Row {
    Row::Entry(EntryRow {
        name: MachineName::new(name).unwrap(),
        front: ([10, 0, 0, 2], 80).into(),
        place,
        leaving,
        busy_percent: 0,
        born_ms: 1,
        sequence,
    })
}

fn registry() -> (Registry, Instant) {
    (Registry::new(RegistrySettings::default()), Instant::now())
}

#[test]
fn only_newer_announcements_count() {
    let (mut registry, now) = registry();
    let mut merged = Vec::new();
    for (born_ms, sequence) in [(10, 4), (10, 4), (10, 3), (10, 5), (9, 90), (11, 1)] {
        let row = Row::Server(server("s1", 80, born_ms, sequence));
        merged.push((born_ms, sequence, registry.merge(row, 0, now)));
    }
    insta::assert_debug_snapshot!(merged);
}

#[test]
fn the_server_that_started_last_keeps_the_address() {
    let (mut registry, now) = registry();
    let names = |r: &Registry| {
        let mut names: Vec<String> = r.servers().iter().map(|s| s.name.to_string()).collect();
        names.sort();
        names
    };
    registry.merge(Row::Server(server("old", 80, 10, 1)), 0, now);
    registry.merge(Row::Server(server("new", 80, 20, 1)), 0, now);
    assert_eq!(names(&registry), ["new"]);
    // A late announcement of the earlier server changes nothing.
    assert!(!registry.merge(Row::Server(server("old", 80, 10, 9)), 0, now));
    assert_eq!(names(&registry), ["new"]);
}

#[test]
fn entry_vms_learn_of_changes_only() {
    let (mut registry, now) = registry();
    registry.merge(Row::Server(server("s1", 80, 1, 1)), 0, now);
    let cursor = registry.clock();
    registry.merge(Row::Server(server("s1", 80, 1, 2)), 0, now);
    assert!(
        registry
            .changed_since(cursor, usize::MAX, now)
            .updates
            .is_empty()
    );
    assert_eq!(
        registry
            .announced_since(cursor, &[], usize::MAX, now)
            .updates
            .len(),
        1
    );
    let mut draining = server("s1", 80, 1, 3);
    draining.draining = true;
    registry.merge(Row::Server(draining), 0, now);
    assert_eq!(
        registry
            .changed_since(cursor, usize::MAX, now)
            .updates
            .len(),
        1
    );
}

#[test]
fn a_server_without_announcements_is_reported_lost_and_may_return() {
    let (mut registry, now) = registry();
    registry.merge(Row::Server(server("s1", 80, 1, 1)), 0, now);
    let cursor = registry.clock();
    let later = now + Duration::from_secs(6);
    assert!(registry.sweep(later));
    let lost: Vec<bool> = registry
        .changed_since(cursor, usize::MAX, later)
        .updates
        .iter()
        .map(|n| n.lost)
        .collect();
    registry.merge(Row::Server(server("s1", 80, 1, 2)), 0, later);
    let back: Vec<bool> = registry
        .changed_since(cursor, usize::MAX, later)
        .updates
        .iter()
        .map(|n| n.lost)
        .collect();
    assert_eq!((lost, back), (vec![true], vec![false]));
}

#[test]
fn clients_get_the_nearest_live_entry_vms() {
    let (mut registry, now) = registry();
    registry.merge(entry("e1", place("north", "north-a"), 1, false), 0, now);
    registry.merge(entry("e2", place("north", "north-b"), 1, false), 0, now);
    registry.merge(entry("e3", place("south", "south-a"), 1, false), 0, now);
    let near = |r: &Registry, at: Instant| {
        let rows = r.entries_near(&place("north", "north-a"), SubstituteScope::Anywhere, 0, at);
        let mut names: Vec<String> = rows.iter().map(|row| row.name.to_string()).collect();
        names.sort();
        names.join(" ")
    };
    let mut seen = vec![near(&registry, now)];
    registry.merge(entry("e1", place("north", "north-a"), 2, true), 0, now);
    seen.push(near(&registry, now));
    let later = now + Duration::from_secs(3);
    registry.merge(entry("e3", place("south", "south-a"), 2, false), 0, later);
    seen.push(near(&registry, later));
    assert_eq!(seen, ["e1", "e2", "e3"]);
}

/// Creates a registry with three domains of four entry VMs each, where half of
/// `north-a` is lost and every entry VM uses `busy_percent` of its link.
fn half_lost(busy_percent: u32) -> (Registry, Instant) {
    let (mut registry, now) = registry();
    let later = now + Duration::from_secs(3);
    let domains = [
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
    ];
    for (region, domain) in domains {
        for at in 1..=4 {
            let row = |sequence| {
                let name = format!("{domain}-{at}");
                let row = entry(&name, place(region, domain), sequence, false);
                let Row::Entry(row) = row else { unreachable!() };
                Row::Entry(EntryRow {
                    busy_percent,
                    ..row
                })
            };
            registry.merge(row(1), 0, now);
            if domain != "north-a" || at <= 2 {
                registry.merge(row(2), 0, later);
            }
        }
    }
    (registry, later)
}

#[test]
fn busy_entry_vms_get_substitutes_for_lost_ones() {
    let names_near_from =
        |registry: &Registry, from: SubstituteScope, draw: u64, at: Instant| -> Vec<String> {
            let rows = registry.entries_near(&place("north", "north-a"), from, draw, at);
            rows.iter().map(|row| row.name.to_string()).collect()
        };
    let names_near = |registry: &Registry, draw, at| {
        names_near_from(registry, SubstituteScope::Anywhere, draw, at)
    };
    let (idle, later) = half_lost(20);
    assert_eq!(
        names_near(&idle, 1, later).len(),
        2,
        "the others have headroom"
    );
    let (busy, later) = half_lost(50);
    let mut substitutes = std::collections::BTreeSet::new();
    for draw in 0..50 {
        let names = names_near(&busy, draw, later);
        assert_eq!(
            names.len(),
            4,
            "two remaining and two substitutes: {names:?}"
        );
        substitutes.extend(names.into_iter().filter(|n| !n.starts_with("north-a")));
    }
    assert_eq!(
        substitutes.len(),
        8,
        "every entry VM substitutes in some draw: {substitutes:?}"
    );
    for draw in 0..50 {
        let names = names_near_from(&busy, SubstituteScope::Region, draw, later);
        assert!(names.iter().all(|n| n.starts_with("north")), "{names:?}");
    }
}

fn crash(request: u64, convicted: bool, left_ms: u64) -> Row {
    Row::Finding(Finding::Crash(Mark {
        fingerprint: Fingerprint(request),
        convicted,
        crash_id: 1,
        sole: false,
        left_ms,
    }))
}

#[test]
fn a_finding_is_replaced_by_a_graver_one_and_ends_with_its_time() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    let at = |ms| now + Duration::from_millis(ms);
    let merged = [
        registry.merge(crash(1, false, 1_000), 0, now),
        registry.merge(crash(1, false, 1_000), 0, now),
        registry.merge(crash(1, true, 3_000), 500, now),
        registry.merge(crash(1, false, 9_000), 0, now),
    ];
    assert_eq!(merged, [true, false, true, false]);
    let left = |registry: &Registry, ms| registry.findings(at(ms)).len();
    registry.sweep(at(2_400));
    assert_eq!(left(&registry, 2_400), 1);
    registry.sweep(at(2_600));
    assert_eq!(left(&registry, 2_600), 0);
}

/// The memory of a control VM is bounded, whatever the entry VMs report.
#[test]
fn the_oldest_findings_go_first_when_there_are_too_many() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    for request in 0..5_000 {
        registry.merge(crash(request, false, 60_000), 0, now);
    }
    registry.sweep(now);
    let findings = registry.findings(now);
    let oldest = findings.iter().filter_map(|finding| match finding {
        Finding::Crash(mark) => Some(mark.fingerprint.0),
        Finding::Limit(_) | Finding::Leaving(_) => None,
    });
    assert_eq!((findings.len(), oldest.min()), (4_096, Some(904)));
}

/// Entry VMs see responses at different times; what the newest one said counts.
#[test]
fn the_limit_that_was_seen_last_counts() {
    let (mut registry, now) = (Registry::default(), Instant::now());
    let at = |ms| now + Duration::from_millis(ms);
    let limit = |per_1000_s| {
        Row::Finding(Finding::Limit(ServerLimit {
            server: ServerName::new("s1").unwrap(),
            born_ms: 1,
            per_1000_s,
        }))
    };
    let cases = [
        ("named", limit(Some(9_000)), 0, 0),
        ("named again soon", limit(Some(9_000)), 0, 1_000),
        ("named again later", limit(Some(9_000)), 0, 5_000),
        ("another, seen before", limit(Some(7_000)), 500, 5_400),
        ("another", limit(Some(7_000)), 500, 6_000),
        ("none", limit(None), 0, 7_000),
        ("none again", limit(None), 0, 13_000),
        ("named, seen before", limit(Some(7_000)), 8_000, 14_000),
    ];
    let rows = cases
        .map(|(case, row, age_ms, ms)| format!("{case}: {}", registry.merge(row, age_ms, at(ms))));
    insta::assert_snapshot!(rows.join("\n"));
}

/// Names of the servers that another control VM gets after `cursor`.
fn passed_on(registry: &Registry, cursor: u64, relayed: &[MachineName], now: Instant) -> String {
    let rows = registry
        .announced_since(cursor, relayed, usize::MAX, now)
        .updates;
    let names = rows.iter().map(|update| format!("{:?}", update.row.key()));
    names.collect::<Vec<_>>().join(" ")
}

#[test]
fn a_row_is_passed_on_only_where_it_was_announced() {
    let (mut registry, now) = registry();
    let [c1, c2] = ["c1", "c2"].map(|name| MachineName::new(name).unwrap());
    let row = |name, port, sequence| Row::Server(server(name, port, 1, sequence));
    registry.merge_from(Origin::Cache, row("cached", 79, 0), 0, now);
    registry.merge(row("here", 80, 1), 0, now);
    registry.merge_from(Origin::ControlVm(c1.clone()), row("there", 81, 1), 0, now);
    registry.merge_from(
        Origin::ControlVm(c2.clone()),
        row("elsewhere", 82, 1),
        0,
        now,
    );
    let mut seen = vec![
        passed_on(&registry, 0, &[], now),
        passed_on(&registry, 0, std::slice::from_ref(&c1), now),
        passed_on(&registry, 0, &[c1, c2.clone()], now),
    ];
    // The server turns to another control VM: its row goes on from there alone.
    registry.merge_from(Origin::ControlVm(c2), row("here", 80, 2), 0, now);
    seen.push(passed_on(&registry, 0, &[], now));
    registry.merge(row("here", 80, 3), 0, now);
    seen.push(passed_on(&registry, 0, &[], now));
    insta::assert_debug_snapshot!(seen);
}

/// A control VM that wakes up after a freeze finds its announcements old, but the servers
/// have not stopped.
#[test]
fn nothing_counts_as_lost_right_after_a_suspension() {
    let (mut registry, now) = registry();
    registry.merge(Row::Server(server("s1", 80, 1, 1)), 0, now);
    registry.merge(Row::Server(server("s2", 81, 1, 1)), 0, now);
    let at = |ms| now + Duration::from_millis(ms);
    let mut marked = vec![registry.sweep(now), registry.sweep(at(500))];
    marked.push(registry.sweep(at(9_500)));
    registry.merge(Row::Server(server("s1", 80, 1, 2)), 0, at(10_000));
    for sweep_ms in (10_000..=12_000).step_by(500) {
        marked.push(registry.sweep(at(sweep_ms)));
    }
    let left: Vec<_> = registry.servers().into_iter().map(|row| row.name).collect();
    insta::assert_debug_snapshot!((marked, left));
}

#[test]
fn the_end_of_the_cold_time_is_told_once() {
    let (mut registry, now) = registry();
    let at = |ms| now + Duration::from_millis(ms);
    let cold = |sequence, cold_ms| {
        let mut row = server("s1", 80, 1, sequence);
        row.cold_ms = cold_ms;
        Row::Server(row)
    };
    let told = [
        ("first", 0, cold(1, 3_000)),
        ("warming up", 1_500, cold(2, 1_490)),
        ("warm", 3_000, cold(3, 0)),
        ("cold again", 4_500, cold(4, 3_000)),
        ("warm at once", 6_000, cold(5, 0)),
    ]
    .map(|(case, ms, row)| {
        let cursor = registry.clock();
        registry.merge(row, 0, at(ms));
        format!(
            "{case}: {}",
            registry
                .changed_since(cursor, usize::MAX, at(ms))
                .updates
                .len()
        )
    });
    insta::assert_debug_snapshot!(told);
}

/// After a restart of a control VM its directory answers at once, and an entry VM that has
/// restarted too takes the place of its earlier start, whichever start time is greater.
#[test]
fn a_restarted_control_vm_names_the_entry_vms_it_knew() {
    let (mut registry, now) = registry();
    let names = |registry: &Registry, at| {
        let place = place("north", "north-a");
        let rows = registry.entries_near(&place, SubstituteScope::Anywhere, 0, at);
        let names = rows
            .iter()
            .map(|row| format!("{} {}", row.name, row.born_ms));
        let mut names: Vec<String> = names.collect();
        names.sort();
        names
    };
    let row = |name, born_ms| {
        let Row::Entry(row) = entry(name, place("north", "north-a"), 0, false) else {
            unreachable!()
        };
        Row::Entry(EntryRow { born_ms, ..row })
    };
    for name in ["e1", "e2"] {
        registry.merge_from(Origin::Cache, row(name, 7), 0, now);
    }
    let mut seen = vec![names(&registry, now)];
    registry.merge(row("e1", 5), 0, now + Duration::from_millis(500));
    let later = now + Duration::from_millis(2_100);
    seen.push(names(&registry, now + Duration::from_millis(600)));
    registry.sweep(later);
    seen.push(names(&registry, later));
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a whole registry that comes as one message, which a busy link carries for
/// seconds: a reader takes it in pieces, and rows that change meanwhile come again.
#[test]
fn a_reader_takes_the_registry_in_pieces() {
    let (mut registry, now) = registry();
    let names: Vec<String> = (0..40).map(|number| format!("s{number}")).collect();
    for (port, name) in (80..).zip(&names) {
        registry.merge(Row::Server(server(name, port, 1, 1)), 0, now);
    }
    let (mut cursor, mut pieces) = (0, Vec::new());
    loop {
        let changes = registry.changed_since(cursor, 400, now);
        pieces.push(changes.updates.len());
        if pieces.len() == 2 {
            let mut draining = server("s0", 80, 1, 2);
            draining.draining = true;
            registry.merge(Row::Server(draining), 0, now);
        }
        cursor = changes.cursor;
        if !changes.more {
            break;
        }
    }
    assert_eq!(cursor, registry.clock());
    assert_eq!(pieces.iter().sum::<usize>(), names.len() + 1);
    insta::assert_debug_snapshot!(pieces);
}
