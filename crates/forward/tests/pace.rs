//! Large answers stay under the rate of the link; short ones go at once.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::AnswerBody;
use forward::large::{Sizes, Turn, turn};
use forward::pace::Pace;
use hyper::body::Body;
use tokio::time::Instant;

/// 6 Mbit a second.
const LINK_BYTES_PER_S: f64 = 750_000.0;

async fn drain(mut body: AnswerBody) -> usize {
    let mut len = 0;
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        len += frame
            .expect("frame")
            .into_data()
            .map_or(0, |data| data.len());
    }
    len
}

#[tokio::test(start_paused = true)]
async fn two_large_answers_together_take_as_long_as_the_link_needs() {
    let pace = Arc::new(Pace::new(LINK_BYTES_PER_S));
    let begun_at = Instant::now();
    let body = || AnswerBody::paced(Bytes::from(vec![1; 150_000]), &pace);
    let (first, second) = tokio::join!(drain(body()), drain(body()));
    assert_eq!((first, second), (150_000, 150_000));
    let took = begun_at.elapsed();
    assert!(took >= Duration::from_millis(330), "{took:?}");
    assert!(took <= Duration::from_millis(550), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_short_answer_does_not_wait_for_a_large_one() {
    let pace = Arc::new(Pace::new(LINK_BYTES_PER_S));
    pace.count(1_000_000);
    let begun_at = Instant::now();
    drain(AnswerBody::paced(Bytes::from(vec![1; 1_500]), &pace)).await;
    assert_eq!(begun_at.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn large_answers_take_turns_on_the_link() {
    let pace = Arc::new(Pace::new(LINK_BYTES_PER_S));
    let sizes = Sizes::default();
    for _ in 0..200 {
        sizes.learn(90_000);
    }
    let target = Duration::from_secs(1);
    let mut turns = Vec::new();
    let mut reserved = Vec::new();
    for _ in 0..8 {
        let turn = turn(pace.ahead(), target);
        turns.push(format!("{turn:?}"));
        if let Turn::After(_) = turn {
            reserved.push(sizes.reserve(&pace));
        }
    }
    insta::assert_snapshot!(turns.join("\n"));
    assert_eq!(reserved[0].cover(100_000) / 1_000, 10);
    drop(reserved);
    assert!(
        pace.ahead() < Duration::from_millis(200),
        "the unused rest is free"
    );
}
