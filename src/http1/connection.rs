//! A connection with a buffer of bytes that were read from it and not consumed yet.

use crate::http1::head::{HeadError, RequestHead, ResponseHead};
use futures_lite::future::poll_once;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};
use snafu::Snafu;
use std::future::poll_fn;
use std::pin::Pin;

/// Most bytes in one read of a socket. A usual answer or event fits into one read, and the hundreds
/// of connections of a host need little memory.
const READ_BYTES: usize = 8 << 10;

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
    /// The head is malformed, too large or has an ambiguous framing.
    #[snafu(display("{source}"))]
    Head {
        /// What is wrong with the head.
        source: HeadError,
    },
    /// A chunk is malformed, or a line of the chunk framing is too long.
    #[snafu(display("a chunk is malformed"))]
    Malformed,
}

/// A byte stream in both directions, with a buffer of bytes that were read and not consumed.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    buffer: Vec<u8>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Wraps an open stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns the underlying stream, for example to query its addresses.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Returns whether bytes were read that are not consumed yet. After a complete answer they mean
    /// that the connection must not be reused.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the head of a request of at most `max_bytes`. Returns `None` if the peer closed the
    /// connection before the first byte.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Head`] for an invalid head, and errors of the connection.
    pub async fn read_request_head(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<RequestHead>, ReadError> {
        loop {
            let parsed = RequestHead::parse(&self.buffer, max_bytes);
            if let Some((head, length)) = parsed.map_err(|source| ReadError::Head { source })? {
                self.buffer.drain(..length);
                return Ok(Some(head));
            }
            match self.read_more().await {
                Err(ReadError::Ended) if self.buffer.is_empty() => return Ok(None),
                other => other?,
            }
        }
    }

    /// Reads the head of an answer of at most `max_bytes`. `to_head_request` tells whether the
    /// request had the method `HEAD`, so that the answer has no body.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Head`] for an invalid head, and errors of the connection.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        to_head_request: bool,
    ) -> Result<ResponseHead, ReadError> {
        loop {
            let parsed = ResponseHead::parse(&self.buffer, max_bytes, to_head_request);
            if let Some((head, length)) = parsed.map_err(|source| ReadError::Head { source })? {
                self.buffer.drain(..length);
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Consumes at least one byte and at most `most` bytes.
    ///
    /// # Errors
    ///
    /// Returns errors of the connection if no byte is buffered and none can be read.
    pub async fn read_some(&mut self, most: u64) -> Result<Vec<u8>, ReadError> {
        if self.buffer.is_empty() {
            self.read_more().await?;
        }
        let take = usize::try_from(most).unwrap_or(usize::MAX);
        if take >= self.buffer.len() {
            return Ok(std::mem::take(&mut self.buffer));
        }
        let rest = self.buffer.split_off(take);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Consumes a line and returns it without its line break (CR LF).
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Malformed`] if more than `max_bytes` bytes have no line break, and
    /// errors of the connection.
    pub async fn read_line(&mut self, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let mut line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                line.truncate(end);
                return Ok(line);
            }
            if self.buffer.len() > max_bytes {
                return Err(ReadError::Malformed);
            }
            self.read_more().await?;
        }
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
    /// The array of that read is on the stack of the poll, so a waiting task needs no memory for
    /// it.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Ended`] at the end of the stream and [`ReadError::Broken`] if it fails.
    pub async fn read_more(&mut self) -> Result<(), ReadError> {
        let Self { stream, buffer } = self;
        poll_fn(|context| {
            let mut piece = [0; READ_BYTES];
            let read = Pin::new(&mut *stream).poll_read(context, &mut piece);
            read.map(|read| match read {
                Ok(0) => Err(ReadError::Ended),
                Ok(length) => {
                    buffer.extend_from_slice(&piece[..length]);
                    Ok(())
                }
                Err(source) => Err(ReadError::Broken { source }),
            })
        })
        .await
    }

    /// Tells whether nothing waits to be read: neither bytes, which would belong to no answer, nor the
    /// end of the stream.
    pub async fn is_quiet(&mut self) -> bool {
        self.buffer.is_empty() && poll_once(self.read_more()).await.is_none()
    }

    /// Returns the number of bytes that were read and are not consumed yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}
