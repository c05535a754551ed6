//! The committed OpenAPI documents are those that the desks have.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

#[rstest]
#[case("control")]
#[case("entry")]
fn documents_are_up_to_date(#[case] desk: &str) {
    let made = Command::new(env!("CARGO_BIN_EXE_waxwingd"))
        .args(["--openapi", desk])
        .output()
        .expect("waxwingd runs");
    let path = format!("../../docs/openapi/{desk}.json");
    let committed = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path));
    assert_eq!(
        String::from_utf8_lossy(&made.stdout),
        committed.expect("a committed document"),
        "run: waxwingd --openapi {desk} > docs/openapi/{desk}.json"
    );
}
