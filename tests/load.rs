//! Tests of `mangovale load` with log lines and metrics of hosts.

mod common;

use common::TestDirectory;

/// Returns the end line of a request.
fn end_line(number: u32, event: u16, rank: u8, in_time: &str) -> String {
    let (route, service) = (["chat", "letters"][usize::from(rank)], "models");
    let wait_ms = number * 10;
    format!(
        r#"{{"at_unix_ms":{number},"event":{event},"name":"End","digest":"d{}","organisation":"north","route":"{route}","service":"{service}","rank":{rank},"in_time":{in_time},"waited_ms":{wait_ms}}}"#,
        number % 20,
    ) + "\n"
}

/// Writes the lines of 40 requests of each rank: of the more urgent one 20 are in time, 10 late
/// and 10 refused twice, of the less urgent one 38 are in time.
fn directory() -> TestDirectory {
    let urgent = (0..40).map(|number| match number {
        0..20 => end_line(number, 703, 0, "true"),
        20..30 => end_line(number, 703, 0, "false"),
        _ => end_line(number % 5 + 30, 700, 0, "null"),
    });
    let less_urgent = (0..40).map(|number| match number {
        0..38 => end_line(100 + number, 703, 1, "true"),
        _ => end_line(100 + number, 705, 1, "null"),
    });
    let directory = TestDirectory::new();
    directory.file("host-1.log", &urgent.collect::<String>());
    directory.file("host-2.log", &less_urgent.collect::<String>());
    let metrics = r#"# TYPE mangovale_entry_served_total counter
mangovale_entry_served_total{outcome="in_time",rank="0",route="chat"} 30
mangovale_entry_served_total{outcome="late_gap",rank="0",route="chat"} 10
mangovale_entry_served_total{outcome="refused",rank="other",route="other"} 4
mangovale_entry_organisation_total{organisation="south",outcome="failed"} 7
mangovale_entry_sends_total{outcome="answered"} 9
mangovale_entry_served_total{outcome="in_time" broken
"#;
    directory.file("host-3.metrics", metrics);
    directory
}

/// Guards against requests that are counted in no row or in a wrong one, and against an inversion
/// that is not named.
#[test]
fn log_lines_give_both_tables_and_the_inversion() {
    let run = directory().tool(&["load", "host-1.log", "host-2.log"]);
    run.exits_with(0)
        .prints("service  rank  route    asked  in time  late  refused  failed  left")
        .prints("models   0     chat     40     20       10    10       0       0     5")
        .prints("models   1     letters  40     38       0     0        0       2     0")
        .prints("north         80     58       10    10       0       2     5")
        .prints("priority inversion at service models: rank 0 has 50.0% in time, rank 1 has 95.0%");
}

/// Guards against metrics that are read as log lines, and against other metrics in the sums.
#[test]
fn metrics_give_the_counts_that_they_have() {
    let run = directory().tool(&["load", "--json", "host-3.metrics"]);
    run.exits_with(0)
        .prints(r#""asked":40,"failed":0,"in_time":30,"late":10"#)
        .prints(r#""route":"other""#)
        .prints(r#""organisation":"south""#)
        .prints(r#""median_wait_ms":null"#);
}

/// Guards against an empty table in place of an error.
#[test]
fn a_missing_file_is_named() {
    let run = directory().tool(&["load", "host-9.log"]);
    run.exits_with(1).prints_error("host-9.log");
}
