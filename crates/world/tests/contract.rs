//! Snapshots of the mistakes found in invalid lists, and of contracts looked up by
//! customer key and service.

use world::{ContractBook, KeyDigest, Lists};

fn lists(text: &str) -> Lists {
    serde_json::from_str(text).expect("lists")
}

const GOOD: &str = r#"{
  "customers": [{"name": "garage", "plan": "gold", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}],
  "plans": [{"name": "gold", "priority": 9, "uses": [{"service": "terminy", "rate_per_s": 10, "burst": 5, "in_flight": 4}]}],
  "services": [
    {"name": "terminy", "class": "short", "idempotent": true, "deadline_ms": 1000},
    {"name": "podklady", "class": "long", "idempotent": true, "deadline_ms": 9000}
  ]
}"#;

#[test]
fn mistakes_are_all_named() {
    let bad = lists(
        r#"{
      "customers": [
        {"name": "a", "plan": "none", "key_sha256": []},
        {"name": "a", "plan": "p", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]},
        {"name": "b", "plan": "p", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}
      ],
      "plans": [{"name": "p", "priority": 1, "uses": [{"service": "gone", "rate_per_s": 0, "burst": 0, "in_flight": 1}]}],
      "services": [{"name": "s", "class": "short", "idempotent": true, "deadline_ms": 0}]
    }"#,
    );
    insta::assert_snapshot!(bad.faults().join("\n"));
}

#[test]
fn contracts_of_a_customer() {
    let book = ContractBook::new(&lists(GOOD));
    let key = KeyDigest::of("test");
    let contracts = [
        book.contract(&key, "terminy"),
        book.contract(&key, "podklady"),
        book.contract(&key, "nothing"),
        book.contract(&KeyDigest::of("wrong"), "terminy"),
    ];
    insta::assert_debug_snapshot!(contracts);
}
