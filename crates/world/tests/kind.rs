//! The table from kind to answer, as a snapshot.

use world::Kind;

#[test]
fn table_of_kinds() {
    let rows: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| {
            let a = kind.answer();
            let retry = a.retry_after_ms.map_or("-".into(), |ms| ms.to_string());
            format!("{:18} {} {:8} {retry}", a.code, a.status, a.ran.as_str())
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
