//! Tests of the codec and of callers' requests: a stream is decoded however it is split, and invalid input is an error.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use sardinemux_core::fence::RequestId;
use sardinemux_core::outcome::{Outcome, Reason};
use sardinemux_wire::caller::ChatRequest;
use sardinemux_wire::codec::{self, Decoder, MESSAGE_MAX_BYTES};
use sardinemux_wire::errors::Error;
use sardinemux_wire::frame::{Body, Frame, Part};

fn frames() -> Vec<Frame> {
    let bodies = [
        Body::Waiting,
        Body::Part(Part {
            offset: 3,
            length: 2,
            data: vec![0, 255, 7],
        }),
        Body::Failed {
            outcome: Outcome::Unknown,
            reason: Reason::Cut,
        },
    ];
    bodies
        .into_iter()
        .enumerate()
        .map(|(sequence, body)| Frame {
            id: RequestId::from_u128(9),
            sequence: sequence as u32,
            body,
        })
        .collect()
}

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_pieces(7)]
#[case::at_once(10_000)]
fn verify_frames_are_read_from_pieces(#[case] size: usize) {
    let bytes: Vec<u8> = frames()
        .iter()
        .flat_map(|frame| codec::encode_prefixed(frame).unwrap().to_vec())
        .collect();
    let mut decoder = Decoder::default();
    let mut read = Vec::new();
    for piece in bytes.chunks(size) {
        decoder.push_bytes(piece);
        while let Some(frame) = decoder.next_message::<Frame>().unwrap() {
            read.push(frame);
        }
    }
    assert_eq!(read, frames());
}

#[test]
fn verify_stated_length_is_bounded() {
    let mut decoder = Decoder::default();
    decoder.push_bytes(&(MESSAGE_MAX_BYTES as u32 + 1).to_be_bytes());
    assert!(matches!(
        decoder.next_message::<Frame>(),
        Err(Error::TooLarge { .. })
    ));
}

#[test]
fn verify_invalid_bytes_are_an_error() {
    let mut decoder = Decoder::default();
    decoder.push_bytes(&[0, 0, 0, 2, 0xc1, 0xc1]);
    assert!(matches!(
        decoder.next_message::<Frame>(),
        Err(Error::Decode { .. })
    ));
}

/// A process reads a message from an earlier version of the software that lacks the last field, as long as the field
/// has a default.
#[test]
fn verify_messages_may_grow_at_the_end() {
    #[derive(serde::Serialize, serde::Deserialize, Debug, PartialEq)]
    struct Earlier {
        one: u32,
    }
    #[derive(serde::Serialize, serde::Deserialize, Debug, PartialEq)]
    struct Later {
        one: u32,
        #[serde(default)]
        two: u32,
    }
    let bytes = codec::encode(&Earlier { one: 1 }).unwrap();
    assert_eq!(
        codec::decode::<Later>(&bytes).unwrap(),
        Later { one: 1, two: 0 }
    );
}

#[rstest]
#[case::first_turn(
    r#"[{"role":"system","content":"s"},{"role":"user","content":"u"}]"#,
    false
)]
#[case::returning(
    r#"[{"role":"user","content":"u"},{"role":"assistant","content":"a"}]"#,
    true
)]
fn verify_returning_chat_is_detected_by_an_answer(#[case] messages: &str, #[case] expected: bool) {
    let body = format!(r#"{{"model":"m","messages":{messages}}}"#);
    let chat = ChatRequest::parse(body.as_bytes()).unwrap();
    assert_eq!(chat.is_returning(), expected);
}

#[test]
fn verify_opening_stays_the_same_in_every_turn() {
    let first = r#"{"model":"m","messages":[{"role":"user","content":"u"}]}"#;
    let later = r#"{"model":"m","messages":[{"role":"user","content":"u"},
        {"role":"assistant","content":"a"},{"role":"user","content":"v"}]}"#;
    let opening = |body: &str| ChatRequest::parse(body.as_bytes()).unwrap().opening();
    assert_eq!(opening(first), opening(later));
}
