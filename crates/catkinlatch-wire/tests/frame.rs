//! Frames round-trip through a byte stream, and corruption is detected.

use bytes::{Bytes, BytesMut};
use catkinlatch_wire::{Frame, FrameError};
use proptest::{collection::vec, prelude::*};

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let frame = (any::<u32>(), any::<u64>(), any::<u64>(), any::<u32>(), vec(any::<u8>(), 0..200));
    let build = |(group, term, wall_ms, counter, payload): (_, _, _, _, Vec<u8>)| Frame {
        group,
        term,
        wall_ms,
        counter,
        payload: Bytes::from(payload),
    };
    vec(frame.prop_map(build), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_round_trip(sent in frames(), part in 1_usize..64) {
        let stream: Vec<u8> = sent.iter().flat_map(|frame| frame.encode().to_vec()).collect();
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for chunk in stream.chunks(part) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = Frame::decode(&mut buffer).unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, sent);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn a_flipped_bit_fails_the_checksum(
        frame in frames().prop_map(|f| f[0].clone()),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let mut bytes = frame.encode().to_vec();
        let index = at.index(bytes.len() - 4) + 4;
        bytes[index] ^= 1 << bit;
        let decoded = Frame::decode(&mut BytesMut::from(&bytes[..]));
        prop_assert_eq!(decoded, Err(FrameError::Checksum));
    }
}

#[test]
fn a_payload_length_over_the_limit_is_refused_before_the_payload_is_read() {
    let mut bytes = BytesMut::from(&Frame::new(Bytes::new()).encode()[..]);
    bytes[0] = 0xff;
    assert!(matches!(Frame::decode(&mut bytes), Err(FrameError::TooLong { .. })));
}
