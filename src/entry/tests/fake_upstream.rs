//! Fake upstreams that answer each request by a script and record the requests that reach them.

use super::fake_platform::read_parts;
use crate::clock::Clock;
use crate::http1::{BodyReader, Connection, RequestHead};
use crate::prelude::*;
use event_listener::Event;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// For how long an upstream that crashes slowly still accepts connections.
const SLOW_CRASH: Duration = Duration::from_millis(15);

/// The bytes that an endless answer writes at once.
const ENDLESS_PIECE_BYTES: usize = 16 << 10;
/// The pause between two pieces of an answer that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const FIRST_EVENT: &str = "d\r\nid:1\ndata:a\n\n\r\n";
const SECOND_EVENT: &str = "d\r\nid:2\ndata:b\n\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes; `{id}` stands for the request's id.
    Write(&'static str),
    /// Writes bytes as they are.
    WriteBytes(&'static [u8]),
    /// Writes text again and again until the connection is closed.
    WriteEndlessly(&'static str),
    /// Writes a text with pauses until the connection is closed.
    Trickle(&'static str),
    /// Writes once more what was written in answer to the previous request of the connection; nothing
    /// on a new one.
    RepeatPrevious,
    /// Streams the first of two events and closes the connection once the test sets the flag; a request
    /// that goes on after an event gets the second one.
    Stream(Rc<Cell<bool>>),
    /// Waits until the test sets the flag.
    Wait(Rc<Cell<bool>>),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the upstream: it closes every connection and accepts no more.
    Crash,
    /// Ends the upstream in the same way if the prompt of the request has this part.
    CrashOnPart(u64),
    /// As [`Self::CrashOnPart`], but the upstream goes on to accept connections for a moment, as the
    /// kernel does for a process that is ending.
    CrashSlowlyOnPart(u64),
    /// Writes nothing until the host closes the connection.
    Hang,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The head, as the host sent it.
    pub head: RequestHead,
    /// The complete body, without transfer coding.
    pub body: Vec<u8>,
    /// When the end of the body had been read.
    pub at: Millis,
}

/// A running fake upstream.
pub struct FakeUpstream {
    /// The loopback address at which it listens.
    pub address: SocketAddr,
    /// The requests that reached it, in the order of their arrival.
    pub arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// The number of connections that the host closed during a [`Step::Hang`] or an endless step.
    pub disconnects: Rc<RefCell<usize>>,
    /// Whether a step ended it.
    pub has_crashed: Rc<Cell<bool>>,
}

impl FakeUpstream {
    /// Starts an upstream. Each request takes the next script; the last script is used again for
    /// all further requests.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a free port");
        let upstream = Self {
            address: listener.local_addr().expect("an address"),
            arrivals: Rc::default(),
            disconnects: Rc::default(),
            has_crashed: Rc::default(),
        };
        let run = Run {
            arrivals: upstream.arrivals.clone(),
            disconnects: upstream.disconnects.clone(),
            has_crashed: upstream.has_crashed.clone(),
            scripts,
            crash: Rc::new(Event::new()),
            crashes_slowly: Rc::default(),
            clock: Clock::start(),
        };
        let tasks = executor.clone();
        let (crashed, crashes_slowly) = (run.crash.listen(), run.crashes_slowly.clone());
        let ended = async move {
            crashed.await;
            if crashes_slowly.get() {
                Timer::after(SLOW_CRASH).await;
            }
        };
        let accept = async move {
            let mut unserved = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                match run.has_crashed.get() {
                    true => unserved.push(stream),
                    false => tasks.spawn(run.clone().serve_until_crash(stream)).detach(),
                }
            }
        };
        let accept = futures_lite::future::or(accept, ended);
        executor.spawn(accept).detach();
        upstream
    }
}

/// The state that the connections of an upstream share.
#[derive(Clone)]
struct Run {
    arrivals: Rc<RefCell<Vec<Arrival>>>,
    disconnects: Rc<RefCell<usize>>,
    has_crashed: Rc<Cell<bool>>,
    scripts: Vec<Vec<Step>>,
    crash: Rc<Event>,
    crashes_slowly: Rc<Cell<bool>>,
    clock: Clock,
}

impl Run {
    async fn serve_until_crash(self, stream: TcpStream) {
        let crashed = self.crash.listen();
        futures_lite::future::or(self.serve(stream), crashed).await;
    }

    async fn serve(self, stream: TcpStream) {
        let Self {
            arrivals,
            disconnects,
            has_crashed,
            scripts,
            crash,
            crashes_slowly,
            clock,
        } = self;
        let mut connection = Connection::new(stream);
        let mut previous = Vec::new();
        while let Ok(Some(head)) = connection.read_request_head(16 << 10).await {
            let mut reader = BodyReader::new(head.framing);
            let mut body = Vec::new();
            while let Ok(Some(piece)) = reader.next(&mut connection).await {
                body.extend(piece);
            }
            let id = head.headers.text("Id").unwrap_or_default().to_string();
            let parts = read_parts(&head.headers);
            let goes_on = ["Last-Event-Id", "Resume-After"]
                .iter()
                .any(|name| head.headers.text(name).is_some());
            let nth = arrivals.borrow().len().min(scripts.len() - 1);
            let at = clock.now();
            arrivals.borrow_mut().push(Arrival { head, body, at });
            let mut written = Vec::new();
            for step in &scripts[nth] {
                match step {
                    Step::Write(text) => {
                        let text = text.replace("{id}", &id);
                        if connection.write(text.as_bytes()).await.is_err() {
                            return;
                        }
                        written.extend_from_slice(text.as_bytes());
                    }
                    Step::WriteBytes(bytes) => {
                        if connection.write(bytes).await.is_err() {
                            return;
                        }
                    }
                    Step::WriteEndlessly(text) => {
                        let piece = text.repeat(ENDLESS_PIECE_BYTES.div_ceil(text.len()));
                        while connection.write(piece.as_bytes()).await.is_ok() {
                            futures_lite::future::yield_now().await;
                        }
                        *disconnects.borrow_mut() += 1;
                        return;
                    }
                    Step::Trickle(text) => {
                        while connection.write(text.as_bytes()).await.is_ok() {
                            Timer::after(TRICKLE_PAUSE).await;
                        }
                        *disconnects.borrow_mut() += 1;
                        return;
                    }
                    Step::RepeatPrevious => {
                        if connection.write(&previous).await.is_err() {
                            return;
                        }
                    }
                    Step::Stream(may_break) => {
                        let (event, end) = match goes_on {
                            true => (SECOND_EVENT, LAST_CHUNK),
                            false => (FIRST_EVENT, ""),
                        };
                        let text = format!("{STREAM_HEAD}{event}{end}").replace("{id}", &id);
                        if connection.write(text.as_bytes()).await.is_err() {
                            return;
                        }
                        while !goes_on && !may_break.get() {
                            Timer::after(Duration::from_millis(1)).await;
                        }
                        if !goes_on {
                            return;
                        }
                    }
                    Step::Wait(may_go_on) => {
                        while !may_go_on.get() {
                            Timer::after(Duration::from_millis(1)).await;
                        }
                    }
                    Step::Close => return,
                    Step::Reset => {
                        let no_linger = Some(Duration::ZERO);
                        let reset =
                            rustix::net::sockopt::set_socket_linger(connection.stream(), no_linger);
                        reset.expect("the option is supported");
                        return;
                    }
                    Step::CrashOnPart(part) | Step::CrashSlowlyOnPart(part)
                        if !parts.iter().any(|one| one.id == *part) => {}
                    Step::Crash | Step::CrashOnPart(_) | Step::CrashSlowlyOnPart(_) => {
                        crashes_slowly.set(matches!(step, Step::CrashSlowlyOnPart(_)));
                        has_crashed.set(true);
                        crash.notify(usize::MAX);
                        return;
                    }
                    Step::Hang => {
                        while connection.read_more().await.is_ok() {}
                        *disconnects.borrow_mut() += 1;
                        return;
                    }
                }
            }
            previous = written;
        }
    }
}
