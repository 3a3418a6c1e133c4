//! Sound answers with a few bytes changed: a caller gets exactly what such an answer says, or none of it.

use super::fake_upstream::Step::{Close, WriteBytes};
use super::site::{on_site, route};
use crate::desired::{Repeat, Route};
use crate::test_support::reference_answer;
use fastrand::Rng;

/// The seeds of one run of the test.
const SEEDS: u64 = 400;
/// The request; its connection closes after the answer.
const REQUEST: &str =
    "GET /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 1000\r\nConnection: close\r\n\r\n";
/// Sound answers with each framing.
const SOUND: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nId: i1\r\nSeal: s\r\nX-A: 1\r\nContent-Length: 12\r\n\r\nid:1\ndata:a\n\n",
    "HTTP/1.1 200 OK\r\nId: i1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid:1\nd\r\n7\r\nata:a\n\n\r\n0\r\nX-B: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: i1\r\nSeal: s\r\n\r\nid:1\ndata:a\n\n",
    "HTTP/1.0 200 OK\r\nId: i1\r\nSeal: s\r\nContent-Length: 12\r\n\r\nid:1\ndata:a\n\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nId: i1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 204 No Content\r\nId: i1\r\nSeal: s\r\n\r\n",
];
/// Bytes by which parsers differ.
const BYTES: &[u8] = b"\0\x01\t\n\r :;,=0159aA+-/\x7f\x80\xff";
/// The fields that a host sets or removes.
const OWN_FIELDS: [&str; 4] = [
    "connection",
    "keep-alive",
    "content-length",
    "transfer-encoding",
];

/// Changes one to three places of an answer.
fn mutate(random: &mut Rng, sound: &str) -> Vec<u8> {
    let mut bytes = sound.as_bytes().to_vec();
    for _ in 0..random.usize(1..=3) {
        let at = random.usize(..bytes.len());
        let byte = BYTES[random.usize(..BYTES.len())];
        match random.u8(..6) {
            0 | 1 => bytes[at] = byte,
            2 => bytes.insert(at, byte),
            3 if bytes.len() > 1 => _ = bytes.remove(at),
            3 | 4 => {
                let piece = bytes[at..(at + 12).min(bytes.len())].to_vec();
                bytes.splice(at..at, piece);
            }
            _ => bytes.truncate(at.max(1)),
        }
    }
    bytes
}

/// Reads what a caller gets of these bytes, to the end of its connection.
fn bytes_at_caller(upstream: &'static [u8], streams: bool) -> Vec<u8> {
    let (sender, receiver) = smol::channel::bounded(1);
    on_site(|site| async move {
        site.apply_route(Route {
            streams,
            ..route(Repeat::Once)
        })
        .await;
        site.start_upstream("u1", vec![vec![WriteBytes(upstream), Close]])
            .await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        let mut bytes = Vec::new();
        while let Ok(piece) = caller.0.read_some(u64::MAX).await {
            bytes.extend(piece);
        }
        sender.try_send(bytes).expect("there is room");
    });
    receiver.try_recv().expect("the bytes")
}

// Guards against bytes of a broken answer that reach a caller, and against those of a sound one that do
// not reach it unchanged.
#[test]
fn a_caller_gets_exactly_the_upstreams_answer_or_none() {
    let mut passed_on = 0;
    for seed in 0..SEEDS {
        let mut random = Rng::with_seed(seed);
        let sound = SOUND[random.usize(..SOUND.len())];
        let streams = random.bool();
        let sent: &'static [u8] = mutate(&mut random, sound).leak();
        let got = bytes_at_caller(sent, streams);
        let case = format!(
            "seed {seed}, streams {streams}: \"{}\" became \"{}\"",
            sent.escape_ascii(),
            got.escape_ascii()
        );
        let Some(answer) = reference_answer::read(&got) else {
            // The answer is cut, which its caller can see; it is never empty.
            assert!(!got.is_empty(), "{case}");
            continue;
        };
        if !answer.fields.iter().any(|(name, _)| name == "seal") {
            assert!(answer.status >= 500, "{case}");
            continue;
        }
        passed_on += 1;
        let Some(expected) = reference_answer::read(sent) else {
            panic!("no answer was passed on as one; {case}");
        };
        assert_eq!(answer.status, expected.status, "{case}");
        assert_eq!(answer.body, expected.body, "{case}");
        let end_to_end = |(name, _): &&(String, Vec<u8>)| !OWN_FIELDS.contains(&&**name);
        let got_fields: Vec<_> = answer.fields.iter().filter(end_to_end).collect();
        let sent_fields: Vec<_> = expected.fields.iter().filter(end_to_end).collect();
        assert_eq!(got_fields, sent_fields, "{case}");
    }
    assert!(passed_on > 0);
    println!("{passed_on} of {SEEDS} were passed on");
}
