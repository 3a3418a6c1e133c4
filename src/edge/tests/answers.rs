//! Attempts and calls of the daemon at upstreams whose answers break the rules of HTTP, come early or
//! never end.

use crate::attempt::message::{Attempt, AttemptOutcome, Repeatable, RequestId, TargetKind};
use crate::clock::Clock;
use crate::edge::EngineControl;
use crate::edge::engine::HttpEngines;
use crate::edge::event_loop_handle::EventLoopHandle;
use crate::edge::upstream::{OutgoingRequest, UpstreamCall};
use crate::http1::{BodyReader, Connection, Target};
use crate::placement::message::OrderAnswer;
use crate::prelude::*;
use crate::table::message::Urgency;
use crate::test_support::broken_answers::{
    CHUNKS, CODED_IN_HTTP_10, FIELD_LINES, FRAMINGS, LINE_ENDS, STATUSES, SWITCHES,
};
use crate::test_support::early_upstream::{self, BUFFERED_UPLOADS_BYTES, End, UPLOAD_BYTES};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use trillium::Method;

/// The deadline of the attempts, longer than any test needs.
const DEADLINE_MS: Millis = Millis(5_000);
/// Within this time an answer without end is given up.
const GIVEN_UP_MS: Millis = Millis(2_000);
/// The longest answer that the attempts read.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// What an upstream writes after it has read a request.
#[derive(Clone)]
pub enum Script {
    /// This, and then it closes the connection.
    Once(&'static str),
    /// These bytes, and then it closes the connection.
    OnceBytes(Arc<[u8]>),
    /// The first, and then the second again and again until the connection is closed.
    Endless(&'static str, &'static str),
}

async fn answer(stream: TcpStream, script: Script) {
    let mut connection = Connection::new(stream);
    let Ok(Some(head)) = connection.read_request_head(16 << 10).await else {
        return;
    };
    let mut reader = BodyReader::new(head.framing);
    while let Ok(Some(_)) = reader.next(&mut connection).await {}
    // The end of the connection shows when the upstream is left.
    match script {
        Script::Once(text) => {
            let _is_written = connection.write(text.as_bytes()).await;
        }
        Script::OnceBytes(bytes) => {
            let _is_written = connection.write(&bytes).await;
        }
        Script::Endless(first, rest) => {
            let piece = rest.repeat((16 << 10) / rest.len());
            let mut written = connection.write(first.as_bytes()).await;
            while written.is_ok() {
                written = connection.write(piece.as_bytes()).await;
            }
        }
    }
}

/// Starts an upstream that answers each request by a script.
pub async fn start_upstream(script: Script) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(answer(stream, script.clone())).detach();
        }
    })
    .detach();
    address
}

/// Returns an attempt at an upstream with this address, with a body of this length.
pub fn attempt_at(address: SocketAddr, body_bytes: usize) -> UpstreamCall {
    let clock = Clock::start();
    let now = clock.now();
    UpstreamCall {
        attempt: Attempt {
            request: RequestId(1),
            number: 1,
            upstream: "u1".into(),
            address,
            begin_by: now + DEADLINE_MS,
            deadline_at: now + DEADLINE_MS,
            first_byte_ms: DEADLINE_MS,
            urgency: Urgency::Normal,
        },
        outgoing: OutgoingRequest {
            method: Method::Post,
            path: Target::new("/a/1"),
            body: vec![b'a'; body_bytes].into(),
            content_type: "text/plain".into(),
            request_id: "r1".into(),
            target: TargetKind::Service,
            repeatable: Repeatable::No,
            operation_id: None,
        },
        event_loop: EventLoopHandle::new().0,
        clock,
    }
}

/// Makes an attempt and reads its answer to the end; returns the status and the body.
pub async fn read_answer(call: &UpstreamCall) -> Result<(u16, Vec<u8>), AttemptOutcome> {
    let started = call.start().await?;
    let status = started.status;
    let body = call.read_complete(started, MAX_ANSWER_BYTES).await?;
    Ok((status, body))
}

// Guards against an answer that breaks the rules of HTTP and that the daemon's callers get as an answer.
#[test]
fn a_broken_answer_is_no_answer_to_an_attempt() {
    let all = [
        STATUSES,
        FIELD_LINES,
        LINE_ENDS,
        SWITCHES,
        CODED_IN_HTTP_10,
        FRAMINGS,
        CHUNKS,
    ];
    let mut passed_on = Vec::new();
    for broken in all.into_iter().flatten() {
        smol::block_on(async {
            let address = start_upstream(Script::Once(broken)).await;
            let answered = read_answer(&attempt_at(address, 3)).await;
            if !matches!(answered, Err(AttemptOutcome::Unknown(_))) {
                passed_on.push((broken, answered));
            }
        });
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

// Guards against an order that counts as done by an answer that is none.
#[test]
fn a_broken_answer_is_no_answer_to_an_order() {
    for broken in [
        "HTTP/1.1 200 OK\nContent-Length: 16\n\n{\"state\":\"done\"}",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"state\":\"done\"}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n 10\r\n{\"state\":\"done\"}\r\n0\r\n\r\n",
    ] {
        smol::block_on(async {
            let address = start_upstream(Script::Once(broken)).await;
            let state = HttpEngines.order_state(address, Offset(1)).await;
            assert!(
                matches!(state, OrderAnswer::Lost(_)),
                "{broken:?}: {state:?}"
            );
        });
    }
}

// Guards against a part of an answer without length that counts as complete because its connection ended
// while the request was still being written.
#[test]
fn an_answer_without_length_to_a_part_of_an_attempt_is_never_complete() {
    for end in [End::Reset, End::ShutDownThenReset] {
        smol::block_on(async {
            let (listener, address) = early_upstream::listen().await;
            let half = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
            smol::spawn(early_upstream::serve(listener, half, end)).detach();
            let answered = read_answer(&attempt_at(address, UPLOAD_BYTES)).await;
            assert!(
                matches!(answered, Err(AttemptOutcome::Unknown(_))),
                "{end:?}: {answered:?}"
            );
        });
    }
}

// Guards against a part of an answer without length that counts as complete because the upstream ended its
// direction of the connection before it reset it, with a request unread that was written as a whole.
#[test]
fn an_answer_without_length_that_is_reset_after_its_end_is_never_complete() {
    for bytes in BUFFERED_UPLOADS_BYTES {
        smol::block_on(async {
            let (listener, address) = early_upstream::listen().await;
            let half = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
            let upstream = early_upstream::serve(listener, half, End::ShutDownThenReset);
            smol::spawn(upstream).detach();
            let answered = read_answer(&attempt_at(address, bytes)).await;
            assert!(
                matches!(answered, Err(AttemptOutcome::Unknown(_))),
                "{bytes}: {answered:?}"
            );
        });
    }
}

// Guards against a whole early answer that is lost because the rest of the request could not be written.
#[test]
fn a_whole_answer_to_a_part_of_an_attempt_is_read() {
    for end in [End::Reset, End::ShutDownThenReset] {
        smol::block_on(async {
            let (listener, address) = early_upstream::listen().await;
            let refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\n\r\ntoo large";
            smol::spawn(early_upstream::serve(listener, refusal, end)).detach();
            let answered = read_answer(&attempt_at(address, UPLOAD_BYTES)).await;
            assert_eq!(answered, Ok((413, b"too large".to_vec())), "{end:?}");
        });
    }
}

// Guards against memory that grows with an answer without end.
#[test]
fn an_answer_without_end_is_given_up() {
    for script in [
        Script::Endless("", "a"),
        Script::Endless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
        Script::Endless("HTTP/1.1 200 OK\r\nX-A: ", "b"),
        Script::Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Script::Endless("HTTP/1.1 200 OK\r\n\r\n", "a"),
        Script::Endless(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "8\r\nabcdefgh\r\n",
        ),
        Script::Endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a"),
        Script::Endless(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-A: b\r\n",
        ),
    ] {
        smol::block_on(async {
            let address = start_upstream(script).await;
            let call = attempt_at(address, 3);
            let began_at = call.clock.now();
            let answered = read_answer(&call).await;
            let Err(AttemptOutcome::Unknown(why)) = answered else {
                panic!("{answered:?}");
            };
            let took_ms = call.clock.now().since(began_at);
            assert!(took_ms < GIVEN_UP_MS, "{why}: {took_ms:?}");
        });
    }
}
