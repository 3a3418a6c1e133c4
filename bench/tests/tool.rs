//! The tool's commands against a site.

mod common;

use common::{Run, file, tool};
use mangovale::daemon::node::Node;
use mangovale::daemon::trace::{Trace, TraceFile, TracedEvent};
use mangovale_bench::site::{EngineSpec, Site, api_key};
use std::mem::size_of;
use std::net::SocketAddr;

const EDIT: &str = r#"
operator = "asha"
[[changes]]
change = "put_brand"
name = "north"
brand = { key_sha256 = [] }
[[changes]]
change = "put_model"
name = "review"
model = { version = "1", reserved_bytes = 1000, checkpoint_bytes = 1000 }
[[changes]]
change = "put_row"
brand = "north"
model = "review"
row = { weight = 2 }
"#;

fn one_host() -> Site {
    Site::plan().hosts(1).start()
}

fn serving(hosts: usize) -> Site {
    let site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .service("booking-1", &[])
        .hosts(hosts)
        .start();
    site.put_model("review", 1_000, &["north"]);
    site.put_service("booking", &["booking-1"], &["north"]);
    site
}

fn send(site: &Site, hosts: &[SocketAddr], arguments: &[&str]) -> Run {
    let urls: Vec<String> = hosts.iter().map(|host| format!("http://{host}")).collect();
    let key = api_key("north");
    let mut all = vec!["send", "--key", &key];
    for url in &urls {
        all.extend(["--host", url]);
    }
    all.extend(arguments);
    tool(site, 0, &all)
}

#[test]
fn a_dry_run_shows_the_changes_and_sends_nothing() {
    let site = one_host();
    let edit = file(&site, "edit.toml", EDIT);
    tool(&site, 0, &["table", "edit", "--dry-run", &edit])
        .exits_with(0)
        .prints("+ row north / review: ")
        .prints("nothing was sent");
    assert_eq!(site.operator_get(0, "/table")["version"], 0);
}

#[test]
fn an_edit_shows_only_the_fields_that_change() {
    let site = one_host();
    let edit = file(&site, "edit.toml", EDIT);
    tool(&site, 0, &["table", "edit", &edit])
        .exits_with(0)
        .prints("is in force everywhere");
    let edit = file(
        &site,
        "edit.toml",
        &EDIT.replace("weight = 2", "weight = 3"),
    );
    tool(&site, 0, &["table", "edit", &edit])
        .exits_with(0)
        .prints("~ row north / review: weight 2 -> 3\n")
        .prints("= model review\n");
}

#[test]
fn an_edit_id_sent_twice_has_one_answer() {
    let site = one_host();
    let edit = file(&site, "edit.toml", EDIT);
    let arguments = ["table", "edit", "--json", "--edit-id", "first", &edit];
    let first = tool(&site, 0, &arguments).exits_with(0).json();
    let second = tool(&site, 0, &arguments).exits_with(0).json();
    assert_eq!(first, second);
    let history = tool(&site, 0, &["table", "history", "--json"]).json();
    assert_eq!(history.as_array().map(Vec::len), Some(1));
}

#[test]
fn an_edit_based_on_an_old_version_is_a_conflict() {
    let site = one_host();
    let edit = file(&site, "edit.toml", EDIT);
    tool(&site, 0, &["table", "edit", &edit]).exits_with(0);
    for arguments in [&["table", "edit", "--dry-run"][..], &["table", "edit"]] {
        let arguments = [arguments, &["--base-version", "0", &edit]].concat();
        tool(&site, 0, &arguments)
            .exits_with(5)
            .says("refused (edit_conflict)")
            .says("next: read the table again and redo the edit");
    }
}

#[test]
fn a_malformed_edit_file_names_its_line() {
    let site = one_host();
    let edit = file(
        &site,
        "edit.toml",
        &EDIT.replace("weight = 2", "wieght = 2"),
    );
    tool(&site, 0, &["table", "edit", &edit])
        .exits_with(1)
        .says("unknown field `wieght`")
        .says("line ");
}

#[test]
fn an_unknown_key_of_a_change_is_refused() {
    let site = one_host();
    let edit = file(
        &site,
        "edit.toml",
        &EDIT.replace("row = {", "priority = 1\nrow = {"),
    );
    tool(&site, 0, &["table", "edit", &edit])
        .exits_with(1)
        .says("change 3: unknown key `priority`");
}

#[test]
fn the_views_print_columns_and_json() {
    let site = serving(2);
    for (arguments, cells) in [
        (&["table", "show"][..], &["BRAND", "north", "review"][..]),
        (&["table", "history"], &["EDIT", "accepted"]),
        (&["hosts"], &["HOST", "entry-2", "present"]),
        (&["placements"], &["UPSTREAM", "engine-1", "booking-1"]),
        (&["dump"], &["\"fresh\": true"]),
    ] {
        let run = tool(&site, 0, arguments).exits_with(0);
        cells.iter().fold(run, |run, cell| run.prints(cell));
        let json = [arguments, &["--json"]].concat();
        tool(&site, 0, &json).exits_with(0).json();
    }
}

#[test]
fn health_exits_with_0_only_while_the_host_serves() {
    let mut site = one_host();
    let url = format!("http://{}", site.hosts[0].caller);
    tool(&site, 0, &["health", "--host", &url])
        .exits_with(0)
        .prints("serving");
    site.host(0).process.kill();
    tool(&site, 0, &["health", "--host", &url])
        .exits_with(3)
        .says("cannot connect");
}

#[test]
fn send_asks_which_hosts_to_use() {
    let site = serving(3);
    let run = send(
        &site,
        &[site.hosts[0].caller],
        &["--entry", "--json", "--model", "review", "hello"],
    );
    let answer = run.exits_with(0).json();
    assert_eq!(answer["status"], 200);
    assert!(answer["tokens"].as_u64() > Some(0), "{answer}");
}

#[test]
fn send_goes_on_to_the_next_host() {
    let mut site = serving(2);
    let hosts = [site.hosts[0].caller, site.hosts[1].caller];
    site.host(0).process.kill();
    send(&site, &hosts, &["--model", "review", "hello"])
        .exits_with(0)
        .says("nothing was run, trying the next host");
}

#[test]
fn send_calls_a_plain_service_once_for_one_key() {
    let site = serving(1);
    let arguments = [
        "--service",
        "booking",
        "--path",
        "/slots",
        "--body",
        "{\"slot\":4}",
        "--idempotency-key",
        "b-17",
    ];
    send(&site, &[site.hosts[0].caller], &arguments)
        .exits_with(0)
        .says("status 200");
}

#[test]
fn send_exits_by_the_kind_of_refusal() {
    let site = serving(1);
    let host = [site.hosts[0].caller];
    send(&site, &host, &["--model", "nothing", "hello"])
        .exits_with(4)
        .says("refused (unknown_model)");
    send(
        &site,
        &host,
        &["--model", "review", "--deadline-ms", "1", "hello"],
    )
    .exits_with(8);
}

#[test]
fn a_trace_of_a_daemon_replays_to_the_same_state() {
    let site = serving(2);
    let host = [site.hosts[0].caller];
    send(&site, &host, &["--model", "review", "hello"]).exits_with(0);
    send(&site, &host, &["--service", "booking", "--body", "{}"]).exits_with(0);
    let text = tool(&site, 0, &["trace"]).exits_with(0).out;
    replays(&site, &text);
    replays(&site, &with_a_start(&text));
}

fn replays(site: &Site, trace: &str) {
    let trace = file(site, "entry-1.trace", trace);
    tool(site, 0, &["replay", &trace])
        .exits_with(0)
        .prints("the state at the end is the recorded one");
}

/// Records a whole trace again with a bound that makes it start in its midst.
fn with_a_start(text: &str) -> String {
    let file: TraceFile = serde_json::from_str(text).expect("a trace");
    let mut node = Node::new(file.config.clone());
    let bytes = file.events.len() * size_of::<TracedEvent>();
    let mut trace = Trace::with_max_bytes(file.config, bytes);
    for TracedEvent { at, event } in file.events {
        trace.push(at, &event, &node);
        node.handle(at, event);
    }
    let text = trace.to_file(&node).expect("a trace can be encoded");
    assert!(
        text.contains("\"start\":{"),
        "the trace starts from a new node"
    );
    text
}
