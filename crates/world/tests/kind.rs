//! Snapshot of the response for each error kind, which clients depend on.

use world::ErrorKind;

#[test]
fn table_of_kinds() {
    let rows: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.response();
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
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_code(kind.response().code), Some(*kind));
    }
}
