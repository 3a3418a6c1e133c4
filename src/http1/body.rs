//! Incremental reading of a body with any framing.

use crate::http1::connection::{Connection, ReadError};
use crate::http1::exchange::Written;
use crate::http1::head::Framing;
use crate::http1::syntax::{is_field_line, is_text_byte, is_token};
use crate::prelude::*;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use snafu::Snafu;

/// Longest line before a chunk, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest block of trailers after the last chunk.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// How often, and at which interval, a connection is looked at for a reset after its end.
const RESET_LOOKS: u32 = 20;
const RESET_LOOK_INTERVAL_MS: Millis = Millis(5);

/// The rule of RFC 9112, section 7.1, that the framing of a chunked body breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChunkError {
    /// A line of the framing, or the lines after the last chunk, are longer than is read.
    #[snafu(display("a line of the chunk framing is longer than allowed"))]
    TooLong,
    /// The size of a chunk is no hexadecimal number, or too large a one.
    #[snafu(display("the size of a chunk is malformed"))]
    Size,
    /// What follows the size of a chunk in its line is no list of chunk extensions.
    #[snafu(display("a chunk extension is malformed"))]
    Extension,
    /// The bytes of a chunk are not followed by a line end.
    #[snafu(display("a chunk does not end after its size"))]
    End,
    /// A line after the last chunk is no field line.
    #[snafu(display("a trailer field is malformed"))]
    Trailer,
}

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
    Malformed(ChunkError),
    /// The lines after the last chunk.
    Trailers {
        read: usize,
    },
    UntilClose(Close),
    Done,
}

/// What the close of a connection says of a body without length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The body has ended.
    End,
    /// The body has ended if no reset follows. This many looks for one are left.
    EndUnlessReset { looks: u32 },
    /// Nothing.
    NoProof,
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
            Framing::UntilClose => State::UntilClose(Close::End),
        };
        Self { state }
    }

    /// Creates a reader of the body of an answer, of whose request this much was written.
    pub fn of_answer(framing: Framing, written: Written) -> Self {
        let close = match (framing, written) {
            (Framing::UntilClose, Written::Part) => Close::NoProof,
            (Framing::UntilClose, Written::Buffered) => {
                Close::EndUnlessReset { looks: RESET_LOOKS }
            }
            (Framing::UntilClose, Written::Whole) => Close::End,
            (Framing::Empty | Framing::Length(_) | Framing::Chunked, _) => {
                return Self::new(framing);
            }
        };
        Self {
            state: State::UntilClose(close),
        }
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
    /// [`ReadError::Chunk`] for an invalid chunk, and errors of the connection.
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
                Err(ReadError::Ended) => self.note_close(from).await?,
                other => other?,
            }
        }
    }

    /// Takes the end of the connection for that of the body, where it is. May have to be called several
    /// times until the body is done.
    async fn note_close<S>(&mut self, from: &Connection<S>) -> Result<(), ReadError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.state = match self.state {
            State::UntilClose(Close::End | Close::EndUnlessReset { looks: 0 }) => State::Done,
            State::UntilClose(Close::EndUnlessReset { looks }) if !from.has_failed() => {
                Timer::after(RESET_LOOK_INTERVAL_MS.to_duration()).await;
                State::UntilClose(Close::EndUnlessReset { looks: looks - 1 })
            }
            _ => return Err(ReadError::Ended),
        };
        Ok(())
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
                Err(source) => {
                    self.state = State::Malformed(source);
                    return match bytes.is_empty() {
                        true => Err(ReadError::Chunk { source }),
                        false => Ok(Some(bytes)),
                    };
                }
                Ok(Step::Wait) => return Ok((!bytes.is_empty()).then_some(bytes)),
            }
        }
    }

    /// Takes the next part of the body or its framing out of the buffer.
    fn step<S>(&mut self, from: &mut Connection<S>) -> Result<Step, ChunkError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let bytes = |taken: Option<Vec<u8>>| taken.map_or(Step::Wait, Step::Bytes);
        match self.state {
            State::Done => Ok(Step::Wait),
            State::Malformed(broken) => Err(broken),
            State::UntilClose(_) => Ok(bytes(from.take_buffered(u64::MAX))),
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
            State::ChunkLine => {
                let Some(line) = from.take_line(MAX_CHUNK_LINE_BYTES)? else {
                    return Ok(Step::Wait);
                };
                self.state = match chunk_length(&line)? {
                    0 => State::Trailers { read: 0 },
                    left => State::ChunkBytes { left },
                };
                Ok(Step::Framing)
            }
            State::ChunkEnd => {
                let Some(line) = from.take_line(0).map_err(|_| ChunkError::End)? else {
                    return Ok(Step::Wait);
                };
                self.state = match line.is_empty() {
                    true => State::ChunkLine,
                    false => return Err(ChunkError::End),
                };
                Ok(Step::Framing)
            }
            State::Trailers { read } => {
                let Some(line) = from.take_line(MAX_TRAILER_BYTES)? else {
                    return Ok(Step::Wait);
                };
                let read = read + line.len();
                if read > MAX_TRAILER_BYTES {
                    return Err(ChunkError::TooLong);
                }
                self.state = match line.is_empty() {
                    true => State::Done,
                    false if is_field_line(&line) => State::Trailers { read },
                    false => return Err(ChunkError::Trailer),
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

/// Reads the size of a chunk from its line, and checks the extensions after it.
fn chunk_length(line: &[u8]) -> Result<u64, ChunkError> {
    if !line.iter().all(|byte| is_text_byte(*byte)) {
        return Err(ChunkError::Extension);
    }
    let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
    let end = line.iter().position(|byte| !is_digit(byte));
    let (digits, extensions) = line.split_at(end.unwrap_or(line.len()));
    let text = std::str::from_utf8(digits).map_err(|_| ChunkError::Size)?;
    let length = u64::from_str_radix(text, 16).map_err(|_| ChunkError::Size)?;
    match are_extensions(extensions) {
        true => Ok(length),
        false => Err(ChunkError::Extension),
    }
}

/// Tells whether bytes are chunk extensions (RFC 9112, section 7.1.1): names, each after a semicolon and
/// with or without a value.
fn are_extensions(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        let Some(named) = rest.trim_ascii_start().strip_prefix(b";") else {
            return false;
        };
        let named = named.trim_ascii_start();
        let (name, after) = named.split_at(end_of_token(named));
        if !is_token(name) {
            return false;
        }
        rest = after;
        if let Some(value) = after.trim_ascii_start().strip_prefix(b"=") {
            let value = value.trim_ascii_start();
            let end = match value.first() {
                Some(b'"') => end_of_quoted(value),
                _ => Some(end_of_token(value)).filter(|end| *end > 0),
            };
            let Some(end) = end else {
                return false;
            };
            rest = &value[end..];
        }
    }
    true
}

/// Returns the length of the token that bytes begin with.
fn end_of_token(bytes: &[u8]) -> usize {
    let is_outside = |byte: &u8| !is_token(std::slice::from_ref(byte));
    bytes.iter().position(is_outside).unwrap_or(bytes.len())
}

/// Returns the length of the quoted string that bytes begin with (RFC 9110, section 5.6.4).
fn end_of_quoted(bytes: &[u8]) -> Option<usize> {
    let mut is_escaped = false;
    for (at, byte) in bytes.iter().enumerate().skip(1) {
        match byte {
            byte if !is_text_byte(*byte) => return None,
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return Some(at + 1),
            _ => {}
        }
    }
    None
}
