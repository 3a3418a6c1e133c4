//! A model server whose clock was ahead at its first start starts again under its id with the clock set right, so
//! that its second start (`born`) is a smaller number than its first.

use crate::Verdict;
use crate::clients::send;
use crate::engine::Engine;
use crate::hosts::EntryHost;
use crate::record::Record;
use crate::store::Store;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const RECOVER_MS: u64 = 12_000;
const STEP_MS: u64 = 2_000;

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64)
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn run(directory: &Path, work: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(directory)?);
    let store = Store::start()?;
    let state = r#"{"version":1,"routes":[{"name":"ask","host":"site.example","pathPrefix":"/ask/","kind":"stream","timeoutMs":5000,"sloMs":1000,"priority":1,"service":"llm","attempts":2,"canResume":false,"gapAimMs":500}],"services":[{"name":"llm","maxConns":200,"healthPath":"/healthz","engine":{"slots":8,"kvTokens":90000,"weightsMb":80000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m1","weightsMb":20000,"loadS":1,"adapters":0,"adapterMb":100}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;
    store.put("keyed.op", "config", state);
    let mut hosts = Vec::new();
    for name in ["front-1", "front-2"] {
        hosts.push(EntryHost::start(name, "north", store.address, work)?);
    }
    // The first host orders at once; the engine joins a site that runs.
    sleep(500);
    let engine = Engine::start("i-e1", unix_ms(), Duration::from_secs(1), &record)?;
    let publish = |why: &str| {
        let entry = engine.entry("llm", "north");
        record.note(&format!("the entry of the engine {why}: {entry}"));
        store.put("keyed.servers", "i-e1", &entry);
    };
    publish("at its first start");
    for host in &hosts {
        if !host.wait_until_ready() {
            return Ok(Verdict::CouldNotRun("a host is not ready".to_string()));
        }
    }
    let mut number = 0;
    let mut ask = || {
        number += 1;
        let host = hosts[number % 2].callers;
        let headers = "X-Model: m1\r\nX-Token-Count: 100,10\r\nX-Prompt-Prefix: ab:100\r\n";
        let sent = send(
            &record,
            host,
            &format!("ask-{number}"),
            "/ask/1",
            4_000,
            headers,
        );
        publish_if_changed(&engine, &store, &record);
        sent
    };
    let (mut asked_before, mut served_before) = (0u32, 0u32);
    while record.now_ms() < 8_000 {
        sleep(250);
        asked_before += 1;
        served_before += u32::from(ask().status() == 200);
    }
    let ahead_ms = if has_trouble { STEP_MS } else { 0 };
    record.note(&format!(
        "the time of day on the machine of the engine jumps forward by {ahead_ms} ms"
    ));
    record.note("the engine ends");
    engine.crash();
    sleep(500);
    let second_born = unix_ms() + ahead_ms;
    engine.begin(second_born);
    publish("at its second start");
    sleep(500);
    record.note("the time of day jumps back");
    record.note("the engine ends");
    engine.crash();
    sleep(500);
    let third_born = unix_ms();
    engine.begin(third_born);
    record.note(&format!(
        "the starts of the engine by its clock: {second_born}, then {third_born}"
    ));
    publish("at its third start");
    let back_ms = record.now_ms();
    let (mut asked, mut served) = (0u32, 0u32);
    while record.now_ms() < back_ms + RECOVER_MS + 20_000 {
        sleep(500);
        let sent = ask();
        if sent.sent_ms > back_ms + RECOVER_MS {
            asked += 1;
            served += u32::from(sent.status() == 200);
        }
    }
    record.note(&format!(
        "of {asked_before} requests sent before the faults, {served_before} were served"
    ));
    if served_before * 4 < asked_before {
        return Ok(Verdict::CouldNotRun(
            "the site served too little before the faults".to_string(),
        ));
    }
    let verdict = match served * 4 < asked {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    record.note(&format!("of {asked} requests sent later than {RECOVER_MS} ms after the engine was back, {served} were served"));
    Ok(verdict)
}

/// A server writes its entry when more than `seq` changes.
fn publish_if_changed(engine: &Engine, store: &Store, record: &Record) {
    use std::sync::Mutex;
    static LAST: Mutex<String> = Mutex::new(String::new());
    let entry = engine.entry("llm", "north");
    let told = entry
        .split("\"models\"")
        .nth(1)
        .unwrap_or_default()
        .to_string();
    let mut last = LAST.lock().unwrap();
    if *last != told {
        *last = told;
        record.note(&format!("the entry of the engine changes: {entry}"));
        store.put("keyed.servers", "i-e1", &entry);
    }
}
