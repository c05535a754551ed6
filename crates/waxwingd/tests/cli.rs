//! Help, error messages and exit codes of `waxwingd`, as snapshots.

use std::fs;
use std::path::Path;
use std::process::Command;

const GOOD: &str = r#"{
  // One VM of a small site.
  "name": "entry-1",
  "place": {"region": "zapad", "domain": "a"},
  "roles": ["entry"],
  "secret": "s",
  "listen": {"front": "127.0.0.1:0", "desk": "127.0.0.1:0", "link": "127.0.0.1:0"},
  "zones": {"regions": [{"name": "zapad", "domains": [{"name": "a"}]}]},
}"#;
const BAD: &str = r#"{
  "name": "entry 1",
  "roles": ["entry", "control"],
  "workers": 0,
  "colour": "red",
}"#;

/// Runs `waxwingd` in `dir`; returns its command line, exit code and output.
fn waxwingd(dir: &Path, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingd"))
        .args(args)
        .current_dir(dir)
        .output()
        .expect("waxwingd runs");
    format!(
        "$ waxwingd {}\nexit code {}\n--- stdout\n{}--- stderr\n{}",
        args.join(" "),
        output.status.code().expect("an exit code"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Guards against changes of the texts and exit codes that scripts rely on, and
/// against a check that misses a mistake in the settings.
#[test]
fn help_and_mistakes() {
    let dir = tempfile::tempdir().expect("a folder");
    fs::write(dir.path().join("good.jsonc"), GOOD).expect("written");
    fs::write(dir.path().join("bad.jsonc"), BAD).expect("written");
    let runs: [&[&str]; 8] = [
        &["--help"],
        &[],
        &["--colour"],
        &["--check"],
        &["--check", "good.jsonc"],
        &["--check", "bad.jsonc"],
        &["--check", "gone.jsonc"],
        &["bad.jsonc"],
    ];
    let shown: Vec<String> = runs.iter().map(|args| waxwingd(dir.path(), args)).collect();
    insta::assert_snapshot!(shown.join("\n"));
}
