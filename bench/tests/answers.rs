//! Each request has one outcome in time: its own whole answer, or a refusal that says what is known.

use mangovale_bench::call::{Caller, Outcome, message_digest};
use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Site};
use serde_json::{Value, json};
use smol::Task;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const MODEL: &str = "review";
const BRAND: &str = "north";
const DEADLINE_MS: u64 = 8_000;
const MARGIN_MS: u64 = 1_000;
const TOKENS: usize = 16;

fn engine(token_ms: u64) -> EngineSpec {
    EngineSpec {
        token_ms,
        load_ms: 50,
        ..EngineSpec::named("engine-1")
    }
}

fn site(token_ms: u64) -> Site {
    let site = Site::plan().engine(engine(token_ms)).hosts(2).start();
    site.put_model(MODEL, 1_000, &[BRAND]);
    for host in 0..2 {
        for _ in 0..2 {
            let outcome = send(&site, host, "a first question");
            assert!(outcome.is_success(), "{outcome:?}");
        }
    }
    site
}

async fn ask(caller: Caller, host: SocketAddr, message: String, deadline_ms: u64) -> Outcome {
    caller.chat(host, MODEL, &message, Some(deadline_ms)).await
}

fn begin(site: &Site, host: usize, message: &str) -> Task<Outcome> {
    let (caller, address) = (site.caller(BRAND), site.hosts[host].caller);
    smol::spawn(ask(caller, address, message.to_string(), DEADLINE_MS))
}

fn send(site: &Site, host: usize, message: &str) -> Outcome {
    smol::block_on(begin(site, host, message))
}

fn running(site: &Site) -> u64 {
    site.engines[0].get("/state")["running"]
        .as_u64()
        .unwrap_or(0)
}

fn wait_running(site: &Site, count: u64) {
    wait_for("requests at the engine", || running(site) == count);
}

/// Checks that an outcome came in time, and that an answer is whole and the caller's own.
fn check(message: &str, outcome: &Outcome) {
    match outcome {
        Outcome::Answered {
            text,
            digest,
            total_ms,
            ..
        } => {
            assert_eq!(digest.as_deref(), Some(message_digest(message).as_str()));
            assert_eq!(text.split_whitespace().count(), TOKENS, "{message}");
            assert!(*total_ms <= DEADLINE_MS + MARGIN_MS, "{total_ms} ms");
        }
        Outcome::Refused { total_ms, .. } => {
            assert!(*total_ms <= DEADLINE_MS + MARGIN_MS, "{total_ms} ms");
        }
        other => panic!("{message}: {other:?}"),
    }
}

#[test]
fn a_killed_engine_ends_the_stream_with_an_error() {
    let mut site = site(50);
    let task = begin(&site, 0, "case 1");
    wait_running(&site, 1);
    site.engines[0].process.kill();
    let outcome = smol::block_on(task);
    check("case 1", &outcome);
    assert_eq!(outcome.refusal_kind(), Some("answer_broken"), "{outcome:?}");
}

#[test]
fn a_frozen_engine_ends_the_stream_with_an_error_in_time() {
    let site = site(50);
    let task = begin(&site, 0, "case 1");
    wait_running(&site, 1);
    site.engines[0].process.freeze();
    let outcome = smol::block_on(task);
    check("case 1", &outcome);
    assert_eq!(outcome.refusal_kind(), Some("answer_broken"), "{outcome:?}");
    site.engines[0].process.thaw();
}

#[test]
fn a_stream_whose_connection_goes_silent_is_resumed() {
    let site = site(50);
    let task = begin(&site, 0, "case 1");
    wait_running(&site, 1);
    site.engines[0].faults(&json!({ "silent": true }));
    let outcome = smol::block_on(task);
    check("case 1", &outcome);
    assert!(outcome.is_success(), "{outcome:?}");
}

#[test]
fn silent_kept_connections_cost_one_bound_and_no_answer() {
    let site = site(5);
    site.engines[0].faults(&json!({ "silent": true }));
    let started_at = Instant::now();
    let messages: Vec<String> = (0..8).map(|number| format!("case {number}")).collect();
    let tasks: Vec<Task<Outcome>> = messages
        .iter()
        .enumerate()
        .map(|(number, message)| begin(&site, number % 2, message))
        .collect();
    for (message, task) in messages.iter().zip(tasks) {
        let outcome = smol::block_on(task);
        check(message, &outcome);
        assert!(outcome.is_success(), "{outcome:?}");
    }
    println!(
        "answers over silent connections: {:?}",
        started_at.elapsed()
    );
    assert!(started_at.elapsed() < Duration::from_secs(4));
}

#[test]
fn broken_streams_are_whole_or_say_that_they_are_not() {
    const REQUESTS: usize = 60;
    let site = site(2);
    site.engines[0].faults(&json!({ "lose_answers": 0.5, "seed": 11, "paths": ["/v1/"] }));
    let mut whole = 0;
    for number in 0..REQUESTS {
        let message = format!("case {number}");
        let outcome = send(&site, number % 2, &message);
        check(&message, &outcome);
        whole += usize::from(outcome.is_success());
    }
    println!("broken streams: {whole} of {REQUESTS} whole");
    assert!(whole * 10 >= REQUESTS * 8, "{whole} of {REQUESTS} whole");
}

#[test]
fn many_answers_at_once_go_to_their_own_callers() {
    let site = site(2);
    let messages: Vec<String> = (0..200).map(|number| format!("case {number}")).collect();
    let tasks: Vec<Task<Outcome>> = messages
        .iter()
        .enumerate()
        .map(|(number, message)| begin(&site, number % 2, message))
        .collect();
    for (message, task) in messages.iter().zip(tasks) {
        let outcome = smol::block_on(task);
        check(message, &outcome);
        assert!(outcome.is_success(), "{outcome:?}");
    }
}

#[test]
fn warm_models_go_on_without_the_log() {
    let site = site(2);
    site.log.faults(&json!({ "outage": true }));
    wait_for("the outage to be seen", || {
        let dump = site.operator_get(0, "/dump");
        dump["node"]["driver"]["reachable"] == json!(false)
    });
    for number in 0..20 {
        let message = format!("case {number}");
        let outcome = send(&site, number % 2, &message);
        check(&message, &outcome);
        assert!(outcome.is_success(), "{outcome:?}");
    }
}

#[test]
fn overload_is_answered_or_refused_by_the_deadline() {
    const CALLERS: usize = 80;
    const TIGHT_MS: u64 = 1_500;
    let spec = EngineSpec {
        slots: 2,
        ..engine(20)
    };
    let site = Site::plan().engine(spec).hosts(2).start();
    site.put_model(MODEL, 1_000, &[BRAND]);
    assert!(send(&site, 0, "a first question").is_success());
    let tasks: Vec<(String, Task<Outcome>)> = (0..CALLERS)
        .map(|number| {
            let message = format!("case {number}");
            let host = site.hosts[number % 2].caller;
            let ask = ask(site.caller(BRAND), host, message.clone(), TIGHT_MS);
            (message, smol::spawn(ask))
        })
        .collect();
    let mut answered = 0;
    let mut latest_ms = 0;
    for (message, task) in tasks {
        let outcome = smol::block_on(task);
        check(&message, &outcome);
        answered += usize::from(outcome.is_success());
        if let Outcome::Refused {
            retry_after_ms,
            total_ms,
            kind,
            ..
        } = &outcome
        {
            assert!(
                kind == "answer_broken" || retry_after_ms.is_some(),
                "{outcome:?}"
            );
            latest_ms = latest_ms.max(*total_ms);
        }
    }
    println!("overload: {answered} of {CALLERS} answered, last refusal after {latest_ms} ms");
    assert!(answered > 0);
    assert!(
        latest_ms <= TIGHT_MS + MARGIN_MS,
        "refused after {latest_ms} ms"
    );
}

fn raw_chat(host: SocketAddr, body: &Value, sent_bytes: usize) -> TcpStream {
    let body = body.to_string();
    let mut stream = TcpStream::connect(host).expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {BRAND}-key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let sent = &body.as_bytes()[..sent_bytes.min(body.len())];
    stream.write_all(sent).expect("the body is sent");
    stream
}

fn question(max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "a long case" }],
    })
}

#[test]
fn the_engine_stops_for_a_caller_that_left() {
    let site = site(20);
    for stream in [true, false] {
        let connection = raw_chat(site.hosts[0].caller, &question(8_000, stream), usize::MAX);
        wait_running(&site, 1);
        drop(connection);
        wait_running(&site, 0);
    }
}

#[test]
fn a_caller_that_never_ends_its_body_is_refused_and_holds_nobody_up() {
    let site = site(2);
    let mut slow = raw_chat(site.hosts[0].caller, &question(16, true), 10);
    let outcome = send(&site, 0, "case 1");
    check("case 1", &outcome);
    assert!(outcome.is_success());
    let mut answer = [0; 64];
    let count = slow.read(&mut answer).expect("a refusal");
    let line = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(line.starts_with("HTTP/1.1 400"), "{line}");
}

#[test]
fn a_caller_that_never_reads_is_given_up_and_holds_nobody_up() {
    let site = site(0);
    let idle: Vec<TcpStream> = (0..4)
        .map(|_| raw_chat(site.hosts[0].caller, &question(8_000, true), usize::MAX))
        .collect();
    let outcome = send(&site, 0, "case 1");
    check("case 1", &outcome);
    assert!(outcome.is_success());
    wait_for("the host to let the unread answers go", || {
        let dump = site.operator_get(0, "/dump");
        let held = &dump["node"]["requests"]["held"];
        held.as_object().is_some_and(serde_json::Map::is_empty)
    });
    drop(idle);
}
