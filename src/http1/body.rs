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
    Malformed,
    /// The lines after the last chunk.
    Trailers {
        read: usize,
    },
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

    /// Returns the next bytes of the body, without its chunk framing, or `None` at its end. Chunks that
    /// were read together are returned together. The state changes only when a step is complete, so
    /// the future can be dropped without data loss.
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
            if let Some(bytes) = self.take_buffered(from)? {
                return Ok(Some(bytes));
            }
            if self.state == State::Done {
                return Ok(None);
            }
            match from.read_more().await {
                Err(ReadError::Ended) if self.state == State::UntilClose => {
                    self.state = State::Done;
                }
                other => other?,
            }
        }
    }

    /// Returns the bytes of the body that are buffered; nothing if there are none. An error after some
    /// bytes is returned by the next call.
    fn take_buffered<S>(&mut self, from: &mut Connection<S>) -> Result<Option<Vec<u8>>, ReadError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut bytes: Vec<u8> = Vec::new();
        loop {
            // The last chunk is read by a call of its own.
            let may_end = self.state == State::ChunkLine && from.next_byte() == Some(b'0');
            if may_end && !bytes.is_empty() {
                return Ok(Some(bytes));
            }
            match self.step(from) {
                Ok(Step::Bytes(piece)) if bytes.is_empty() => bytes = piece,
                Ok(Step::Bytes(piece)) => bytes.extend_from_slice(&piece),
                Ok(Step::Framing) => {}
                Err(error) => {
                    self.state = State::Malformed;
                    return if bytes.is_empty() {
                        Err(error)
                    } else {
                        Ok(Some(bytes))
                    };
                }
                Ok(Step::Wait) => return Ok((!bytes.is_empty()).then_some(bytes)),
            }
        }
    }

    /// Takes the next part of the body or its framing out of the buffer.
    fn step<S>(&mut self, from: &mut Connection<S>) -> Result<Step, ReadError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let bytes = |taken: Option<Vec<u8>>| taken.map_or(Step::Wait, Step::Bytes);
        match self.state {
            State::Done => Ok(Step::Wait),
            State::Malformed => Err(ReadError::Malformed),
            State::UntilClose => Ok(bytes(from.take_buffered(u64::MAX))),
            State::Bytes { left } => {
                let taken = from.take_buffered(left);
                self.state = match left - length_of(&taken) {
                    0 => State::Done,
                    left => State::Bytes { left },
                };
                Ok(bytes(taken))
            }
            State::ChunkBytes { left } => {
                let taken = from.take_buffered(left);
                self.state = match left - length_of(&taken) {
                    0 => State::ChunkEnd,
                    left => State::ChunkBytes { left },
                };
                Ok(bytes(taken))
            }
            State::ChunkLine | State::ChunkEnd => {
                let Some(line) = from.take_line(MAX_CHUNK_LINE_BYTES)? else {
                    return Ok(Step::Wait);
                };
                self.state = match self.state {
                    State::ChunkLine => match chunk_length(&line)? {
                        0 => State::Trailers { read: 0 },
                        left => State::ChunkBytes { left },
                    },
                    _ if line.is_empty() => State::ChunkLine,
                    _ => return Err(ReadError::Malformed),
                };
                Ok(Step::Framing)
            }
            State::Trailers { read } => {
                let Some(line) = from.take_line(MAX_TRAILER_BYTES)? else {
                    return Ok(Step::Wait);
                };
                let read = read + line.len();
                if read > MAX_TRAILER_BYTES {
                    return Err(ReadError::Malformed);
                }
                self.state = match line.is_empty() {
                    true => State::Done,
                    false => State::Trailers { read },
                };
                Ok(Step::Framing)
            }
        }
    }
}

/// What a reader took out of the buffer.
enum Step {
    Bytes(Vec<u8>),
    Framing,
    /// Nothing: more must be read, or the body is done.
    Wait,
}

fn length_of(taken: &Option<Vec<u8>>) -> u64 {
    taken.as_ref().map_or(0, |taken| taken.len() as u64)
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
