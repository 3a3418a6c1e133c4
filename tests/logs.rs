//! Tests of `mangovale logs` with the log files of two hosts.

mod common;

use common::TestDirectory;

const HOST_1: &str = r#"{"at_unix_ms":2000,"level":"DEBUG","event":700,"name":"RequestRefused","request":"r1","status":503,"why":"starting"}
{"at_unix_ms":1000,"level":"INFO","event":403,"name":"DesiredTaken","version":4,"routes":1}
"#;
const HOST_2: &str = r#"{"at_unix_ms":1500,"level":"INFO","event":403,"name":"DesiredTaken","version":4,"routes":1}
{"at_unix_ms":2600,"level":"INFO","event":703,"name":"RequestAnswered","request":"r1"}
"#;

fn directory_with_logs() -> TestDirectory {
    let directory = TestDirectory::new();
    directory.file("host-1.log", HOST_1);
    directory.file("host-2.log", HOST_2);
    directory
}

#[test]
fn the_lines_of_a_request_are_printed_from_all_hosts() {
    let run = directory_with_logs().tool(&["logs", "request", "r1", "host-1.log", "host-2.log"]);
    run.exits_with(0)
        .prints("0 ms  host-1  {\"at_unix_ms\":2000")
        .prints("600 ms  host-2  {\"at_unix_ms\":2600");
}

#[test]
fn the_spread_of_a_desired_state_names_the_last_host() {
    let run = directory_with_logs().tool(&["logs", "--json", "spread", "host-1.log", "host-2.log"]);
    run.exits_with(0)
        .prints("\"last_ms\":500")
        .prints("\"last_host\":\"host-2\"");
}

#[test]
fn refusals_are_printed_by_cause() {
    let run = directory_with_logs().tool(&["logs", "refusals", "host-1.log", "host-2.log"]);
    run.exits_with(0).prints("1 x 503 starting");
}

#[test]
fn a_missing_file_is_named() {
    let run = directory_with_logs().tool(&["logs", "leases", "host-9.log"]);
    run.exits_with(1)
        .prints_error("host-9.log")
        .prints_error("next:");
}
