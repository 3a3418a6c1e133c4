//! The command `replay`, which runs the events of a trace through [`Node::handle`] again and prints
//! their effects.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::ReplayOptions;
use crate::cli::render::print_line;
use crate::daemon::event::Event;
use crate::daemon::node::Node;
use crate::daemon::run::RELEASE;
use crate::daemon::trace::{TraceFile, TracedEvent, state_sha256};
use crate::prelude::*;
use serde_json::{Value, json};
use snafu::ResultExt;

/// Replays the trace, prints the effects of each event, and compares the state at the end with the
/// recorded one.
///
/// # Errors
///
/// Returns why the file cannot be used or the output cannot be written.
pub fn replay(options: &ReplayOptions) -> Result<Exit, CliError> {
    let path = &options.file;
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let content_error = |error: serde_json::Error| CliError::Content {
        path: path.clone(),
        why: format!("this is no trace of release {RELEASE}: {error}"),
    };
    let file: TraceFile = serde_json::from_str(&text).map_err(content_error)?;
    if *file.release != *RELEASE {
        eprintln!(
            "mangovale: the trace was written by release {}, this is release {RELEASE}",
            file.release
        );
    }
    let started_at = file.events.first().map_or(Millis::ZERO, |first| first.at);
    let mut node = file.start.unwrap_or_else(|| Node::new(file.config));
    let events = file.events.len();
    let mut effects = 0;
    for TracedEvent { at, event } in file.events {
        let name = event_name(&event);
        let done = node.handle(at, event);
        effects += done.len();
        if !done.is_empty() {
            print_line(&line(options, started_at, at, &name, &done))?;
        }
    }
    let is_same = state_sha256(&node).map_err(content_error)? == file.end_sha256;
    summarise(options, events, effects, is_same)?;
    Ok(if is_same {
        Exit::Done
    } else {
        Exit::ReplayDiffers
    })
}

fn summarise(
    options: &ReplayOptions,
    events: usize,
    effects: usize,
    is_same: bool,
) -> Result<(), CliError> {
    if options.json {
        let summary = json!({ "events": events, "effects": effects, "same_end": is_same });
        return print_line(&summary.to_string());
    }
    let verdict = if is_same {
        "is the recorded one"
    } else {
        "differs from the recorded one"
    };
    print_line(&format!(
        "{events} events, {effects} effects; the state at the end {verdict}"
    ))
}

fn line(
    options: &ReplayOptions,
    started_at: Millis,
    at: Millis,
    name: &str,
    effects: &Effects,
) -> String {
    if options.json {
        return json!({ "at": at, "event": name, "effects": effects }).to_string();
    }
    let elapsed_ms = at.since(started_at).0;
    let effects: Vec<String> = effects.iter().map(effect_text).collect();
    format!("{elapsed_ms:>8} ms  {name:<16}  {}", effects.join("; "))
}

fn effect_text(effect: &Effect) -> String {
    match effect {
        Effect::AppendLog { records } => {
            let records = records.iter().map(|record| tag_value(&record.body, "kind"));
            format!("AppendLog {}", records.collect::<Vec<_>>().join(","))
        }
        Effect::Refuse { request, refusal } => {
            format!("Refuse {} {}", request.0, refusal.kind.name())
        }
        Effect::Begin { attempt } => {
            format!("Begin {} at {}", attempt.request.0, attempt.upstream)
        }
        other => variant_name(other),
    }
}

fn event_name(event: &Event) -> String {
    variant_name(event)
}

/// Returns the variant name of an enum that serde writes in its externally tagged form.
fn variant_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(name)) => name,
        Ok(Value::Object(fields)) => fields.keys().next().cloned().unwrap_or_default(),
        _ => String::new(),
    }
}

/// Returns the variant name of an enum that serde writes in its internally tagged form, with the
/// name in the field `tag`.
fn tag_value(value: &impl Serialize, tag: &str) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value[tag].as_str().unwrap_or_default().to_string()
}
