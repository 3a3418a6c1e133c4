//! A client for calls to other HTTP services, with complete requests, complete answers and a pool
//! of idle connections; also the TCP options and the time-outs of all connections.

use crate::http1::{BodyReader, Connection, Headers, ReadError};
use crate::prelude::*;
use smol::Timer;
use smol::net::TcpStream;
use snafu::Snafu;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest head of an answer.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest body of an answer to a call; pages of the log have up to 2 MiB.
const MAX_BODY_BYTES: usize = 16 << 20;
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

/// Why a call has no complete answer.
#[derive(Debug, Snafu)]
pub enum CallError {
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
    /// The body of the answer is longer than 16 MiB.
    #[snafu(display("the answer is longer than allowed"))]
    TooLong,
    /// The answer was not complete within the time-out of the call.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// A complete request.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// The HTTP method, in upper case.
    pub method: &'a str,
    /// The path and query.
    pub target: String,
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
    idle: RefCell<Vec<Connection<TcpStream>>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the answer. The connection of a failed call is not used again.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer within `timeout_ms`.
    pub async fn call(&self, call: &Call<'_>, timeout_ms: Millis) -> Result<CallAnswer, CallError> {
        with_timeout(timeout_ms, self.exchange(call))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, call: &Call<'_>) -> Result<CallAnswer, CallError> {
        let pooled = self.idle.borrow_mut().pop();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => connect(self.address)
                .await
                .map_err(|source| CallError::Connect { source })?,
        };
        connection
            .write(&self.request_bytes(call))
            .await
            .map_err(|source| CallError::Send { source })?;
        let read = |source| CallError::Read { source };
        let head = connection
            .read_response_head(MAX_HEAD_BYTES, false)
            .await
            .map_err(read)?;
        let mut reader = BodyReader::new(head.framing);
        let mut body = Vec::new();
        while let Some(piece) = reader.next(&mut connection).await.map_err(read)? {
            body.extend_from_slice(&piece);
            if body.len() > MAX_BODY_BYTES {
                return Err(CallError::TooLong);
            }
        }
        self.return_to_pool(connection, head.keep_alive);
        Ok(CallAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn request_bytes(&self, call: &Call<'_>) -> Vec<u8> {
        let Call { method, target, .. } = call;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in &call.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", call.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&call.body);
        bytes
    }

    fn return_to_pool(&self, connection: Connection<TcpStream>, keep_alive: bool) {
        let mut idle = self.idle.borrow_mut();
        if keep_alive && !connection.has_buffered_bytes() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

/// Opens a TCP connection with the options of [`set_socket_options`].
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(Connection::new(stream))
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
