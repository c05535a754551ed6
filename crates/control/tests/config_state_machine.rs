//! State machine of the configuration: accepted and refused changes, conflicts,
//! resent changes and stored snapshots.

use control::ConfigStateMachine;
use control::config_state_machine::OUTCOMES_KEPT;
use quorum::StateMachine;
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

fn apply(state_machine: &mut ConfigStateMachine, change: &Change) -> String {
    let command = ConfigStateMachine::command(change).expect("command");
    match state_machine.apply(0, &command) {
        Ok(version) => format!("{}: version {version}", change.id),
        Err(error) => format!("{}: {error}", change.id),
    }
}

/// Guards against a change that takes effect twice when it is resent, a reused
/// change id that is accepted, and a change that overwrites a version its author
/// has not seen.
#[test]
fn races_and_resends() {
    let mut state_machine = ConfigStateMachine::default();
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
    let results: Vec<String> = changes
        .iter()
        .map(|c| apply(&mut state_machine, c))
        .collect();
    insta::assert_snapshot!(results.join("\n"));
}

/// Guards against a command that can't be decoded and yet changes the state or
/// panics.
#[test]
fn an_undecodable_command_changes_nothing() {
    let mut state_machine = ConfigStateMachine::default();
    let result = state_machine.apply(1, b"{");
    assert!(result.is_err());
    assert_eq!(state_machine, ConfigStateMachine::default());
}

/// Guards against a snapshot that loses the outcomes of accepted changes: a
/// resent change would be refused after a restart. A damaged snapshot must leave
/// the state as it is.
#[test]
fn a_snapshot_keeps_the_outcomes() {
    let mut state_machine = ConfigStateMachine::default();
    apply(&mut state_machine, &change("first", 0, "zapad"));
    let mut restored = ConfigStateMachine::default();
    restored
        .restore(&state_machine.snapshot())
        .expect("restored");
    assert_eq!(restored, state_machine);
    let resent = apply(&mut restored, &change("first", 0, "zapad"));
    assert_eq!(resent, "first: version 1");
    assert!(restored.restore(b"{").is_err());
    assert_eq!(restored, state_machine);
}

/// Guards against outcomes that accumulate without bound: beyond
/// [`OUTCOMES_KEPT`] the oldest are dropped, and a resend of such a change is
/// refused as a conflict.
#[test]
fn the_oldest_outcomes_are_dropped() {
    let mut state_machine = ConfigStateMachine::default();
    for version in 0..=OUTCOMES_KEPT as u64 {
        apply(
            &mut state_machine,
            &change(&format!("c{version}"), version, "zapad"),
        );
    }
    let last = OUTCOMES_KEPT as u64;
    let kept = apply(&mut state_machine, &change("c1", 1, "zapad"));
    let dropped = apply(&mut state_machine, &change("c0", 0, "zapad"));
    assert_eq!(kept, "c1: version 2");
    assert_eq!(
        dropped,
        format!(
            "c0: conflict: change c0 was made from version 0, in force is version {}",
            last + 1
        )
    );
}
