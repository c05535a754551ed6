//! The operators' page lists every refusal as the table of kinds has it.

use std::fs;
use std::path::Path;

use world::Kind;

#[test]
fn every_refusal_is_explained() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).unwrap();
    let missing: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.answer();
            let ran = answer.ran.as_str();
            format!("| `{}` | {} | {ran} |", answer.code, answer.status)
        })
        .filter(|row| !page.contains(row))
        .collect();
    assert!(missing.is_empty(), "missing rows: {missing:#?}");
}
