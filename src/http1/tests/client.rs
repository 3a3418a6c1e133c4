//! Calls that may write only while a permit holds, at peers that accept late or stand still.

use crate::http1::client::{Call, CallAnswer, CallError, Client};
use crate::http1::write_permit::{WritePermit, WriteRight};
use crate::http1::{Connection, Target};
use crate::prelude::*;
use crate::test_support::broken_answers::{
    CHUNKS, CODED_IN_HTTP_10, FIELD_LINES, FRAMINGS, LINE_ENDS, STATUSES, SWITCHES,
};
use crate::test_support::early_upstream::{self, BUFFERED_UPLOADS_BYTES, End, UPLOAD_BYTES};
use futures_lite::{AsyncReadExt, future};
use rustix::net::{AddressFamily, SocketType, sockopt};
use smol::Async;
use smol::block_on;
use smol::net::TcpStream;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

/// The receive buffer of a peer that stands still.
const SMALL_BUFFER_BYTES: usize = 4 << 10;
/// A body that the sender's kernel takes as a whole, and a small receive buffer doesn't.
const HELD_BACK_BYTES: usize = 24 << 10;
/// A body that no socket buffer takes as a whole.
const ENDLESS_BYTES: usize = 64 << 20;
/// The time-out of calls that are given up by it.
const SHORT_MS: Millis = Millis(200);
/// The time-out of calls that end otherwise.
const LONG_MS: Millis = Millis(5_000);
/// How long a connection attempt lasts before the queue of its listener counts as full.
const QUEUE_FULL_MS: Millis = Millis(100);

/// A listener with a queue for one connection and small receive buffers.
struct Peer {
    listener: Async<TcpListener>,
    address: SocketAddr,
}

impl Peer {
    fn bind() -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
        let socket = socket.expect("a socket");
        sockopt::set_socket_recv_buffer_size(&socket, SMALL_BUFFER_BYTES).expect("a buffer");
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        rustix::net::bind(&socket, &any).expect("a free port");
        rustix::net::listen(&socket, 0).expect("a listener");
        let listener = Async::new(TcpListener::from(socket)).expect("a listener");
        let address = listener.get_ref().local_addr().expect("an address");
        Self { listener, address }
    }

    async fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        stream.into()
    }

    /// Fills the queue with connections, so that further ones are not opened for now.
    fn fill_queue(&self) -> Vec<std::net::TcpStream> {
        let timeout = QUEUE_FULL_MS.to_duration();
        let open = || std::net::TcpStream::connect_timeout(&self.address, timeout).ok();
        std::iter::from_fn(open).collect()
    }
}

/// What a peer read of a connection until its end.
#[derive(Debug)]
struct Received {
    bytes: usize,
    /// Whether the connection ended by a reset.
    is_reset: bool,
}

async fn read_to_end(mut stream: TcpStream) -> Received {
    let mut received = Received {
        bytes: 0,
        is_reset: false,
    };
    let mut piece = vec![0; 64 << 10];
    loop {
        match stream.read(&mut piece).await {
            Ok(0) => return received,
            Ok(length) => received.bytes += length,
            Err(error) => {
                received.is_reset = error.kind() == ErrorKind::ConnectionReset;
                return received;
            }
        }
    }
}

fn call(body_bytes: usize) -> Call<'static> {
    Call {
        method: "POST",
        target: Target::new("/"),
        headers: Vec::new(),
        body: vec![b'x'; body_bytes],
    }
}

/// Returns the permit that holds while `holds` is set.
fn permit(holds: &Cell<bool>) -> WritePermit<'_> {
    WritePermit::new(|| {
        holds.get().then_some(WriteRight {
            at: Millis(1),
            left_ms: Millis(2),
        })
    })
}

fn is_withdrawn(answer: &Result<CallAnswer, CallError>) -> bool {
    matches!(answer, Err(CallError::Withdrawn))
}

fn is_timed_out(answer: &Result<CallAnswer, CallError>) -> bool {
    matches!(answer, Err(CallError::TimedOut))
}

// Guards against a request whose permit was looked at before its connection was open, and which is
// written after the permit has ended.
#[test]
fn a_permit_that_ends_while_the_connection_is_opened_lets_no_byte_out() {
    let peer = Peer::bind();
    let queued = peer.fill_queue();
    let holds = Cell::new(true);
    let permit = permit(&holds);
    let client = Client::new(peer.address);
    let request = call(10);
    block_on(async {
        let mut calling = Box::pin(client.call_while(&request, LONG_MS, &permit));
        assert!(future::poll_once(&mut calling).await.is_none());
        holds.set(false);
        let receive = async {
            for _ in &queued {
                peer.accept().await;
            }
            read_to_end(peer.accept().await).await
        };
        let (answer, received) = future::zip(calling, receive).await;
        assert_eq!(received.bytes, 0);
        assert!(is_withdrawn(&answer), "{answer:?}");
    });
    assert_eq!(permit.first_write(), None);
}

// Guards against bytes that the kernel goes on sending after the call was given up: the peer would
// carry the request out when it reads on.
#[test]
fn a_call_that_is_given_up_is_never_whole_at_a_peer_that_stood_still() {
    let peer = Peer::bind();
    let holds = Cell::new(true);
    let permit = permit(&holds);
    let client = Client::new(peer.address);
    let request = call(HELD_BACK_BYTES);
    let (answer, received) = block_on(async {
        let answer = client.call_while(&request, SHORT_MS, &permit).await;
        (answer, read_to_end(peer.accept().await).await)
    });
    assert!(is_timed_out(&answer), "{answer:?}");
    assert!(received.is_reset, "{received:?}");
    assert!(received.bytes < HELD_BACK_BYTES, "{received:?}");
    assert!(permit.first_write().is_some());
}

// Guards against the same at a call whose future is dropped.
#[test]
fn a_call_that_is_dropped_is_never_whole_at_a_peer_that_stood_still() {
    let peer = Peer::bind();
    let holds = Cell::new(true);
    let permit = permit(&holds);
    let client = Client::new(peer.address);
    let request = call(HELD_BACK_BYTES);
    let received = block_on(async {
        let calling = async {
            let answer = client.call_while(&request, LONG_MS, &permit).await;
            panic!("the peer doesn't answer: {answer:?}");
        };
        let accepted = async {
            let stream = peer.accept().await;
            stream.peek(&mut [0]).await.expect("a byte");
            stream
        };
        let stream = future::or(calling, accepted).await;
        read_to_end(stream).await
    });
    assert!(received.is_reset, "{received:?}");
    assert!(received.bytes < HELD_BACK_BYTES, "{received:?}");
}

// Guards against the rest of a request that is written after the permit has ended, when the peer
// takes bytes again.
#[test]
fn a_permit_that_ends_during_a_write_stops_it() {
    let peer = Peer::bind();
    let holds = Cell::new(true);
    let permit = permit(&holds);
    let client = Client::new(peer.address);
    let request = call(ENDLESS_BYTES);
    let (answer, received) = block_on(async {
        let receive = async {
            let stream = peer.accept().await;
            stream.peek(&mut [0]).await.expect("a byte");
            holds.set(false);
            read_to_end(stream).await
        };
        future::zip(client.call_while(&request, LONG_MS, &permit), receive).await
    });
    assert!(is_withdrawn(&answer), "{answer:?}");
    assert!(received.is_reset, "{received:?}");
    assert!(received.bytes < ENDLESS_BYTES, "{received:?}");
    assert!(permit.first_write().is_some());
}

// Guards against a pause of the process between the look at the permit and the write.
#[test]
fn a_permit_that_has_ended_right_after_the_write_aborts_the_call() {
    let peer = Peer::bind();
    let looks = Cell::new(0);
    let permit = WritePermit::new(|| {
        looks.set(looks.get() + 1);
        (looks.get() == 1).then_some(WriteRight {
            at: Millis(1),
            left_ms: Millis(2),
        })
    });
    let client = Client::new(peer.address);
    let request = call(10);
    let (answer, received) = block_on(async {
        let answer = client.call_while(&request, SHORT_MS, &permit).await;
        (answer, read_to_end(peer.accept().await).await)
    });
    assert!(is_withdrawn(&answer), "{answer:?}");
    assert!(received.is_reset, "{received:?}");
}

// Guards against a pool that gives out the connection of a call that was given up.
#[test]
fn the_next_call_after_one_that_was_given_up_opens_a_connection() {
    let peer = Peer::bind();
    let holds = Cell::new(true);
    let client = Client::new(peer.address);
    let request = call(10);
    block_on(async {
        let given_up = permit(&holds);
        let answer = client.call_while(&request, SHORT_MS, &given_up).await;
        assert!(is_timed_out(&answer), "{answer:?}");
        let received = read_to_end(peer.accept().await).await;
        assert!(received.is_reset, "{received:?}");
        let serve = async {
            let mut connection = Connection::new(peer.accept().await);
            for _ in 0..2 {
                let head = connection.read_request_head(16 << 10).await;
                assert!(matches!(head, Ok(Some(_))));
                connection.read_some(10).await.expect("a body");
                let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                connection.write(ok).await.expect("an open connection");
            }
        };
        let calls = async {
            for _ in 0..2 {
                let next = permit(&holds);
                let answer = client.call_while(&request, LONG_MS, &next).await;
                assert_eq!(answer.expect("an answer").status, 200);
            }
        };
        future::zip(serve, calls).await;
    });
}

/// Makes a call with a long body to a peer that answers early.
fn call_early(answer: &'static str, end: End) -> Result<CallAnswer, CallError> {
    call_early_with(UPLOAD_BYTES, answer, end)
}

fn call_early_with(
    body_bytes: usize,
    answer: &'static str,
    end: End,
) -> Result<CallAnswer, CallError> {
    block_on(async {
        let (listener, address) = early_upstream::listen().await;
        let client = Client::new(address);
        let upload = call(body_bytes);
        let called = client.call(&upload, LONG_MS);
        let serve = async {
            early_upstream::serve(listener, answer, end).await;
            future::pending().await
        };
        future::or(called, serve).await
    })
}

// Guards against a part of an answer that counts as complete because its connection ended while the call
// was still being written.
#[test]
fn an_answer_without_length_to_a_part_of_a_call_is_never_complete() {
    for end in [End::Reset, End::ShutDownThenReset] {
        let answer = call_early("HTTP/1.1 200 OK\r\n\r\nhalf of the bo", end);
        assert!(matches!(answer, Err(CallError::Read { .. })), "{answer:?}");
    }
}

// Guards against a part of an answer that counts as complete because the peer ended its direction of the
// connection before it reset it, with a call unread that was written as a whole.
#[test]
fn an_answer_without_length_to_a_call_that_is_reset_after_its_end_is_never_complete() {
    for bytes in BUFFERED_UPLOADS_BYTES {
        let half = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
        let answer = call_early_with(bytes, half, End::ShutDownThenReset);
        assert!(matches!(answer, Err(CallError::Read { .. })), "{answer:?}");
    }
}

// Guards against a whole early answer that is lost because the rest of the call could not be written.
#[test]
fn a_whole_answer_to_a_part_of_a_call_is_read() {
    for end in [End::Reset, End::ShutDownThenReset] {
        let refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\n\r\ntoo large";
        let answer = call_early(refusal, end).expect("an answer");
        assert_eq!((answer.status, &*answer.body), (413, &b"too large"[..]));
    }
}

// Guards against a broken answer that counts as the answer to a call to the store or an engine.
#[test]
fn a_broken_answer_is_no_answer_to_a_call() {
    let all = [
        STATUSES,
        FIELD_LINES,
        LINE_ENDS,
        SWITCHES,
        CODED_IN_HTTP_10,
        FRAMINGS,
        CHUNKS,
    ];
    for broken in all.into_iter().flatten() {
        let answer = call_early(broken, End::ShutDownThenReset);
        assert!(
            matches!(answer, Err(CallError::Read { .. })),
            "{broken:?}: {answer:?}"
        );
    }
}
