//! Help, error messages and exit codes of `waxwingctl`, as snapshots. They guard
//! against changes of the output that scripts rely on.

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
/// Options that name a control VM that can't be reached.
const CONTROL: [&str; 4] = ["--control", "127.0.0.1:1", "--key-file", "key"];

/// Runs `waxwingctl` in `dir`; returns its command line, exit code and output.
fn waxwingctl(dir: &Path, args: &[&str]) -> String {
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

/// Creates a folder with lists and settings that have mistakes, and a key file.
fn input_dir() -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("customers.jsonc"), CUSTOMERS).unwrap();
    fs::write(dir.path().join("plans.jsonc"), PLANS).unwrap();
    fs::write(dir.path().join("vm.jsonc"), SETTINGS).unwrap();
    fs::write(dir.path().join("key"), "operator\n").unwrap();
    dir
}

/// Runs the tool with each of these command lines in one folder.
fn run_all(runs: &[Vec<&str>]) -> String {
    let dir = input_dir();
    let outputs: Vec<String> = runs
        .iter()
        .map(|args| waxwingctl(dir.path(), args))
        .collect();
    outputs.join("\n")
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
    insta::assert_snapshot!(format!("help_{name}"), waxwingctl(input_dir().path(), args));
}

#[test]
fn wrong_usage() {
    let with_control = |args: &[&'static str]| [args, &CONTROL].concat();
    let load = ["load", "--key-file", "key", "--stream", "a=1"];
    insta::assert_snapshot!(run_all(&[
        vec![],
        vec!["paint"],
        vec!["check"],
        vec!["check", "--colour"],
        vec!["apply", "customers.jsonc"],
        vec!["show"],
        vec!["show", "--control", "here"],
        vec!["show", "--control", "127.0.0.1:1"],
        with_control(&["drain"]),
        with_control(&["drain", "a-1"]),
        with_control(&["drain", "server:a 1", "--insist"]),
        with_control(&["drain", "domain:zapad"]),
        vec!["status"],
        vec!["load", "--entry", "127.0.0.1:1"],
        vec!["load", "--key-file", "key", "--stream", "a=fast"],
        load.to_vec(),
        [&load[..], &["--entry", "127.0.0.1:1", "--seconds", "9999"]].concat(),
    ]));
}

/// Guards against a check that stops at the first mistake.
#[test]
fn check_names_every_mistake() {
    insta::assert_snapshot!(run_all(&[
        vec!["check", "customers.jsonc", "plans.jsonc"],
        vec!["check", "customers.jsonc"],
        vec!["check", "vm.jsonc"],
        vec!["check", "--json", "vm.jsonc", "plans.jsonc"],
        vec!["check", "gone.jsonc"],
    ]));
}

/// Guards against lists with mistakes that are sent to a control VM.
#[test]
fn nothing_is_applied_when_lists_have_mistakes() {
    let apply = ["apply", "customers.jsonc", "plans.jsonc"];
    insta::assert_snapshot!(run_all(&[[&apply[..], &CONTROL].concat()]));
}

/// Guards against a failed connection that is not reported for its machine.
#[test]
fn nobody_is_reached() {
    insta::assert_snapshot!(run_all(&[vec!["status", "--entry", "127.0.0.1:1"]]));
}
