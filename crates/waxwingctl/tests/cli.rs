//! Help, mistakes and exit codes of the command line, as snapshots.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

const CUSTOMERS: &str = r#"{"customers": [
  {"name": "garage", "plan": "gold", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]},
  {"name": "door", "plan": "tin", "key_sha256": []},
]}"#;
const PLANS: &str = r#"{
  // What each plan may use.
  "services": [{"name": "terminy", "class": "short", "idempotent": true, "deadline_ms": 1000}],
  "plans": [{"name": "gold", "priority": 9, "uses": []}],
}"#;
const SETTINGS: &str = r#"{"name": "entry 1", "roles": []}"#;
const CONTROL: [&str; 4] = ["--control", "127.0.0.1:1", "--key-file", "key"];

/// Runs the tool in `dir`; gives exit code and output.
fn tool(dir: &Path, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingctl"))
        .args(args)
        .current_dir(dir)
        .output()
        .unwrap();
    format!(
        "$ waxwingctl {}\nexit code {}\n--- stdout\n{}--- stderr\n{}",
        args.join(" "),
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

fn folder() -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("customers.jsonc"), CUSTOMERS).unwrap();
    fs::write(dir.path().join("plans.jsonc"), PLANS).unwrap();
    fs::write(dir.path().join("vm.jsonc"), SETTINGS).unwrap();
    fs::write(dir.path().join("key"), "operator\n").unwrap();
    dir
}

fn all(runs: &[Vec<&str>]) -> String {
    let dir = folder();
    let shown: Vec<String> = runs.iter().map(|args| tool(dir.path(), args)).collect();
    shown.join("\n")
}

#[rstest]
#[case("all", &["--help"])]
#[case("check", &["check", "--help"])]
#[case("apply", &["apply", "--help"])]
#[case("show", &["show", "--help"])]
#[case("drain", &["drain", "--help"])]
#[case("undrain", &["undrain", "--help"])]
#[case("status", &["status", "--help"])]
#[case("load", &["load", "--help"])]
fn help(#[case] name: &str, #[case] args: &[&str]) {
    insta::assert_snapshot!(format!("help_{name}"), tool(folder().path(), args));
}

#[test]
fn wrong_usage() {
    let with = |args: &[&'static str]| [args, &CONTROL].concat();
    let load = ["load", "--key-file", "key", "--stream", "a=1"];
    insta::assert_snapshot!(all(&[
        vec![],
        vec!["paint"],
        vec!["check"],
        vec!["check", "--colour"],
        vec!["apply", "customers.jsonc"],
        vec!["show"],
        vec!["show", "--control", "here"],
        vec!["show", "--control", "127.0.0.1:1"],
        with(&["drain"]),
        with(&["drain", "a-1"]),
        with(&["drain", "server:a 1", "--insist"]),
        with(&["drain", "domain:zapad"]),
        vec!["status"],
        vec!["load", "--entry", "127.0.0.1:1"],
        vec!["load", "--key-file", "key", "--stream", "a=fast"],
        load.to_vec(),
        [&load[..], &["--entry", "127.0.0.1:1", "--seconds", "9999"]].concat(),
    ]));
}

#[test]
fn check_names_every_mistake() {
    insta::assert_snapshot!(all(&[
        vec!["check", "customers.jsonc", "plans.jsonc"],
        vec!["check", "customers.jsonc"],
        vec!["check", "vm.jsonc"],
        vec!["check", "--json", "vm.jsonc", "plans.jsonc"],
        vec!["check", "gone.jsonc"],
    ]));
}

#[test]
fn nothing_is_applied_when_lists_have_mistakes() {
    let apply = ["apply", "customers.jsonc", "plans.jsonc"];
    insta::assert_snapshot!(all(&[[&apply[..], &CONTROL].concat()]));
}

#[test]
fn nobody_is_reached() {
    insta::assert_snapshot!(all(&[vec!["status", "--entry", "127.0.0.1:1"]]));
}
