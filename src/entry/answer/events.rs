//! The events of a stream, as bytes.

use crate::http1::{Framing, ResponseHead};

/// Tells whether an answer of a route of streams is a stream of events: it says so, or does not
/// state its content type.
pub fn is_event_stream(head: &ResponseHead) -> bool {
    states_event_stream(head).unwrap_or(true)
}

fn states_event_stream(head: &ResponseHead) -> Option<bool> {
    let content_type = head.headers.text("content-type")?;
    Some(content_type.starts_with("text/event-stream"))
}

/// Returns why an event stream whose body ends here has ended before its end, if it has.
///
/// `rest` is what follows the last complete event, and `has_events` tells whether there was any. An
/// event without the blank line after it is incomplete. A last chunk or a length proves the end of a
/// body that does not say that it is an event stream; the close of a connection proves an end only
/// after an event.
pub fn early_end(head: &ResponseHead, has_events: bool, rest: &[u8]) -> Option<&'static str> {
    let is_in_event = rest.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
    let ends_with_connection = head.framing == Framing::UntilClose;
    let must_be_complete = ends_with_connection || states_event_stream(head) == Some(true);
    if is_in_event && must_be_complete {
        Some("the stream ended inside an event")
    } else if ends_with_connection && !has_events {
        Some("the stream ended before its first event")
    } else {
        None
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
