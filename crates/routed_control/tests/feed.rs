//! Encoding of feed messages: findings follow the fields of the first version, so that
//! processes of both versions read each other while a site is upgraded.

use balancer::{Fingerprint, Mark};
use discovery::{ControlRow, Finding, Row, Update};
use routed_control::feed::{FeedRequest, Reader, decode, encode};
use serde::{Deserialize, Serialize};
use world::{DomainName, MachineName, Place, RegionName};

/// A request as the version before findings had it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FirstVersion {
    reader: Reader,
    me: Row,
    boot: u64,
    cursor: u64,
    catalog_index: u64,
}

fn me() -> Row {
    let region = RegionName::new("north").unwrap();
    Row::Control(ControlRow {
        name: MachineName::new("c1").unwrap(),
        link: ([10, 0, 0, 1], 80).into(),
        place: Place::new(region, DomainName::new("north-a").unwrap()),
        born_ms: 1,
        sequence: 2,
    })
}

fn request(findings: Vec<Update>) -> FeedRequest {
    FeedRequest {
        reader: Reader::Entry,
        me: me(),
        boot: 3,
        cursor: 4,
        catalog_index: 5,
        findings,
        relayed: Vec::new(),
    }
}

fn first_version() -> FirstVersion {
    FirstVersion {
        reader: Reader::Entry,
        me: me(),
        boot: 3,
        cursor: 4,
        catalog_index: 5,
    }
}

fn finding() -> Update {
    let mark = Mark {
        fingerprint: Fingerprint(666),
        convicted: true,
        crash_id: 9,
        sole: true,
        left_ms: 60_000,
    };
    Update {
        row: Row::Finding(Finding::Crash(mark)),
        age_ms: 7,
        lost: false,
    }
}

#[test]
fn findings_are_read_back() {
    let request = request(vec![finding()]);
    let bytes = encode(&request).unwrap();
    assert_eq!(decode::<FeedRequest>(&bytes).unwrap(), request);
}

#[test]
fn names_of_silent_control_vms_are_read_back() {
    let relayed = vec![MachineName::new("c2").unwrap()];
    for findings in [vec![], vec![finding()]] {
        let request = FeedRequest {
            relayed: relayed.clone(),
            ..request(findings)
        };
        let bytes = encode(&request).unwrap();
        assert_eq!(decode::<FeedRequest>(&bytes).unwrap(), request);
    }
}

#[test]
fn an_earlier_version_reads_a_message_with_findings() {
    let bytes = encode(&request(vec![finding()])).unwrap();
    let read: FirstVersion = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, first_version());
}

#[test]
fn a_message_of_an_earlier_version_has_no_findings() {
    let bytes = postcard::to_stdvec(&first_version()).unwrap();
    assert_eq!(decode::<FeedRequest>(&bytes).unwrap(), request(Vec::new()));
}

/// A crash with many requests must not make a message that delays others (at most 8 KB a
/// second for a node).
#[test]
fn bytes_of_a_message_with_findings() {
    let many: Vec<Update> = (0..128)
        .map(|at| {
            let Row::Finding(Finding::Crash(mark)) = finding().row else {
                unreachable!("the finding of a crash")
            };
            let fingerprint = Fingerprint(u64::MAX - at);
            let mark = Mark {
                fingerprint,
                crash_id: u64::MAX,
                ..mark
            };
            Update {
                row: Row::Finding(Finding::Crash(mark)),
                ..finding()
            }
        })
        .collect();
    let sizes = [vec![], vec![finding()], many].map(|f| encode(&request(f)).unwrap().len());
    insta::assert_debug_snapshot!(sizes);
}
