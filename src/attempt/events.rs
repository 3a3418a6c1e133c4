//! Checks a streamed answer event by event: each must be this attempt's, in order, and the end marked.

use crate::prelude::*;

/// The longest event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

const DONE: &str = "[DONE]";
const DATA_FIELD: &str = "data:";

/// What the bytes read so far give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// An event to pass on.
    Pass(Vec<u8>),
    /// The end mark of a whole answer, to pass on.
    End(Vec<u8>),
    /// The answer is broken from here on.
    Broken(String),
}

#[derive(Deserialize)]
struct ChunkHead {
    id: Option<String>,
    index: Option<u32>,
    finish_reason: Option<String>,
    error: Option<serde_json::Value>,
}

/// The state of one streamed answer, over all connections that carry parts of it.
#[derive(Clone, Debug)]
pub struct AnswerEvents {
    id: Name,
    next_index: u32,
    finished: bool,
    buffer: Vec<u8>,
}

impl AnswerEvents {
    /// Starts the answer whose chunks carry `id`.
    pub fn new(id: Name) -> Self {
        Self {
            id,
            next_index: 0,
            finished: false,
            buffer: Vec::new(),
        }
    }

    /// Returns the position at which the answer goes on.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Forgets a partial event, since the answer goes on over another connection.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next step, or nothing until more bytes come.
    pub fn next_step(&mut self) -> Option<StreamStep> {
        while let Some(end) = end_of_event(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            if let Some(step) = self.check(event) {
                return Some(step);
            }
        }
        if self.buffer.len() <= MAX_EVENT_BYTES {
            return None;
        }
        self.buffer.clear();
        broken("an event is too long")
    }

    /// Returns the step for an event, or nothing when it is passed over.
    fn check(&mut self, event: Vec<u8>) -> Option<StreamStep> {
        let data = match data_of(&event) {
            Ok(Some(data)) => data,
            // Comments keep a connection alive.
            Ok(None) => return Some(StreamStep::Pass(event)),
            Err(why) => return broken(why),
        };
        if data == DONE {
            return match self.finished {
                true => Some(StreamStep::End(event)),
                false => broken("the end mark came before the last chunk"),
            };
        }
        let Ok(head) = serde_json::from_str::<ChunkHead>(&data) else {
            return broken("a chunk is not JSON");
        };
        if let Some(error) = head.error {
            return broken(&format!("the upstream says {error}"));
        }
        if head.id.as_deref() != Some(&*self.id) {
            return broken("a chunk belongs to another request");
        }
        let index = head.index.unwrap_or(self.next_index);
        if index < self.next_index {
            return None;
        }
        if index > self.next_index {
            return broken("a chunk is missing");
        }
        self.next_index += 1;
        self.finished |= head.finish_reason.is_some();
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

fn data_of(event: &[u8]) -> Result<Option<String>, &'static str> {
    let text = std::str::from_utf8(event).map_err(|_| "an event is not UTF-8")?;
    let lines: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix(DATA_FIELD))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    Ok((!lines.is_empty()).then(|| lines.join("\n")))
}

/// Tells whether a whole answer is complete JSON and, when it names a request, this attempt's.
pub fn is_own_whole_answer(id: &str, body: &[u8]) -> bool {
    match serde_json::from_slice::<ChunkHead>(body) {
        Ok(head) => head.id.is_none_or(|own| own == id),
        Err(_) => false,
    }
}
