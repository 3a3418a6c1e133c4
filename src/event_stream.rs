//! Streams of server-sent events as bytes: where events end, and whether a stream ended early.

use crate::http1::Framing;

/// The length of the longest event of a stream.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// The length of the longest id of an event from which a stream is resumed.
const MAX_EVENT_ID_BYTES: usize = 1 << 10;
/// What may stand before the first line of a stream.
pub const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// The content type of a stream of events.
const CONTENT_TYPE: &str = "text/event-stream";

/// What the head of an answer says about its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyKind {
    /// Whether it is a stream of events; none if the head does not state a content type.
    pub is_event_stream: Option<bool>,
    /// Whether it ends with the connection, since it has neither a length nor chunks.
    pub ends_with_connection: bool,
}

impl BodyKind {
    /// Reads the kind of a body with this framing.
    pub fn new(content_type: Option<&str>, framing: Framing) -> Self {
        Self {
            is_event_stream: content_type.map(|kind| kind.starts_with(CONTENT_TYPE)),
            ends_with_connection: framing == Framing::UntilClose,
        }
    }

    /// Returns why an event stream whose body ends here has ended before its end, if it has.
    ///
    /// `rest` is what follows the last complete event, and `has_events` tells whether there was any.
    /// An event without the blank line after it is incomplete. A last chunk or a length proves the
    /// end of a body that does not say that it is an event stream; the close of a connection proves
    /// an end only after an event.
    pub fn early_end(self, has_events: bool, rest: &[u8]) -> Option<&'static str> {
        let is_in_event = rest.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        let must_be_complete = self.ends_with_connection || self.is_event_stream == Some(true);
        if is_in_event && must_be_complete {
            Some("the stream ended inside an event")
        } else if self.ends_with_connection && !has_events {
            Some("the stream ended before its first event")
        } else {
            None
        }
    }

    /// Returns why an event stream with this body ended before its end, if it did.
    pub fn early_end_of_whole(self, body: &[u8]) -> Option<&'static str> {
        let end = end_of_events(body);
        self.early_end(end.is_some(), &body[end.unwrap_or(0)..])
    }
}

/// Where in a stream its reader is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// Before the first event.
    #[default]
    Start,
    /// After the event with this id.
    After(String),
    /// After an event that no id names, so that the stream cannot go on from here.
    Unknown,
}

/// Finds the complete events in the bytes of a stream as they come, and the position after them. Lines
/// and fields are read as bytes, by the rules of the event stream format: an event may hold bytes that
/// are no text, or end within a character.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The length of what was scanned.
    scanned: usize,
    line_start: usize,
    /// Whether the last line ended with a carriage return, to which a line feed would belong.
    ended_with_return: bool,
    is_past_first_line: bool,
    event: ScannedEvent,
    position: StreamPosition,
    events: u32,
}

/// The fields so far of the event that is being scanned.
#[derive(Clone, Debug, Default)]
struct ScannedEvent {
    has_lines: bool,
    has_data: bool,
    id: Option<Vec<u8>>,
}

impl EventScanner {
    /// Scans the bytes that follow the events consumed so far. Returns the length of the complete events
    /// among them; nothing when no further event is complete.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        while let Some(byte) = bytes.get(self.scanned) {
            let at = self.scanned;
            let follows_return = std::mem::take(&mut self.ended_with_return);
            match byte {
                b'\n' if follows_return => {
                    if end == Some(at) {
                        end = Some(at + 1);
                    }
                    self.line_start = at + 1;
                }
                // The line feed of this line end may still come; the event is not cut before it.
                b'\r' if at == self.line_start && at + 1 == bytes.len() && !follows_return => {
                    return end;
                }
                b'\n' | b'\r' => {
                    if self.note_line(&bytes[self.line_start..at]) {
                        end = Some(at + 1);
                    }
                    self.line_start = at + 1;
                    self.ended_with_return = *byte == b'\r';
                }
                _ => {}
            }
            self.scanned += 1;
        }
        end
    }

    /// Records that the first bytes were taken away, up to the end of an event.
    pub fn consume(&mut self, length: usize) {
        self.scanned -= length;
        self.line_start -= length;
    }

    /// Begins with the bytes of another answer that goes on with the stream at its position.
    pub fn go_on(&mut self) {
        *self = Self {
            position: std::mem::take(&mut self.position),
            events: self.events,
            ..Self::default()
        };
    }

    /// Returns the position after the complete events.
    pub fn position(&self) -> &StreamPosition {
        &self.position
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Reads a line, and tells whether it ends an event.
    fn note_line(&mut self, mut line: &[u8]) -> bool {
        if !std::mem::replace(&mut self.is_past_first_line, true) {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            self.end_event(event);
            return true;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (field, value) = match colon {
            Some(at) => (&line[..at], &line[at + 1..]),
            None => (line, &[][..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        self.event.has_lines = true;
        match field {
            b"data" => self.event.has_data = true,
            b"id" if !value.contains(&0) => self.event.id = Some(value.to_vec()),
            _ => {}
        }
        false
    }

    fn end_event(&mut self, event: ScannedEvent) {
        self.events += u32::from(event.has_lines);
        match event.id {
            Some(id) => {
                let id = String::from_utf8(id).ok();
                let id = id.filter(|id| !id.is_empty() && id.len() <= MAX_EVENT_ID_BYTES);
                self.position = id.map_or(StreamPosition::Unknown, StreamPosition::After);
            }
            None if event.has_data => self.position = StreamPosition::Unknown,
            None => {}
        }
    }
}

/// Returns the length of the complete events at the beginning of `bytes`; nothing when no event is
/// complete.
pub fn end_of_events(bytes: &[u8]) -> Option<usize> {
    EventScanner::default().scan(bytes)
}

#[cfg(test)]
mod tests;
