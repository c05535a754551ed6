//! The frame codec must restore envelopes however TCP splits the stream, must reject overlong
//! frames, and must not panic on malformed input from a peer.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use wire::body::{ConfigResponse, Hello};
use wire::{Body, Envelope, EnvelopeCodec};

fn envelopes() -> impl Strategy<Value = Envelope> {
    let hello = ("[a-z]{0,20}", any::<u64>()).prop_map(|(name, nonce)| {
        Body::Hello(Hello {
            name,
            proof: bytes::Bytes::from_static(b"proof"),
            nonce,
        })
    });
    let config = (any::<u64>(), proptest::collection::vec(any::<u8>(), 0..300)).prop_map(
        |(version, bytes)| {
            Body::ConfigResponse(ConfigResponse {
                version,
                config_json: bytes.into(),
            })
        },
    );
    (any::<u64>(), any::<u64>(), prop_oneof![hello, config]).prop_map(|(call, version, body)| {
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
    fn pieces_come_back_whole(sent in proptest::collection::vec(envelopes(), 1..5), piece_bytes in 1usize..40) {
        let mut bytes = BytesMut::new();
        let mut codec = EnvelopeCodec::new();
        for envelope in &sent {
            codec.encode(envelope.clone(), &mut bytes).expect("encode");
        }
        let mut input = BytesMut::new();
        let mut decoded = Vec::new();
        for piece in bytes.chunks(piece_bytes) {
            input.extend_from_slice(piece);
            while let Some(envelope) = codec.decode(&mut input).expect("decode") {
                decoded.push(envelope);
            }
        }
        prop_assert_eq!(decoded, sent);
    }

    #[test]
    fn rubbish_is_refused(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut input = BytesMut::from(&noise[..]);
        let mut codec = EnvelopeCodec::new();
        while let Ok(Some(_)) = codec.decode(&mut input) {}
    }
}

#[test]
fn a_frame_over_the_bound_is_refused() {
    let mut input = BytesMut::new();
    input.put_u32(u32::MAX);
    let error = EnvelopeCodec::new()
        .decode(&mut input)
        .expect_err("too long");
    insta::assert_snapshot!(error);
}
