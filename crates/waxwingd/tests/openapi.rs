//! Compares the committed OpenAPI documents with those generated from the code.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

/// Guards against a changed API whose document was not generated again.
#[rstest]
#[case("control")]
#[case("entry")]
fn documents_are_up_to_date(#[case] api: &str) {
    let generated = Command::new(env!("CARGO_BIN_EXE_waxwingd"))
        .args(["--openapi", api])
        .output()
        .expect("waxwingd runs");
    let path = format!("../../docs/openapi/{api}.json");
    let committed = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path));
    assert_eq!(
        String::from_utf8_lossy(&generated.stdout),
        committed.expect("a committed document"),
        "run: waxwingd --openapi {api} > docs/openapi/{api}.json"
    );
}
