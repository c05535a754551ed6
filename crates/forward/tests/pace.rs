//! Pacing keeps large responses below the rate of the link and sends short ones
//! at once.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::ResponseBody;
use forward::large::{LinkAdmission, MeanSize, admit};
use forward::pace::Pacer;
use hyper::body::Body;
use tokio::time::Instant;

/// 6 Mbit a second.
const LINK_BYTES_PER_S: f64 = 750_000.0;

/// Reads a body to its end; returns its length.
async fn read_to_end(mut body: ResponseBody) -> usize {
    let mut len = 0;
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        len += frame
            .expect("frame")
            .into_data()
            .map_or(0, |data| data.len());
    }
    len
}

/// Two 150 kB responses need 400 ms on the link at full rate and 470 ms at the used
/// share (85 %) of it, of which the burst of 60 ms is sent at once. So they take
/// about 400 ms together, although one alone would take less than 200 ms.
#[tokio::test(start_paused = true)]
async fn two_large_responses_together_take_as_long_as_the_link_needs() {
    let pace = Arc::new(Pacer::new(LINK_BYTES_PER_S));
    let started_at = Instant::now();
    let body = || ResponseBody::paced(Bytes::from(vec![1; 150_000]), &pace);
    let (first, second) = tokio::join!(read_to_end(body()), read_to_end(body()));
    assert_eq!((first, second), (150_000, 150_000));
    let took = started_at.elapsed();
    assert!(took >= Duration::from_millis(330), "{took:?}");
    assert!(took <= Duration::from_millis(550), "{took:?}");
}

/// A short response is sent at once despite a backlog of 1 MB on the link.
#[tokio::test(start_paused = true)]
async fn a_short_response_does_not_wait_for_a_large_one() {
    let pace = Arc::new(Pacer::new(LINK_BYTES_PER_S));
    pace.count(1_000_000);
    let started_at = Instant::now();
    read_to_end(ResponseBody::paced(Bytes::from(vec![1; 1_500]), &pace)).await;
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

/// Eight requests at once: the first are admitted, the next wait longer for the
/// growing backlog, and the last are refused. Dropping the reservations must
/// free the link.
#[tokio::test(start_paused = true)]
async fn large_responses_take_turns_on_the_link() {
    let pace = Arc::new(Pacer::new(LINK_BYTES_PER_S));
    let sizes = MeanSize::default();
    for _ in 0..200 {
        sizes.record(90_000);
    }
    let target = Duration::from_secs(1);
    let mut turns = Vec::new();
    let mut reserved = Vec::new();
    for _ in 0..8 {
        let admission = admit(pace.backlog(), target);
        turns.push(format!("{admission:?}"));
        if let LinkAdmission::After(_) = admission {
            reserved.push(sizes.reserve(&pace));
        }
    }
    insta::assert_snapshot!(turns.join("\n"));
    assert_eq!(reserved[0].consume(100_000) / 1_000, 10);
    drop(reserved);
    assert!(
        pace.backlog() < Duration::from_millis(200),
        "the unused rest is free"
    );
}
