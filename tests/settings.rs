//! Tests of the check of settings files: which settings are refused, and with which messages.

mod common;

use common::{Run, SETTINGS, TestDirectory};

/// Checks [`SETTINGS`] with one line replaced; `line` counts from 1.
fn check_with_line(line: usize, text: &str) -> Run {
    let mut lines: Vec<&str> = SETTINGS.lines().collect();
    lines[line - 1] = text;
    check(&lines.join("\n"))
}

/// Runs `mangovaled --check` on a settings file with this content.
fn check(settings: &str) -> Run {
    let directory = TestDirectory::new();
    directory.file("entry-1.toml", settings);
    directory.daemon(&["--settings", "entry-1.toml", "--check"])
}

/// Checks that [`SETTINGS`] with `text` as line `line` are refused, with a message that names the
/// line and contains `why`.
#[track_caller]
fn assert_refused(line: usize, text: &str, why: &str) {
    let at = format!("line {line}");
    check_with_line(line, text)
        .exits_with(2)
        .prints_error(&at)
        .prints_error(why)
        .prints_error("next: correct the settings");
}

#[test]
fn complete_settings_are_valid() {
    check(SETTINGS)
        .exits_with(0)
        .prints("the settings are valid");
}

#[test]
fn the_tool_checks_settings_too() {
    let directory = TestDirectory::new();
    directory.file("good.toml", SETTINGS);
    directory.file("bad.toml", "name = 1");
    directory
        .tool(&["check-settings", "good.toml"])
        .exits_with(0);
    directory
        .tool(&["check-settings", "bad.toml"])
        .exits_with(2)
        .prints_error("line 1");
}

#[test]
fn a_missing_file_is_named() {
    let run = TestDirectory::new().daemon(&["--settings", "nothing.toml"]);
    run.exits_with(2)
        .prints_error("cannot read the settings file nothing.toml");
}

#[test]
fn an_unknown_key_is_refused_with_a_list_of_the_known_ones() {
    assert_refused(
        3,
        "caller_lissen = \"127.0.0.1:7000\"",
        "unknown field `caller_lissen`, expected one of `name`",
    );
    assert_refused(
        19,
        "fresh_bound = 2000",
        "unknown field `fresh_bound`, expected one of `fresh_bound_ms`",
    );
}

#[test]
fn a_missing_key_is_refused() {
    check("data_centre = \"here\"")
        .exits_with(2)
        .prints_error("missing field `name`");
}

#[test]
fn names_are_checked() {
    assert_refused(1, "name = \"\"", "name: takes 1 to 64 letters");
    assert_refused(
        2,
        "data_centre = \"a b\"",
        "data_centre: takes 1 to 64 letters",
    );
}

#[test]
fn addresses_are_checked() {
    assert_refused(3, "caller_listen = \"here:7000\"", "invalid socket address");
    assert_refused(
        3,
        "caller_listen = \"127.0.0.1:0\"",
        "caller_listen: takes a port above 0",
    );
    assert_refused(
        3,
        "caller_listen = \"0.0.0.0:7000\"",
        "set caller_advertise",
    );
    assert_refused(4, "peer_listen = \"0.0.0.0:7001\"", "set peer_advertise");
    assert_refused(
        5,
        "operator_listen = \"127.0.0.1:7000\"",
        "must not be caller_listen",
    );
    let advertise = "caller_advertise = \"0.0.0.0:7000\"";
    assert_refused(
        6,
        advertise,
        "caller_advertise: takes an address that others can reach",
    );
}

#[test]
fn platform_addresses_are_checked() {
    assert_refused(
        8,
        "log_url = \"127.0.0.1:7100\"",
        "platform.log_url: takes http://host:port",
    );
    assert_refused(
        8,
        "log_url = \"http://127.0.0.1\"",
        "platform.log_url: takes http://host:port",
    );
    assert_refused(
        9,
        "hosts_url = \"http://h:1/list\"",
        "platform.hosts_url: takes http://host:port",
    );
    assert_refused(
        10,
        "store_url = \"https://h:1\"",
        "platform.store_url: takes http://host:port",
    );
    assert_refused(
        10,
        "stream = \"a/b\"",
        "platform.stream: takes 1 to 64 letters",
    );
}

#[test]
fn operator_hashes_are_checked() {
    assert_refused(15, "operator_token_sha256 = []", "takes at least one hash");
    assert_refused(
        15,
        "operator_token_sha256 = [\"secret\"]",
        "takes 64 hex digits each",
    );
}

#[test]
fn times_are_checked() {
    assert_refused(
        18,
        "fresh_bound_ms = 100",
        "timing.fresh_bound_ms: must be between",
    );
    assert_refused(
        18,
        "fresh_bound_ms = 60001",
        "timing.fresh_bound_ms: must be between",
    );
    assert_refused(18, "fresh_bound_ms = -1", "expected u64");
    assert_refused(
        19,
        "pause_ms = 99",
        "timing.pause_ms: must be between 100 ms",
    );
    assert_refused(
        19,
        "pause_ms = 2001",
        "timing.pause_ms: must be between 100 ms",
    );
    assert_refused(
        20,
        "probe_interval_ms = 0",
        "timing.probe_interval_ms: must be above 0",
    );
    assert_refused(
        21,
        "suspect_after_ms = 250",
        "timing.suspect_after_ms: must be above",
    );
    assert_refused(
        22,
        "probes_per_round = 0",
        "timing.probes_per_round: must be between 1 and 64",
    );
    assert_refused(
        22,
        "probes_per_round = 65",
        "timing.probes_per_round: must be between 1 and 64",
    );
}

#[test]
fn policy_is_checked() {
    let line = "keep_warm = { rule = \"fixed_timeout\", idle_ms = 0 }";
    assert_refused(25, line, "policy.keep_warm: idle_ms must be above 0");
    assert_refused(
        25,
        "keep_warm = { rule = \"always\" }",
        "unknown variant `always`, expected",
    );
}

#[test]
fn bounds_are_checked() {
    assert_refused(
        28,
        "body_bytes = 0",
        "bounds.body_bytes: must be between 1 and",
    );
    assert_refused(
        28,
        "body_bytes = 1073741825",
        "bounds.body_bytes: must be between 1 and",
    );
    assert_refused(
        29,
        "answer_bytes = 0",
        "bounds.answer_bytes: must be between 1 and",
    );
    assert_refused(
        30,
        "connections = 0",
        "bounds.connections: must be between 1 and",
    );
}

#[test]
fn log_settings_are_checked() {
    assert_refused(
        33,
        "level = \"loud\"",
        "unknown variant `loud`, expected one of `error`",
    );
    assert_refused(
        34,
        "format = \"xml\"",
        "unknown variant `xml`, expected `text` or `json`",
    );
}

#[test]
fn the_operators_page_lists_every_key() {
    let page = include_str!("../docs/OPERATORS.md");
    let optional_keys =
        "caller_advertise\npeer_advertise\n[platform]\nstore_url\nstream\n[log]\nfile";
    let text = format!("{SETTINGS}{optional_keys}");
    let mut section = String::new();
    for line in text.lines() {
        let key = line.split('=').next().unwrap_or_default().trim();
        match key.strip_prefix('[') {
            Some(name) => section = format!("{}.", name.trim_end_matches(']')),
            None if key.is_empty() => {}
            None if key.ends_with("_advertise") => assert!(page.contains(&format!("`{key}`"))),
            None => assert!(
                page.contains(&format!("`{section}{key}`")),
                "{section}{key}"
            ),
        }
    }
}
