//! Calls of other HTTP services: whole requests, whole answers, kept connections.

use crate::http1::{BodyReader, Connection, Headers, ReadError};
use crate::prelude::*;
use smol::Timer;
use smol::net::TcpStream;
use snafu::Snafu;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest head of an answer.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// The longest body of an answer to a call; pages of the log are up to 2 MiB.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Idle connections kept for each address; three calls run side by side at most times.
const MAX_IDLE: usize = 4;
/// How long bytes may stay unacknowledged before the kernel gives a connection up: a peer without power or
/// behind a partition sends no reset.
const UNACKNOWLEDGED_MS: u32 = 2_000;

/// How long a connection is silent before the kernel asks whether the other side is still there, and how often it asks
/// again, in whole seconds as the kernel takes them. A silent peer is found within some [`UNACKNOWLEDGED_MS`]; one that
/// is there but has nothing to say keeps its connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Why.
        source: std::io::Error,
    },
    /// The request could not be written whole.
    #[snafu(display("cannot send: {source}"))]
    Send {
        /// Why.
        source: std::io::Error,
    },
    /// The answer broke off or is malformed.
    #[snafu(display("cannot read the answer: {source}"))]
    Read {
        /// Why.
        source: ReadError,
    },
    /// The answer is longer than allowed.
    #[snafu(display("the answer is longer than allowed"))]
    TooLong,
    /// There was no whole answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// A whole request.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub target: String,
    /// Header lines besides the host and the length.
    pub headers: Vec<(&'a str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// The status.
    pub status: u16,
    /// The header lines.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// Calls one address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<Connection<TcpStream>>>,
}

impl Client {
    /// Makes a client of an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call. A connection whose call failed is not used again.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer within `timeout_ms`.
    pub async fn call(&self, call: &Call<'_>, timeout_ms: Millis) -> Result<CallAnswer, CallError> {
        within(timeout_ms, self.call_now(call))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn call_now(&self, call: &Call<'_>) -> Result<CallAnswer, CallError> {
        let kept = self.idle.borrow_mut().pop();
        let mut connection = match kept {
            Some(connection) => connection,
            None => open(self.address)
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
        self.keep(connection, head.keep_alive);
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

    fn keep(&self, connection: Connection<TcpStream>, keep_alive: bool) {
        let mut idle = self.idle.borrow_mut();
        if keep_alive && !connection.has_unused_bytes() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

/// Opens a connection that sends small writes at once and notices a peer that went silent.
///
/// # Errors
///
/// Returns why it cannot be opened.
pub async fn open(address: SocketAddr) -> std::io::Result<Connection<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    prepare(&stream)?;
    Ok(Connection::new(stream))
}

/// Sets the options that every connection of a host has.
///
/// # Errors
///
/// Returns why they cannot be set.
pub fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)?;
    rustix::net::sockopt::set_socket_keepalive(stream, true)?;
    rustix::net::sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    rustix::net::sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    Ok(())
}

/// Waits for a future for a while. Returns nothing when the time is up first.
pub async fn within<T>(timeout_ms: Millis, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(timeout_ms.to_duration()).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timer).await
}
