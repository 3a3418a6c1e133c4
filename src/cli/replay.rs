//! Runs a trace again through [`Node::handle`] and prints the effects.

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

/// Runs the trace and prints what each event did.
///
/// # Errors
///
/// Returns why the file cannot be used.
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
            "mangovale: the trace is of release {}, this is {RELEASE}",
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
    let same = state_sha256(&node).map_err(content_error)? == file.end_sha256;
    summarise(options, events, effects, same)?;
    Ok(if same {
        Exit::Done
    } else {
        Exit::ReplayDiffers
    })
}

fn summarise(
    options: &ReplayOptions,
    events: usize,
    effects: usize,
    same: bool,
) -> Result<(), CliError> {
    if options.json {
        let summary = json!({ "events": events, "effects": effects, "same_end": same });
        return print_line(&summary.to_string());
    }
    let verdict = if same {
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
    let span_ms = at.since(started_at).0;
    let effects: Vec<String> = effects.iter().map(effect_text).collect();
    format!("{span_ms:>8} ms  {name:<16}  {}", effects.join("; "))
}

fn effect_text(effect: &Effect) -> String {
    match effect {
        Effect::AppendLog { records } => {
            let records = records.iter().map(|record| variant(&record.body, "kind"));
            format!("AppendLog {}", records.collect::<Vec<_>>().join(","))
        }
        Effect::Refuse { request, refusal } => {
            format!("Refuse {} {}", request.0, refusal.kind.name())
        }
        Effect::Begin { attempt } => {
            format!("Begin {} at {}", attempt.request.0, attempt.upstream)
        }
        other => outer_name(other),
    }
}

fn event_name(event: &Event) -> String {
    outer_name(event)
}

/// Returns the name of an enum's variant in its outer JSON form.
fn outer_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(name)) => name,
        Ok(Value::Object(fields)) => fields.keys().next().cloned().unwrap_or_default(),
        _ => String::new(),
    }
}

fn variant(value: &impl Serialize, tag: &str) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value[tag].as_str().unwrap_or_default().to_string()
}
