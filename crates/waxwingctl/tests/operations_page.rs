//! Compares the table of errors in `docs/OPERATIONS.md` with the error kinds of
//! the code.

use std::fs;
use std::path::Path;

use world::ErrorKind;

/// Guards against an error kind that operators can't look up, or that is listed
/// with another status or `ran` value.
#[test]
fn every_error_kind_is_documented() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).unwrap();
    let missing: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let response = kind.response();
            let ran = response.ran.as_str();
            format!("| `{}` | {} | {ran} |", response.code, response.status)
        })
        .filter(|row| !page.contains(row))
        .collect();
    assert!(missing.is_empty(), "missing rows: {missing:#?}");
}
