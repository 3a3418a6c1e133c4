//! A client for calls to other HTTP services, with complete requests, complete answers and a pool
//! of idle connections; also the TCP options and the time-outs of all connections.

use crate::http1::head::write_request_head;
use crate::http1::write_permit::WritePermit;
use crate::http1::{
    BodyReader, Connection, HeadError, Headers, ReadError, ResponseHead, Target, Written,
    write_while_reading,
};
use crate::prelude::*;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;
use snafu::Snafu;
use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// Longest head of an answer.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest body of an answer to a call unless the client is given another bound; pages of the log have
/// up to 2 MiB.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest body of an answer to another call that is read to reach the answer to this one.
const MAX_FOREIGN_BODY_BYTES: usize = 64 << 10;
/// Most answers that are skipped before the answer to a call: interim ones and those to other calls.
const MAX_SKIPPED_ANSWERS: u32 = 4;
/// Most idle connections to one address; usually no more than three calls run at the same time.
const MAX_IDLE: usize = 4;
/// Time for which sent data may be unacknowledged before the kernel closes a connection. A peer
/// that lost power or is behind a network partition sends no reset. It also decides when keep-alive
/// probes give up, whatever their count, and counts from the last packet of the peer; so it has room
/// for [`KEEP_ALIVE_IDLE`], a silence of two seconds and one [`KEEP_ALIVE_INTERVAL`].
const TCP_USER_TIMEOUT_MS: u32 = 4_000;

/// Time without data after which the kernel sends the first keep-alive probe; the kernel takes
/// whole seconds. An unreachable peer is detected within about [`TCP_USER_TIMEOUT_MS`], while a
/// reachable one that sends no data keeps its connection.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes, in whole seconds too.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the kernel's buffer for bytes that are sent on a connection to an upstream. A request counts
/// as written when its last byte is in this buffer; with the kernel's own size, which grows to megabytes,
/// a request would count as written of which the upstream has received little.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Why a call has no complete answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The head of the request would break a rule, so nothing was sent.
    #[snafu(display("the call is no valid request: {source}"))]
    Invalid {
        /// The rule.
        source: HeadError,
    },
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// The request could not be sent completely.
    #[snafu(display("cannot send: {source}"))]
    Send {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// The answer ended early or is malformed.
    #[snafu(display("cannot read the answer: {source}"))]
    Read {
        /// The error from reading the head or the body.
        source: ReadError,
    },
    /// The body of the answer is longer than the client allows.
    #[snafu(display("the answer is longer than allowed"))]
    TooLong,
    /// The answer was not complete within the time-out of the call.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The permit to write ended before all bytes were written. Nothing was sent if
    /// [`WritePermit::first_write`] is none.
    #[snafu(display("the permit to write ended"))]
    Withdrawn,
}

/// A complete request.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// The HTTP method, in upper case.
    pub method: &'a str,
    /// The path and query.
    pub target: Target,
    /// The header lines without `Host` and `Content-Length`, which the client adds.
    pub headers: Vec<(&'a str, String)>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// The status code.
    pub status: u16,
    /// The header lines, in their order.
    pub headers: Headers,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

/// A client for calls to one address, with a pool of idle connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    /// The header with the id of a call, where answers repeat it.
    id_header: Option<&'static str>,
    max_body_bytes: usize,
    idle: RefCell<Vec<Connection<TcpStream>>>,
}

/// A connection, and whether it has carried an earlier call.
struct Taken {
    connection: Connection<TcpStream>,
    is_reused: bool,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            id_header: None,
            max_body_bytes: MAX_BODY_BYTES,
            idle: RefCell::default(),
        }
    }

    /// Sends an id of its own with each call in this header. An answer with another id is skipped. One
    /// without an id counts only on a connection that has carried no other call, and that connection
    /// is not used again.
    pub fn with_ids(self, header: &'static str) -> Self {
        Self {
            id_header: Some(header),
            ..self
        }
    }

    /// Sets the longest body of an answer.
    pub fn with_max_body_bytes(self, max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            ..self
        }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the answer. The connection of a failed call is not used again. It
    /// is closed in the usual way, so the kernel may go on sending the request for
    /// [`TCP_USER_TIMEOUT_MS`] after the call was given up. That suits reads, and writes that take
    /// effect only in the state that their sender has seen. For all others see [`Self::call_while`].
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer within `timeout_ms`.
    pub async fn call(&self, call: &Call<'_>, timeout_ms: Millis) -> Result<CallAnswer, CallError> {
        with_timeout(timeout_ms, self.exchange(call, None))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends a request for which the sender needs a right that may end at any time, and waits for the
    /// answer. The permit is asked on the open connection right before each write and once after the
    /// last one, without a wait in between.
    ///
    /// A call that ends without an answer aborts its connection, also if its future is dropped or the
    /// process is killed: the peer gets a reset, and the kernel drops the bytes that it has not sent
    /// and no longer repeats those that were not acknowledged. What is left are bytes in transit, and
    /// those that the kernel of the peer has received: a peer that stands still may read them when it
    /// goes on. So a request that fits into its receive buffer may be read as a whole, before the
    /// reset is seen.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer within `timeout_ms`, or that the permit ended.
    pub async fn call_while(
        &self,
        call: &Call<'_>,
        timeout_ms: Millis,
        permit: &WritePermit<'_>,
    ) -> Result<CallAnswer, CallError> {
        with_timeout(timeout_ms, self.exchange(call, Some(permit)))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(
        &self,
        call: &Call<'_>,
        permit: Option<&WritePermit<'_>>,
    ) -> Result<CallAnswer, CallError> {
        let id = self
            .id_header
            .map(|_| format!("{:016x}", fastrand::u64(..)));
        let request = self
            .request_bytes(call, id.as_deref())
            .map_err(|source| CallError::Invalid { source })?;
        let mut taken = self.take_or_connect().await?;
        let stream = taken.connection.stream().clone();
        let (own, written) = match permit {
            Some(permit) => {
                write_while(&taken.connection, &request, permit).await?;
                let own = self.read_own_head(&mut taken, id.as_deref()).await;
                own.map(|own| (own, Written::Whole))
            }
            None => {
                let read = self.read_own_head(&mut taken, id.as_deref());
                write_while_reading(&stream, &request, read).await
            }
        }
        .map_err(|source| CallError::Read { source })?;
        let OwnHead { head, may_be_kept } = own;
        let reader = BodyReader::of_answer(head.framing, written);
        let body = read_body(reader, &mut taken.connection, self.max_body_bytes).await?;
        // A connection that cannot be set to close as usual is not used again.
        let closes_as_usual =
            permit.is_none() || set_abort_on_close(&taken.connection, false).is_ok();
        if may_be_kept && closes_as_usual && written != Written::Part {
            self.return_to_pool(taken.connection);
        }
        Ok(CallAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Takes an idle connection, or opens one. An idle one on which bytes wait, or that has ended, is
    /// discarded: the bytes belong to no answer.
    async fn take_or_connect(&self) -> Result<Taken, CallError> {
        loop {
            let pooled = self.idle.borrow_mut().pop();
            let Some(mut connection) = pooled else {
                let opened = connect(self.address).await;
                return Ok(Taken {
                    connection: opened.map_err(|source| CallError::Connect { source })?,
                    is_reused: false,
                });
            };
            if connection.is_quiet().await {
                return Ok(Taken {
                    connection,
                    is_reused: true,
                });
            }
        }
    }

    /// Reads answers until the head of the one to the call with this id.
    async fn read_own_head(
        &self,
        taken: &mut Taken,
        id: Option<&str>,
    ) -> Result<OwnHead, ReadError> {
        let mut has_skipped = false;
        for _ in 0..MAX_SKIPPED_ANSWERS {
            let connection = &mut taken.connection;
            let head = connection.read_response_head(MAX_HEAD_BYTES, false).await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let stated = self.id_header.and_then(|name| head.headers.text(name));
            let is_own = match stated {
                Some(_) => stated == id,
                None => id.is_none() || !taken.is_reused,
            };
            if is_own {
                let is_told_apart = id.is_none() || stated.is_some();
                return Ok(OwnHead {
                    may_be_kept: head.keep_alive && is_told_apart && !has_skipped,
                    head,
                });
            }
            has_skipped = true;
            let reader = BodyReader::new(head.framing);
            skip_body(reader, connection, MAX_FOREIGN_BODY_BYTES).await?;
        }
        Err(ReadError::NotOwn)
    }

    fn request_bytes(&self, call: &Call<'_>, id: Option<&str>) -> Result<Vec<u8>, HeadError> {
        let mut headers = Headers::default();
        headers.push("Host", &self.address.to_string());
        if let (Some(name), Some(id)) = (self.id_header, id) {
            headers.push(name, id);
        }
        for (name, value) in &call.headers {
            headers.push(name, value);
        }
        headers.push("Content-Length", &call.body.len().to_string());
        let mut bytes = write_request_head(call.method, call.target.as_str(), &headers)?;
        bytes.extend_from_slice(&call.body);
        Ok(bytes)
    }

    fn return_to_pool(&self, connection: Connection<TcpStream>) {
        let mut idle = self.idle.borrow_mut();
        if !connection.has_buffered_bytes() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

/// The head of the answer to a call.
struct OwnHead {
    head: ResponseHead,
    /// Whether the connection may carry another call after the answer.
    may_be_kept: bool,
}

/// Sets whether closing a connection resets it and drops the bytes that the peer has not
/// acknowledged. The kernel also closes it when the process is killed.
fn set_abort_on_close(connection: &Connection<TcpStream>, aborts: bool) -> std::io::Result<()> {
    let linger = aborts.then_some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(connection.stream(), linger)?;
    Ok(())
}

/// Writes all bytes to a connection that is aborted if it is closed. Asks the permit in the same poll
/// right before each write, and once after the last one.
async fn write_while(
    connection: &Connection<TcpStream>,
    bytes: &[u8],
    permit: &WritePermit<'_>,
) -> Result<(), CallError> {
    set_abort_on_close(connection, true).map_err(|source| CallError::Send { source })?;
    let mut stream = connection.stream().clone();
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = poll_fn(|context| {
            let Some(right) = permit.right() else {
                return Poll::Ready(Err(CallError::Withdrawn));
            };
            let written = Pin::new(&mut stream).poll_write(context, rest);
            if let Poll::Ready(Ok(1..)) = written {
                permit.note_write(right);
            }
            written.map_err(|source| CallError::Send { source })
        })
        .await?;
        if length == 0 {
            return Err(CallError::Send {
                source: std::io::ErrorKind::WriteZero.into(),
            });
        }
        rest = &rest[length..];
    }
    // The process may have stood still between the last look and the write.
    permit.right().map(|_| ()).ok_or(CallError::Withdrawn)
}

async fn read_body(
    mut reader: BodyReader,
    connection: &mut Connection<TcpStream>,
    max_bytes: usize,
) -> Result<Vec<u8>, CallError> {
    let mut body = Vec::new();
    let read = |source| CallError::Read { source };
    while let Some(piece) = reader.next(connection).await.map_err(read)? {
        body.extend_from_slice(&piece);
        if body.len() > max_bytes {
            return Err(CallError::TooLong);
        }
    }
    Ok(body)
}

/// Reads the body of an answer to another request to its end.
///
/// # Errors
///
/// Returns [`ReadError::NotOwn`] for a body of more than `max_bytes`, and why the connection broke.
pub async fn skip_body<S: AsyncRead + AsyncWrite + Unpin>(
    mut reader: BodyReader,
    connection: &mut Connection<S>,
    max_bytes: usize,
) -> Result<(), ReadError> {
    let mut skipped_bytes = 0;
    while let Some(piece) = reader.next(connection).await? {
        skipped_bytes += piece.len();
        if skipped_bytes > max_bytes {
            return Err(ReadError::NotOwn);
        }
    }
    Ok(())
}

/// Opens a TCP connection to an upstream with the options of [`set_socket_options`] and a bounded send
/// buffer.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    bound_send_buffer(&stream)?;
    Ok(Connection::to_upstream(stream))
}

/// Bounds the bytes that the kernel takes for a connection before the upstream has received them.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn bound_send_buffer(stream: &TcpStream) -> std::io::Result<()> {
    rustix::net::sockopt::set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES)?;
    Ok(())
}

/// Sets the TCP options of a host's connections: small writes are sent without delay, and an
/// unreachable peer is detected by a user time-out and by keep-alive probes.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    rustix::net::sockopt::set_socket_keepalive(stream, true)?;
    rustix::net::sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_IDLE)?;
    rustix::net::sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    Ok(())
}

/// Runs a future with a time-out. Drops it and returns `None` if the time-out passes first.
pub async fn with_timeout<T>(timeout_ms: Millis, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(timeout_ms.to_duration()).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timer).await
}
