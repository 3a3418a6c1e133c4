//! Validation of an engine's streamed answer, event by event: each must belong to this attempt,
//! none may be missing, and the stream must have its end mark.

use crate::event_stream::MAX_EVENT_BYTES;
use crate::prelude::*;

const END_MARK: &str = "[DONE]";
const DATA_FIELD: &str = "data:";

/// The next result of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// A valid event, to be forwarded to the caller.
    Pass(Vec<u8>),
    /// The end mark of a complete answer, to be forwarded to the caller.
    End(Vec<u8>),
    /// The answer is invalid from here on, for the given reason.
    Broken(String),
}

/// The fields of a chunk (the JSON of one event) that are checked.
#[derive(Deserialize)]
struct ChunkFields {
    id: Option<String>,
    index: Option<u32>,
    finish_reason: Option<String>,
    error: Option<serde_json::Value>,
}

/// The state of validating one streamed answer, over all connections by which it is received.
#[derive(Clone, Debug)]
pub struct StreamValidator {
    id: Name,
    next_index: u32,
    finished: bool,
    buffer: Vec<u8>,
}

impl StreamValidator {
    /// Creates a validator. All chunks of the answer must carry `id`, which names the attempt.
    pub fn new(id: Name) -> Self {
        Self {
            id,
            next_index: 0,
            finished: false,
            buffer: Vec::new(),
        }
    }

    /// Returns the index of the next chunk, from which a broken stream is resumed.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Discards an incomplete event, because the answer is resumed over another connection.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes of the answer as they are received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next result, or `None` until more bytes are added. Repeated chunks are dropped.
    pub fn next_step(&mut self) -> Option<StreamStep> {
        while let Some(end) = end_of_event(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            if let Some(step) = self.check_event(event) {
                return Some(step);
            }
        }
        if self.buffer.len() <= MAX_EVENT_BYTES {
            return None;
        }
        self.buffer.clear();
        broken("an event is too long")
    }

    /// Returns the result for a complete event, or `None` if it is a repeated chunk.
    fn check_event(&mut self, event: Vec<u8>) -> Option<StreamStep> {
        let data = match data_of_event(&event) {
            Ok(Some(data)) => data,
            // An event without data is a comment, which keeps the connection alive.
            Ok(None) => return Some(StreamStep::Pass(event)),
            Err(why) => return broken(why),
        };
        if data == END_MARK {
            return match self.finished {
                true => Some(StreamStep::End(event)),
                false => broken("the end mark came before the last chunk"),
            };
        }
        let Ok(chunk) = serde_json::from_str::<ChunkFields>(&data) else {
            return broken("a chunk is not JSON");
        };
        if let Some(error) = chunk.error {
            return broken(&format!("the upstream says {error}"));
        }
        if chunk.id.as_deref() != Some(&*self.id) {
            return broken("a chunk belongs to another request");
        }
        let index = chunk.index.unwrap_or(self.next_index);
        if index < self.next_index {
            return None;
        }
        if index > self.next_index {
            return broken("a chunk is missing");
        }
        self.next_index += 1;
        self.finished |= chunk.finish_reason.is_some();
        Some(StreamStep::Pass(event))
    }
}

fn broken(why: &str) -> Option<StreamStep> {
    Some(StreamStep::Broken(why.into()))
}

fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let ends_line = |index: &usize| buffer[*index] == b'\n';
    let blank_follows = |index: usize| match buffer.get(index + 1..) {
        Some([b'\n', ..]) => Some(index + 2),
        Some([b'\r', b'\n', ..]) => Some(index + 3),
        _ => None,
    };
    (0..buffer.len()).filter(ends_line).find_map(blank_follows)
}

fn data_of_event(event: &[u8]) -> Result<Option<String>, &'static str> {
    let text = std::str::from_utf8(event).map_err(|_| "an event is not UTF-8")?;
    let lines: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix(DATA_FIELD))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    Ok((!lines.is_empty()).then(|| lines.join("\n")))
}

/// Returns whether an answer that is not streamed is complete JSON and, if it carries an id, that
/// this is the one of the attempt.
pub fn is_complete_own_answer(id: &str, body: &[u8]) -> bool {
    match serde_json::from_slice::<ChunkFields>(body) {
        Ok(chunk) => chunk.id.is_none_or(|own| own == id),
        Err(_) => false,
    }
}
