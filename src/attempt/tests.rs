//! Tests of the validation of answers: only complete answers of the attempt, in order, are valid.

use crate::attempt::stream_validator::{StreamStep, StreamValidator, is_complete_own_answer};
use crate::event_stream::MAX_EVENT_BYTES;
use arbtest::arbtest;

const DONE: &[u8] = b"data: [DONE]\n\n";

fn chunk(id: &str, index: u32, last: bool) -> Vec<u8> {
    let finish = if last {
        r#","finish_reason":"stop""#
    } else {
        ""
    };
    format!("data: {{\"id\":\"{id}\",\"index\":{index}{finish}}}\n\n").into_bytes()
}

fn steps(events: &mut StreamValidator, bytes: &[u8]) -> Vec<StreamStep> {
    events.push(bytes);
    std::iter::from_fn(|| events.next_step()).collect()
}

fn is_broken(steps: &[StreamStep]) -> bool {
    matches!(steps, [StreamStep::Broken(_)])
}

fn answer(tokens: u32) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..tokens)
        .flat_map(|index| chunk("r", index, index + 1 == tokens))
        .collect();
    bytes.extend_from_slice(DONE);
    bytes
}

#[test]
fn a_complete_answer_passes_for_any_split_and_repetition_of_its_bytes() {
    arbtest(|u| {
        let bytes = answer(6);
        let mut events = StreamValidator::new("r".into());
        let mut passed = Vec::new();
        let mut from = 0;
        let mut ended = false;
        while from < bytes.len() {
            let count = u.int_in_range(1..=bytes.len() - from)?;
            for step in steps(&mut events, &bytes[from..from + count]) {
                match step {
                    StreamStep::Pass(event) => passed.extend(event),
                    StreamStep::End(event) => {
                        passed.extend(event);
                        ended = true;
                    }
                    StreamStep::Broken(why) => panic!("{why}"),
                }
            }
            from += count;
            if !u.is_empty() && u.ratio(1, 5)? && !ended {
                // Another connection resumes at the next chunk, or up to 2 chunks before it.
                events.discard_partial_event();
                let back = events.next_index().saturating_sub(u.int_in_range(0..=2)?);
                from = (0..back).map(|index| chunk("r", index, false).len()).sum();
            }
        }
        assert!(ended);
        assert_eq!(passed, bytes);
        Ok(())
    })
    .seed(0x5eed_0000_0400);
}

#[test]
fn a_chunk_of_another_request_makes_the_answer_invalid() {
    let mut events = StreamValidator::new("r".into());
    assert_eq!(steps(&mut events, &chunk("r", 0, false)).len(), 1);
    assert!(is_broken(&steps(&mut events, &chunk("q", 1, false))));
}

#[test]
fn a_missing_chunk_an_early_end_mark_and_an_error_make_the_answer_invalid() {
    let broken = |bytes: &[u8]| {
        let mut events = StreamValidator::new("r".into());
        is_broken(&steps(&mut events, bytes))
    };
    assert!(broken(&chunk("r", 1, false)));
    assert!(broken(DONE));
    assert!(broken(b"data: {\"id\":\"r\",\"error\":\"cancelled\"}\n\n"));
    assert!(broken(b"data: not JSON\n\n"));
    assert!(broken(&vec![b'x'; MAX_EVENT_BYTES + 1]));
}

#[test]
fn an_answer_must_be_complete_json_of_its_own_request() {
    assert!(is_complete_own_answer("r", br#"{"id":"r"}"#));
    assert!(is_complete_own_answer("r", br#"{"answer":1}"#));
    assert!(!is_complete_own_answer("r", br#"{"id":"q"}"#));
    assert!(!is_complete_own_answer("r", br#"{"id":"r""#));
}
