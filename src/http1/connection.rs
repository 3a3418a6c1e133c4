//! A connection with a buffer of the bytes that were read and not used.

use crate::http1::head::{HeadError, RequestHead, ResponseHead};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};
use snafu::Snafu;
use std::future::poll_fn;
use std::pin::Pin;

/// The bytes asked of a socket at once: a usual answer or event in one call, and little memory on the
/// hundreds of connections that a host holds.
const READ_BYTES: usize = 8 << 10;

/// Why nothing more can be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The other side closed the connection.
    #[snafu(display("the connection ended"))]
    Ended,
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Why.
        source: std::io::Error,
    },
    /// A head breaks the rules.
    #[snafu(display("{source}"))]
    Head {
        /// Why.
        source: HeadError,
    },
    /// A chunk breaks the grammar.
    #[snafu(display("a chunk is malformed"))]
    Malformed,
}

/// A stream of bytes with what was read ahead.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    ahead: Vec<u8>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Makes a connection on an open stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Returns the stream.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Tells whether bytes were read that belong to nothing yet.
    pub fn has_unused_bytes(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Reads a request's head; nothing when the other side closed before its first byte.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn read_request_head(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<RequestHead>, ReadError> {
        loop {
            let parsed = RequestHead::parse(&self.ahead, max_bytes);
            if let Some((head, length)) = parsed.map_err(|source| ReadError::Head { source })? {
                self.ahead.drain(..length);
                return Ok(Some(head));
            }
            match self.read_more().await {
                Err(ReadError::Ended) if self.ahead.is_empty() => return Ok(None),
                other => other?,
            }
        }
    }

    /// Reads an answer's head.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        to_head_request: bool,
    ) -> Result<ResponseHead, ReadError> {
        loop {
            let parsed = ResponseHead::parse(&self.ahead, max_bytes, to_head_request);
            if let Some((head, length)) = parsed.map_err(|source| ReadError::Head { source })? {
                self.ahead.drain(..length);
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Reads at least one byte and at most `most`.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn read_some(&mut self, most: u64) -> Result<Vec<u8>, ReadError> {
        if self.ahead.is_empty() {
            self.read_more().await?;
        }
        let take = usize::try_from(most).unwrap_or(usize::MAX);
        if take >= self.ahead.len() {
            return Ok(std::mem::take(&mut self.ahead));
        }
        let rest = self.ahead.split_off(take);
        Ok(std::mem::replace(&mut self.ahead, rest))
    }

    /// Reads a line and returns it without its end.
    ///
    /// # Errors
    ///
    /// Returns why there is none, or that it is longer than `max_bytes`.
    pub async fn read_line(&mut self, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let mut line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                line.truncate(end);
                return Ok(line);
            }
            if self.ahead.len() > max_bytes {
                return Err(ReadError::Malformed);
            }
            self.read_more().await?;
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Returns why they could not be written.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads what there is into the buffer. A dropped call loses nothing: bytes are kept in the same step
    /// in which they are read, and the piece lives on the stack, not in every waiting task.
    ///
    /// # Errors
    ///
    /// Returns why there is nothing more.
    pub async fn read_more(&mut self) -> Result<(), ReadError> {
        let Self { stream, ahead } = self;
        poll_fn(|context| {
            let mut piece = [0; READ_BYTES];
            let read = Pin::new(&mut *stream).poll_read(context, &mut piece);
            read.map(|read| match read {
                Ok(0) => Err(ReadError::Ended),
                Ok(length) => {
                    ahead.extend_from_slice(&piece[..length]);
                    Ok(())
                }
                Err(source) => Err(ReadError::Broken { source }),
            })
        })
        .await
    }

    /// Returns how many bytes were read ahead.
    pub fn ahead_bytes(&self) -> usize {
        self.ahead.len()
    }
}
