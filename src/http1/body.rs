//! Incremental reading of a body with any framing.

use crate::http1::connection::{Connection, ReadError};
use crate::http1::head::Framing;
use futures_lite::{AsyncRead, AsyncWrite};

/// Longest line before a chunk, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest block of trailers after the last chunk.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// The position of a reader within the framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Bytes {
        left: u64,
    },
    ChunkLine,
    ChunkBytes {
        left: u64,
    },
    /// The line break after the bytes of a chunk.
    ChunkEnd,
    UntilClose,
    Done,
}

/// The state of reading one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Bytes { left },
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body was read to its end.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the next bytes of the body, without its chunk framing, or `None` at its end. The
    /// state changes only when a step is complete, so the future can be dropped without data loss.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Ended`] if the connection ends before the body does,
    /// [`ReadError::Malformed`] for an invalid chunk, and errors of the connection.
    pub async fn next<S>(&mut self, from: &mut Connection<S>) -> Result<Option<Vec<u8>>, ReadError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Bytes { left } => {
                    let piece = from.read_some(left).await?;
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 {
                        State::Done
                    } else {
                        State::Bytes { left }
                    };
                    return Ok(Some(piece));
                }
                State::UntilClose => match from.read_some(u64::MAX).await {
                    Ok(piece) => return Ok(Some(piece)),
                    Err(ReadError::Ended) => self.state = State::Done,
                    Err(error) => return Err(error),
                },
                State::ChunkLine => {
                    let line = from.read_line(MAX_CHUNK_LINE_BYTES).await?;
                    match chunk_length(&line)? {
                        0 => {
                            self.skip_trailers(from).await?;
                            self.state = State::Done;
                        }
                        left => self.state = State::ChunkBytes { left },
                    }
                }
                State::ChunkBytes { left } => {
                    let piece = from.read_some(left).await?;
                    let left = left - piece.len() as u64;
                    self.state = match left {
                        0 => State::ChunkEnd,
                        left => State::ChunkBytes { left },
                    };
                    return Ok(Some(piece));
                }
                State::ChunkEnd => {
                    if !from.read_line(MAX_CHUNK_LINE_BYTES).await?.is_empty() {
                        return Err(ReadError::Malformed);
                    }
                    self.state = State::ChunkLine;
                }
            }
        }
    }

    async fn skip_trailers<S>(&self, from: &mut Connection<S>) -> Result<(), ReadError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut read_bytes = 0;
        loop {
            let line = from.read_line(MAX_TRAILER_BYTES).await?;
            read_bytes += line.len();
            if line.is_empty() {
                return Ok(());
            }
            if read_bytes > MAX_TRAILER_BYTES {
                return Err(ReadError::Malformed);
            }
        }
    }
}

fn chunk_length(line: &[u8]) -> Result<u64, ReadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| ReadError::Malformed)?;
    match is_hex {
        true => u64::from_str_radix(text, 16).map_err(|_| ReadError::Malformed),
        false => Err(ReadError::Malformed),
    }
}
