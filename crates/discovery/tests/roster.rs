//! Rows that come late, twice, from an earlier start, or fall silent.

use std::time::Duration;

use discovery::{EntryRow, Roster, RosterSettings, Row, ServerRow, StandIns};
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

fn roster() -> (Roster, Instant) {
    (Roster::new(RosterSettings::default()), Instant::now())
}

#[test]
fn only_newer_announcements_count() {
    let (mut roster, now) = roster();
    let mut merged = Vec::new();
    for (born_ms, sequence) in [(10, 4), (10, 4), (10, 3), (10, 5), (9, 90), (11, 1)] {
        let row = Row::Server(server("s1", 80, born_ms, sequence));
        merged.push((born_ms, sequence, roster.merge(row, 0, now)));
    }
    insta::assert_debug_snapshot!(merged);
}

#[test]
fn at_one_address_the_latest_start_counts() {
    let (mut roster, now) = roster();
    let names = |r: &Roster| {
        let mut names: Vec<String> = r.servers().iter().map(|s| s.name.to_string()).collect();
        names.sort();
        names
    };
    roster.merge(Row::Server(server("old", 80, 10, 1)), 0, now);
    roster.merge(Row::Server(server("new", 80, 20, 1)), 0, now);
    assert_eq!(names(&roster), ["new"]);
    // A late announcement of the earlier one changes nothing.
    assert!(!roster.merge(Row::Server(server("old", 80, 10, 9)), 0, now));
    assert_eq!(names(&roster), ["new"]);
}

#[test]
fn entry_vms_learn_of_changes_only() {
    let (mut roster, now) = roster();
    roster.merge(Row::Server(server("s1", 80, 1, 1)), 0, now);
    let cursor = roster.clock();
    roster.merge(Row::Server(server("s1", 80, 1, 2)), 0, now);
    assert!(roster.changed_since(cursor, now).is_empty());
    assert_eq!(roster.touched_since(cursor, now).len(), 1);
    let mut draining = server("s1", 80, 1, 3);
    draining.draining = true;
    roster.merge(Row::Server(draining), 0, now);
    assert_eq!(roster.changed_since(cursor, now).len(), 1);
}

#[test]
fn what_falls_silent_is_told_as_lost_and_may_come_back() {
    let (mut roster, now) = roster();
    roster.merge(Row::Server(server("s1", 80, 1, 1)), 0, now);
    let cursor = roster.clock();
    let later = now + Duration::from_secs(6);
    assert!(roster.sweep(later));
    let lost: Vec<bool> = roster
        .changed_since(cursor, later)
        .iter()
        .map(|n| n.lost)
        .collect();
    roster.merge(Row::Server(server("s1", 80, 1, 2)), 0, later);
    let back: Vec<bool> = roster
        .changed_since(cursor, later)
        .iter()
        .map(|n| n.lost)
        .collect();
    assert_eq!((lost, back), (vec![true], vec![false]));
}

#[test]
fn callers_are_told_the_nearest_entry_vms_that_live() {
    let (mut roster, now) = roster();
    roster.merge(entry("e1", place("north", "north-a"), 1, false), 0, now);
    roster.merge(entry("e2", place("north", "north-b"), 1, false), 0, now);
    roster.merge(entry("e3", place("south", "south-a"), 1, false), 0, now);
    let near = |r: &Roster, at: Instant| {
        let rows = r.entries_near(&place("north", "north-a"), StandIns::Anywhere, 0, at);
        let mut names: Vec<String> = rows.iter().map(|row| row.name.to_string()).collect();
        names.sort();
        names.join(" ")
    };
    let mut seen = vec![near(&roster, now)];
    roster.merge(entry("e1", place("north", "north-a"), 2, true), 0, now);
    seen.push(near(&roster, now));
    let later = now + Duration::from_secs(3);
    roster.merge(entry("e3", place("south", "south-a"), 2, false), 0, later);
    seen.push(near(&roster, later));
    assert_eq!(seen, ["e1", "e2", "e3"]);
}

/// Entry VMs of three domains, four in each, with half of `north-a` lost.
fn half_lost(busy_percent: u32) -> (Roster, Instant) {
    let (mut roster, now) = roster();
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
            roster.merge(row(1), 0, now);
            if domain != "north-a" || at <= 2 {
                roster.merge(row(2), 0, later);
            }
        }
    }
    (roster, later)
}

#[test]
fn busy_entry_vms_get_help_for_those_that_are_lost() {
    let told_from = |roster: &Roster, from: StandIns, draw: u64, at: Instant| -> Vec<String> {
        let rows = roster.entries_near(&place("north", "north-a"), from, draw, at);
        rows.iter().map(|row| row.name.to_string()).collect()
    };
    let told = |roster: &Roster, draw, at| told_from(roster, StandIns::Anywhere, draw, at);
    let (idle, later) = half_lost(20);
    assert_eq!(told(&idle, 1, later).len(), 2, "there is room");
    let (busy, later) = half_lost(50);
    let mut helpers = std::collections::BTreeSet::new();
    for draw in 0..50 {
        let names = told(&busy, draw, later);
        assert_eq!(names.len(), 4, "as many as there were: {names:?}");
        helpers.extend(names.into_iter().filter(|n| !n.starts_with("north-a")));
    }
    assert_eq!(helpers.len(), 8, "each helps at times: {helpers:?}");
    for draw in 0..50 {
        let names = told_from(&busy, StandIns::Region, draw, later);
        assert!(names.iter().all(|n| n.starts_with("north")), "{names:?}");
    }
}
