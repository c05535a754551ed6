//! Responses to readers that come without a cursor, all at once.

use bytes::Bytes;
use routed_control::shared_responses::SharedResponses;
use tokio::time::{Duration, Instant};

/// A hundred readers within a second, after a restart of a control VM.
#[test]
fn readers_that_come_at_once_share_a_few_encodings() {
    let responses = SharedResponses::default();
    let mut encoded = Vec::new();
    let started_at = Instant::now();
    for reader in 0..100_u8 {
        let now = started_at + Duration::from_millis(10) * u32::from(reader);
        // They have no catalog yet.
        if responses.get(&0, now).is_none() {
            responses.keep(0, Bytes::from(vec![reader]), now);
            encoded.push(reader);
        }
    }
    insta::assert_debug_snapshot!(encoded);
}

#[test]
fn a_reader_with_another_catalog_gets_its_own() {
    let responses = SharedResponses::default();
    let now = Instant::now();
    responses.keep(7, Bytes::from_static(b"since 7"), now);
    assert!(responses.get(&0, now).is_none());
    assert_eq!(responses.get(&7, now).as_deref(), Some(&b"since 7"[..]));
    assert!(
        responses
            .get(&7, now + Duration::from_millis(250))
            .is_none()
    );
}
