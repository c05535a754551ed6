//! Snapshot of the response for each error kind, which clients depend on.

use world::Kind;

#[test]
fn table_of_kinds() {
    let rows: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.answer();
            let retry = answer
                .retry_after_ms
                .map_or("-".into(), |ms| ms.to_string());
            format!(
                "{:18} {} {:8} {retry}",
                answer.code,
                answer.status,
                answer.ran.as_str()
            )
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn codes_lead_back_to_kinds() {
    for kind in Kind::ALL {
        assert_eq!(Kind::from_code(kind.answer().code), Some(*kind));
    }
}
