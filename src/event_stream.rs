//! Streams of server-sent events as bytes: where events end, and whether a stream ended early.

use crate::http1::Framing;

/// The length of the longest event of a stream.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
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

/// Returns the length of the complete events at the beginning of `bytes`; nothing when no event is
/// complete.
pub fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let end = |separator: &[u8]| {
        bytes
            .windows(separator.len())
            .rposition(|window| window == separator)
            .map(|at| at + separator.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}

/// Returns the number of complete events in `bytes`.
pub fn count_events(events: &[u8]) -> u32 {
    let ends = |separator: &[u8]| {
        events
            .windows(separator.len())
            .filter(|window| *window == separator)
            .count()
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n")) as u32
}

/// Returns the id of the last event in `events` that has one.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))
        .map(|id| id.trim().to_string())
}
