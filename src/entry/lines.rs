//! Writes the log lines of an entry host: one JSON object each, with the event's number and name.

use crate::entry::budgeted_log;
use crate::prelude::*;

/// Writes an event with its fields as one line.
///
/// The number of lines of one event in a second is limited; see [`budgeted_log`].
pub fn write(event: LogEvent, fields: &impl Serialize) {
    if !budgeted_log::admit(event) {
        return;
    }
    let line = Line {
        at_unix_ms: budgeted_log::now(),
        level: event.level().as_str(),
        event: event.number(),
        name: format!("{event:?}"),
        fields,
    };
    match serde_json::to_string(&line) {
        Ok(text) => log::log!(target: budgeted_log::TARGET, event.level(), "{text}"),
        Err(error) => log::error!(
            target: budgeted_log::TARGET,
            "{{\"event\":{},\"fault\":\"{error}\"}}",
            event.number()
        ),
    }
}

#[derive(Serialize)]
struct Line<'a, T> {
    at_unix_ms: Millis,
    level: &'static str,
    event: u16,
    name: String,
    #[serde(flatten)]
    fields: &'a T,
}
