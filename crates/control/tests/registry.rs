//! Accepted changes, races and resends, as snapshots.

use control::Registry;
use control::registry::OUTCOMES_KEPT;
use quorum::Machine;
use world::{Action, Change, ChangeId, Drain, Lists, RegionName};

fn change(id: &str, base_version: u64, region: &str) -> Change {
    let region = RegionName::new(region).expect("name");
    Change {
        id: ChangeId::new(id).expect("id"),
        base_version,
        action: Action::Drain(Drain::Region(region)),
    }
}

fn bad_lists(id: &str, base_version: u64) -> Change {
    let text = r#"{"customers": [{"name": "a", "plan": "none", "key_sha256": []}], "plans": [], "services": []}"#;
    let lists: Lists = serde_json::from_str(text).expect("lists");
    Change {
        id: ChangeId::new(id).expect("id"),
        base_version,
        action: Action::Lists(lists),
    }
}

fn apply(registry: &mut Registry, change: &Change) -> String {
    let command = Registry::command(change).expect("command");
    match registry.apply(0, &command) {
        Ok(version) => format!("{}: version {version}", change.id),
        Err(error) => format!("{}: {error}", change.id),
    }
}

#[test]
fn races_and_resends() {
    let mut registry = Registry::default();
    let changes = [
        change("first", 0, "zapad"),
        change("second", 1, "stred"),
        change("late", 0, "vychod"),
        change("late", 1, "vychod"),
        change("first", 0, "zapad"),
        change("first", 0, "vychod"),
        change("first", 2, "zapad"),
        change("ahead", 9, "zapad"),
        bad_lists("mistaken", 2),
        change("third", 2, "vychod"),
        change("second", 1, "stred"),
    ];
    let answers: Vec<String> = changes.iter().map(|c| apply(&mut registry, c)).collect();
    insta::assert_snapshot!(answers.join("\n"));
}

#[test]
fn an_unreadable_command_changes_nothing() {
    let mut registry = Registry::default();
    let answer = registry.apply(1, b"{");
    assert!(answer.is_err());
    assert_eq!(registry, Registry::default());
}

#[test]
fn a_snapshot_keeps_the_outcomes() {
    let mut registry = Registry::default();
    apply(&mut registry, &change("first", 0, "zapad"));
    let mut other = Registry::default();
    other.restore(&registry.snapshot()).expect("restored");
    assert_eq!(other, registry);
    let again = apply(&mut other, &change("first", 0, "zapad"));
    assert_eq!(again, "first: version 1");
    assert!(other.restore(b"{").is_err());
    assert_eq!(other, registry);
}

/// The table of outcomes stays bounded; the oldest go first.
#[test]
fn the_oldest_outcomes_are_forgotten() {
    let mut registry = Registry::default();
    for version in 0..=OUTCOMES_KEPT as u64 {
        apply(
            &mut registry,
            &change(&format!("c{version}"), version, "zapad"),
        );
    }
    let last = OUTCOMES_KEPT as u64;
    let kept = apply(&mut registry, &change("c1", 1, "zapad"));
    let gone = apply(&mut registry, &change("c0", 0, "zapad"));
    assert_eq!(kept, "c1: version 2");
    assert_eq!(
        gone,
        format!(
            "c0: conflict: change c0 was made from version 0, in force is version {}",
            last + 1
        )
    );
}
