//! Tests of the trace of a node's inputs, its size limit, and its replay by the tool.

mod common;

use common::TestDirectory;
use mangovale::clock::Millis;
use mangovale::daemon::event::Event;
use mangovale::daemon::node::{Node, NodeConfig};
use mangovale::daemon::trace::{Trace, TraceFile};
use mangovale::membership::message::{HostEntry, ListedHost, PlatformList};
use mangovale::settings::TimingSettings;
use mangovale::shared_log::record::Incarnation;

const STARTED_AT: Millis = Millis(1_000_000);
const MAX_TRACE_BYTES: usize = 64 << 10;

fn config() -> NodeConfig {
    let timing = TimingSettings::default();
    let address = "127.0.0.1:7000".parse().expect("an address");
    NodeConfig {
        me: Incarnation(1),
        entry: HostEntry {
            name: "entry-1".into(),
            data_centre: "here".into(),
            caller_address: address,
            peer_address: address,
        },
        fresh_bound_ms: timing.fresh_bound_ms,
        pause_ms: timing.pause_ms,
        probe_interval_ms: timing.probe_interval_ms,
        suspect_after_ms: timing.suspect_after_ms,
        probes_per_round: timing.probes_per_round,
        keep_warm: Default::default(),
    }
}

fn host_list(length: usize) -> Event {
    let listed = |number| ListedHost {
        name: format!("entry-{number}").into(),
        incarnation: Some(Incarnation(number as u64)),
    };
    let hosts = (0..length).map(listed).collect();
    let list = PlatformList {
        hosts,
        ..PlatformList::default()
    };
    Event::HostsListed { list }
}

/// Passes `steps` pairs of a tick and a host list to a node and records them in a trace. The pairs
/// are 20 ms apart, and the lists have 0 to 6 hosts.
fn record(steps: u64) -> (Trace, Node) {
    let mut node = Node::new(config());
    let mut trace = Trace::with_max_bytes(config(), MAX_TRACE_BYTES);
    for step in 0..steps {
        let at = STARTED_AT + Millis(step * 20);
        for event in [Event::Tick, host_list((step % 7) as usize)] {
            trace.push(at, &event, &node);
            node.handle(at, event);
        }
    }
    (trace, node)
}

fn to_file(trace: &Trace, node: &Node) -> (String, TraceFile) {
    let text = trace.to_file(node).expect("a trace can be encoded");
    let file = serde_json::from_str(&text).expect("a trace can be decoded");
    (text, file)
}

#[test]
fn a_short_trace_starts_from_a_new_node() {
    let (trace, node) = record(5);
    let (_, file) = to_file(&trace, &node);
    assert!(file.start.is_none());
    assert_eq!(file.events.len(), 10);
}

#[test]
fn a_long_trace_stays_within_its_size_limit_and_keeps_the_newest_events() {
    let (trace, node) = record(2_000);
    assert!(trace.bytes() <= MAX_TRACE_BYTES, "{}", trace.bytes());
    let (_, file) = to_file(&trace, &node);
    assert!(file.start.is_some());
    let last = file.events.last().expect("an event");
    assert_eq!(last.at, STARTED_AT + Millis(1_999 * 20));
}

#[test]
fn a_long_trace_replays_to_the_recorded_state() {
    let (trace, node) = record(2_000);
    let directory = TestDirectory::new();
    directory.file("long.trace", &to_file(&trace, &node).0);
    directory
        .tool(&["replay", "long.trace"])
        .exits_with(0)
        .prints("the state at the end is the recorded one");
}

#[test]
fn a_replay_that_ends_in_another_state_is_reported() {
    let (trace, node) = record(5);
    let directory = TestDirectory::new();
    let text = to_file(&trace, &node)
        .0
        .replace("\"Tick\"", "\"StopAsked\"");
    directory.file("changed.trace", &text);
    directory
        .tool(&["replay", "changed.trace", "--json"])
        .exits_with(11)
        .prints("\"same_end\":false");
}
