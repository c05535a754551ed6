//! Frames survive being cut at any byte; rubbish is an error, never a panic.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use wire::body::{ConfigGive, Hello};
use wire::{Body, Envelope, Frames};

fn envelopes() -> impl Strategy<Value = Envelope> {
    let hello = ("[a-z]{0,20}", any::<u64>()).prop_map(|(name, nonce)| {
        Body::Hello(Hello {
            name,
            proof: bytes::Bytes::from_static(b"proof"),
            nonce,
        })
    });
    let give = (any::<u64>(), proptest::collection::vec(any::<u8>(), 0..300)).prop_map(
        |(version, bytes)| {
            Body::ConfigGive(ConfigGive {
                version,
                config_json: bytes.into(),
            })
        },
    );
    (any::<u64>(), any::<u64>(), prop_oneof![hello, give]).prop_map(|(call, version, body)| {
        Envelope {
            call,
            config_version: version,
            body: Some(body),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn pieces_come_back_whole(sent in proptest::collection::vec(envelopes(), 1..5), cut in 1usize..40) {
        let mut bytes = BytesMut::new();
        let mut frames = Frames::new();
        for envelope in &sent {
            frames.encode(envelope.clone(), &mut bytes).expect("encode");
        }
        let mut input = BytesMut::new();
        let mut got = Vec::new();
        for piece in bytes.chunks(cut) {
            input.extend_from_slice(piece);
            while let Some(envelope) = frames.decode(&mut input).expect("decode") {
                got.push(envelope);
            }
        }
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn rubbish_is_refused(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut input = BytesMut::from(&noise[..]);
        let mut frames = Frames::new();
        while let Ok(Some(_)) = frames.decode(&mut input) {}
    }
}

#[test]
fn a_frame_over_the_bound_is_refused() {
    let mut input = BytesMut::new();
    input.put_u32(u32::MAX);
    let error = Frames::new().decode(&mut input).expect_err("too long");
    insta::assert_snapshot!(error);
}
