//! Checks that the catalogue of log events in docs/EVENTS.md is complete and agrees with the code.

use mangovale::event_log::LogEvent;
use std::fs::{read_dir, read_to_string};
use std::path::Path;

const CATALOGUE: &str = include_str!("../docs/EVENTS.md");
const SOURCE: &str = include_str!("../src/event_log.rs");

/// Returns the rows of the catalogue's table as cells: number, event, level, meaning, what to do.
fn lines() -> Vec<Vec<&'static str>> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| "));
    rows.skip(2)
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn every_event_is_in_the_catalogue() {
    let lines = lines();
    for event in LogEvent::ALL {
        let number = event.number().to_string();
        let line = lines.iter().find(|cells| cells[0] == number);
        let line = line.unwrap_or_else(|| panic!("{event:?} is not in docs/EVENTS.md"));
        assert_eq!(line[1], format!("{event:?}"));
        assert_eq!(
            line[2],
            event.level().to_string().to_lowercase(),
            "{event:?}"
        );
        assert!(
            line.len() == 5 && !line[3].is_empty() && !line[4].is_empty(),
            "{event:?}"
        );
    }
    assert_eq!(
        lines.len(),
        LogEvent::ALL.len(),
        "docs/EVENTS.md has a line too many"
    );
}

#[test]
fn the_list_of_all_events_has_every_variant_in_order() {
    let variants = SOURCE
        .lines()
        .filter_map(|line| line.strip_suffix(',')?.trim().split_once(" = "))
        .filter(|(_, number)| number.parse::<u16>().is_ok())
        .map(|(name, _)| name.to_string());
    let all = LogEvent::ALL.iter().map(|event| format!("{event:?}"));
    assert_eq!(variants.collect::<Vec<_>>(), all.collect::<Vec<_>>());
}

#[test]
fn every_event_is_used_in_the_source() {
    let source = source_text(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")));
    for event in LogEvent::ALL {
        let name = format!("LogEvent::{event:?}");
        let is_name_end = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric());
        let written = source.split(&name).skip(1).any(is_name_end);
        assert!(written, "{event:?} is not used outside src/event_log.rs");
    }
}

fn source_text(directory: &Path) -> String {
    let mut text = String::new();
    for entry in read_dir(directory).expect("a directory that can be read") {
        let path = entry.expect("a directory entry that can be read").path();
        if path.is_dir() {
            text += &source_text(&path);
        } else if !path.ends_with("event_log.rs") {
            text += &read_to_string(&path).expect("a source file that can be read");
        }
    }
    text
}
