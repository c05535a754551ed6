//! Snapshots of default settings, and of the mistakes reported for invalid settings and lists.
//! Operators must see all mistakes in a file at once, each with its position.

use conf::{parse_lists, parse_settings};

const GOOD: &str = r#"{
  // One VM of a small site.
  "name": "entry-1",
  "place": {"region": "zapad", "domain": "a"},
  "roles": ["entry", "control"],
  "secret": "s",
  "listen": {"front": "127.0.0.1:0", "desk": "127.0.0.1:0", "link": "127.0.0.1:0"},
  "control_listen": {"desk": "127.0.0.1:0", "link": "127.0.0.1:0"},
  "data_dir": "data",
  "zones": {"regions": [{"name": "zapad", "domains": [{"name": "a"}]}]},
}"#;

#[test]
fn good_settings_get_defaults() {
    let settings = parse_settings("vm.jsonc", GOOD).expect("settings");
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn every_mistake_is_named() {
    let bad = r#"{
  "name": "entry 1",
  "place": {"region": "zapad"},
  "roles": ["entry", "cook"],
  "listen": {"front": "127.0.0.1", "desk": "127.0.0.1:0", "link": 7},
  "lease_ms": 1,
  "colour": "red",
  "control": [{"name": "c1"}, 5],
  "log": {"level": "loud"},
  "zones": {"regions": [{"name": "zapad", "domains": "a"}]}
}"#;
    let faults = parse_settings("vm.jsonc", bad).expect_err("mistakes");
    insta::assert_snapshot!(faults);
}

#[test]
fn a_role_without_its_addresses_is_named() {
    let bad = r#"{
  "name": "c1",
  "place": {"region": "zapad", "domain": "b"},
  "roles": ["entry", "control"],
  "secret": "s",
  "zones": {"regions": [{"name": "zapad", "domains": [{"name": "a"}]}]}
}"#;
    let faults = parse_settings("vm.jsonc", bad).expect_err("mistakes");
    insta::assert_snapshot!(faults);
}

#[test]
fn a_syntax_error_has_its_position() {
    let faults = parse_settings("vm.jsonc", "{\n  \"name\": }").expect_err("mistakes");
    insta::assert_snapshot!(faults);
}

#[test]
fn mistakes_in_both_lists_are_named() {
    let customers =
        r#"{"customers": [{"name": "a", "plan": 3, "key_sha256": ["12"]}, {"nam": "b"}]}"#;
    let plans = r#"{"services": [{"name": "s", "class": "medium"}], "plan": []}"#;
    let faults = parse_lists(("c.jsonc", customers), ("p.jsonc", plans)).expect_err("mistakes");
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn mistakes_between_the_lists_are_named() {
    let customers = r#"{"customers": [{"name": "a", "plan": "gold", "key_sha256": []}]}"#;
    let plans = r#"{"services": [], "plans": []}"#;
    let faults = parse_lists(("c.jsonc", customers), ("p.jsonc", plans)).expect_err("mistakes");
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(text.join("\n"));
}
