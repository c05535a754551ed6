//! Encoding of feed messages: findings follow the fields of the first version, so that
//! processes of both versions read each other while a site is upgraded.

use balancer::{Fingerprint, Mark};
use bytes::Bytes;
use catalog::{Position, RowKey};
use discovery::{ControlRow, Finding, Row, Update};
use routed_control::feed::{FeedRequest, Reader, decode, encode};
use routed_control::pack::{pack, unpack};
use routed_control::{FeedPage, FeedResponse, Paging};
use serde::{Deserialize, Serialize};
use wire::body::Feed;
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
        paging: None,
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

fn paging() -> Paging {
    Paging {
        position: Position {
            index: 5,
            last: Some(RowKey::Limits),
        },
        takes_rows: true,
        continued: true,
    }
}

#[test]
fn the_position_of_a_reader_is_read_back() {
    for findings in [vec![], vec![finding()]] {
        let request = FeedRequest {
            paging: Some(paging()),
            ..request(findings)
        };
        let bytes = encode(&request).unwrap();
        assert_eq!(decode::<FeedRequest>(&bytes).unwrap(), request);
    }
}

#[test]
fn an_earlier_version_reads_a_message_with_later_fields() {
    for paging in [None, Some(paging())] {
        let request = FeedRequest {
            paging,
            ..request(vec![finding()])
        };
        let bytes = encode(&request).unwrap();
        let read: FirstVersion = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, first_version());
    }
}

fn response(more: bool) -> FeedResponse {
    FeedResponse {
        boot: 1,
        cursor: 2,
        whole: true,
        current: true,
        settled: true,
        catalog_index: 9,
        catalog: Vec::new(),
        news: vec![Update {
            row: me(),
            age_ms: 3,
            lost: false,
        }],
        findings: Vec::new(),
        more,
    }
}

#[test]
fn a_response_of_an_earlier_version_has_the_whole_catalog() {
    let feed = Feed {
        payload: encode(&response(false)).unwrap(),
        ..Feed::default()
    };
    let page = FeedPage::decode(&feed).unwrap();
    assert!(!page.has_more());
    assert_eq!(page.catalog.unwrap().next, Position::at_end_of(9));
}

#[test]
fn packed_responses_are_read_back() {
    let many = vec![response(true).news[0].clone(); 1_000];
    for news in [Vec::new(), many] {
        let response = FeedResponse {
            news,
            ..response(true)
        };
        let payload = encode(&response).unwrap();
        let feed = Feed {
            payload: pack(&payload).unwrap(),
            packed: true,
            ..Feed::default()
        };
        let page = FeedPage::decode(&feed).unwrap();
        assert!(page.has_more() && page.catalog.is_none());
        assert_eq!(page.response, response);
        assert!(feed.payload.len() <= payload.len() + 1);
    }
}

/// Guards against a peer that makes this process allocate without bound.
#[test]
fn a_packed_message_that_is_too_long_is_refused() {
    let packed = pack(&vec![0; wire::FRAME_MAX_BYTES + 1]).unwrap();
    let damaged = [Bytes::new(), Bytes::from_static(&[9, 1]), packed];
    let errors = damaged.map(|packed| unpack(&packed).unwrap_err().to_string());
    insta::assert_debug_snapshot!(errors);
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
