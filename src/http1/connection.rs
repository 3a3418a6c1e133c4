//! A connection with a buffer of bytes that were read from it and not consumed yet.

use crate::http1::body::ChunkError;
use crate::http1::head::{HeadError, RequestHead, ResponseHead};
use crate::http1::syntax::quote_broken_line;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};
use rustix::net::sockopt;
use smol::net::TcpStream;
use snafu::Snafu;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Most bytes in one read of a socket. A usual answer or event fits into one read, and the hundreds
/// of connections of a host need little memory.
const READ_BYTES: usize = 8 << 10;

/// Most reads of a socket in a row that find data ready. Then the task yields, so that a time-out of the
/// reader is looked at and other tasks get their turn, however fast the peer sends.
const MAX_READY_READS: u32 = 4;

/// Why a read from a connection failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The peer closed the connection.
    #[snafu(display("the connection ended"))]
    Ended,
    /// The connection failed.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// The head of a request breaks a rule. It is not quoted, since it may hold credentials.
    #[snafu(display("{source}"))]
    RequestHead {
        /// The rule.
        source: HeadError,
    },
    /// The head of an answer breaks a rule.
    #[snafu(display("{source}: \"{line}\""))]
    AnswerHead {
        /// The rule.
        source: HeadError,
        /// The line that breaks it, escaped and cut.
        line: Box<str>,
    },
    /// The framing of a chunked body breaks a rule.
    #[snafu(display("{source}"))]
    Chunk {
        /// The rule.
        source: ChunkError,
    },
    /// Bytes came that are no part of the awaited answer, more of them or for longer than is read.
    #[snafu(display("other bytes came in place of the answer"))]
    NotOwn,
}

/// A byte stream in both directions, with a buffer of bytes that were read and not consumed.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    /// The socket under the stream, where its state is of use.
    socket: Option<TcpStream>,
    buffer: Vec<u8>,
    /// The bytes at the beginning of the buffer that were consumed.
    consumed: usize,
    /// The reads in a row that found data ready.
    ready_reads: u32,
}

impl Connection<TcpStream> {
    /// Wraps an open connection to an upstream.
    pub fn to_upstream(stream: TcpStream) -> Self {
        Self {
            socket: Some(stream.clone()),
            ..Self::new(stream)
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Returns whether the socket has failed, as by a reset. It may after the peer ended its direction,
    /// when reads find the end only. Without a known socket it has not.
    pub fn has_failed(&self) -> bool {
        let socket = self.socket.as_ref();
        socket.is_some_and(|socket| !matches!(sockopt::socket_error(socket), Ok(Ok(()))))
    }

    /// Wraps an open stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            socket: None,
            buffer: Vec::new(),
            consumed: 0,
            ready_reads: 0,
        }
    }

    /// Returns the underlying stream, for example to query its addresses.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Returns whether bytes were read that are not consumed yet. After a complete answer they mean
    /// that the connection must not be reused.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffered().is_empty()
    }

    fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Returns the next buffered byte without consuming it.
    pub fn next_byte(&self) -> Option<u8> {
        self.buffered().first().copied()
    }

    fn consume(&mut self, length: usize) {
        self.consumed += length;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads the head of a request of at most `max_bytes`. Returns `None` if the peer closed the
    /// connection before the first byte.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::RequestHead`] for an invalid head, and errors of the connection.
    pub async fn read_request_head(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<RequestHead>, ReadError> {
        loop {
            let parsed = RequestHead::parse(self.buffered(), max_bytes);
            let parsed = parsed.map_err(|source| ReadError::RequestHead { source })?;
            if let Some((head, length)) = parsed {
                self.consume(length);
                return Ok(Some(head));
            }
            match self.read_more().await {
                Err(ReadError::Ended) if !self.has_buffered_bytes() => return Ok(None),
                other => other?,
            }
        }
    }

    /// Reads the head of an answer of at most `max_bytes`. `to_head_request` tells whether the
    /// request had the method `HEAD`, so that the answer has no body.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::AnswerHead`] for an invalid head, and errors of the connection.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        to_head_request: bool,
    ) -> Result<ResponseHead, ReadError> {
        loop {
            let parsed = ResponseHead::parse(self.buffered(), max_bytes, to_head_request);
            let parsed = parsed.map_err(|source| ReadError::AnswerHead {
                source,
                line: quote_broken_line(self.buffered(), source),
            })?;
            if let Some((head, length)) = parsed {
                self.consume(length);
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Consumes at most `most` of the buffered bytes and returns them; nothing if none are buffered.
    pub fn take_buffered(&mut self, most: u64) -> Option<Vec<u8>> {
        let buffered = self.buffered().len();
        let length = usize::try_from(most).map_or(buffered, |most| most.min(buffered));
        if length == 0 {
            return None;
        }
        if self.consumed == 0 && length == self.buffer.len() {
            return Some(std::mem::take(&mut self.buffer));
        }
        let taken = self.buffered()[..length].to_vec();
        self.consume(length);
        Some(taken)
    }

    /// Consumes at least one byte and at most `most` bytes.
    ///
    /// # Errors
    ///
    /// Returns errors of the connection if no byte is buffered and none can be read.
    pub async fn read_some(&mut self, most: u64) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(bytes) = self.take_buffered(most) {
                return Ok(bytes);
            }
            self.read_more().await?;
        }
    }

    /// Consumes a buffered line and returns it without its line break (CR LF); nothing if no complete
    /// line is buffered.
    ///
    /// # Errors
    ///
    /// Returns [`ChunkError::TooLong`] if more than `max_bytes` bytes have no line break.
    pub fn take_line(&mut self, max_bytes: usize) -> Result<Option<Vec<u8>>, ChunkError> {
        let buffered = self.buffered();
        let searched = &buffered[..buffered.len().min(max_bytes + 2)];
        let Some(end) = searched.windows(2).position(|pair| pair == b"\r\n") else {
            return match buffered.len() >= max_bytes + 2 {
                true => Err(ChunkError::TooLong),
                false => Ok(None),
            };
        };
        let line = buffered[..end].to_vec();
        self.consume(end + 2);
        Ok(Some(line))
    }

    /// Writes all bytes to the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for bytes from the stream and adds them to the buffer. The future can be dropped
    /// without data loss, because bytes enter the buffer in the same poll in which they are read.
    /// After [`MAX_READY_READS`] reads that did not have to wait it yields once.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Ended`] at the end of the stream and [`ReadError::Broken`] if it fails.
    pub async fn read_more(&mut self) -> Result<(), ReadError> {
        poll_fn(|context| {
            if self.ready_reads >= MAX_READY_READS {
                self.ready_reads = 0;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            let read = self.poll_read(context);
            self.ready_reads = if read.is_ready() {
                self.ready_reads + 1
            } else {
                0
            };
            read
        })
        .await
    }

    /// Tells whether nothing waits to be read: neither bytes, which would belong to no answer, nor the
    /// end of the stream.
    pub async fn is_quiet(&mut self) -> bool {
        let read = poll_fn(|context| Poll::Ready(self.poll_read(context))).await;
        read.is_pending() && !self.has_buffered_bytes()
    }

    /// Reads the stream once. The array of the read is on the stack of the poll, so a waiting task needs
    /// no memory for it.
    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ReadError>> {
        let mut piece = [0; READ_BYTES];
        let read = Pin::new(&mut self.stream).poll_read(context, &mut piece);
        read.map(|read| match read {
            Ok(0) => Err(ReadError::Ended),
            Ok(length) => {
                self.buffer.drain(..self.consumed);
                self.consumed = 0;
                self.buffer.extend_from_slice(&piece[..length]);
                Ok(())
            }
            Err(source) => Err(ReadError::Broken { source }),
        })
    }

    /// Returns the number of bytes that were read and are not consumed yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered().len()
    }
}
