//! An order of the former holder, left unanswered by a model server that then starts again under its id, is carried
//! out after the orders of the next holder.

use crate::Verdict;
use crate::clients::send;
use crate::engine::Engine;
use crate::hosts::EntryHost;
use crate::record::Record;
use crate::store::Store;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMORY_MB: f64 = 83_000.0;
/// The models and their sizes. The server holds the first two at the start.
const MODELS: [(&str, f64); 4] = [
    ("portfolio", 34_300.0),
    ("coaching", 34_300.0),
    ("letters", 16_100.0),
    ("signoff", 30_000.0),
];
/// For how long the server is down.
const DOWN_MS: u64 = 2_000;
/// The time from the order to its effect.
const LATE_MS: u64 = 11_900;
const HOSTS: [&str; 3] = ["front-1", "front-2", "front-3"];

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn state() -> String {
    let models: Vec<String> = MODELS
        .iter()
        .map(|(name, size)| format!("{{\"name\":\"{name}\",\"weightsMb\":{size},\"loadS\":6,\"adapters\":0,\"adapterMb\":100}}"))
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"ask\",\"host\":\"site.example\",\"pathPrefix\":\"/ask/\",\"kind\":\"stream\",\
         \"timeoutMs\":13000,\"sloMs\":2000,\"priority\":1,\"service\":\"llm\",\"attempts\":1,\"canResume\":false,\"gapAimMs\":500}}],\
         \"services\":[{{\"name\":\"llm\",\"maxConns\":490,\"healthPath\":\"/healthz\",\"engine\":{{\"slots\":96,\"kvTokens\":199917,\
         \"weightsMb\":{MEMORY_MB},\"adapterSlots\":8,\"loadsPerS\":2.1,\"models\":[{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":10000}}}}",
        models.join(",")
    )
}

pub fn run(directory: &Path, work: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(directory)?);
    let store = Store::start()?;
    let sizes: Vec<(String, f64)> = MODELS
        .iter()
        .map(|(name, size)| (name.to_string(), *size))
        .collect();
    store.put("keyed.op", "config", &state());
    let engine = Engine::start_with(
        "i-e1",
        unix_ms(),
        Duration::from_secs(6),
        Some((MEMORY_MB, sizes)),
        Duration::from_secs(3),
        &record,
    )?;
    engine.place(MODELS[0].0);
    engine.place(MODELS[1].0);
    if has_trouble {
        engine.withhold(2);
    }
    let entry = engine.entry("llm", "north");
    record.note(&format!("entry of i-e1: {entry}"));
    store.put("keyed.servers", "i-e1", &entry);
    let mut hosts = Vec::new();
    for name in HOSTS {
        hosts.push(EntryHost::start(name, "north", store.address, work)?);
    }
    for host in &hosts {
        if !host.wait_until_ready() {
            return Ok(Verdict::CouldNotRun("a host is not ready".to_string()));
        }
    }
    let callers: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    sleep(3_000);
    let is_over = AtomicBool::new(false);
    let (asked, whole) = (AtomicUsize::new(0), AtomicUsize::new(0));
    // Which models are asked for: the first two rows of the day, then its last ones.
    let is_later = AtomicBool::new(false);
    let verdict = std::thread::scope(|scope| {
        let (record, callers, is_over, is_later) = (&record, &callers, &is_over, &is_later);
        let (asked, whole, store, engine) = (&asked, &whole, &store, &engine);
        scope.spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                store.put_if_changed("keyed.servers", "i-e1", &engine.entry("llm", "north"));
                sleep(100);
            }
        });
        scope.spawn(move || {
            std::thread::scope(|clients| {
                let mut n = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let models: &[&str] = match is_later.load(Ordering::SeqCst) {
                        false => &["portfolio", "letters", "signoff"],
                        true => &["portfolio", "coaching"],
                    };
                    let model = models[n % models.len()];
                    let host = callers[n % callers.len()];
                    clients.spawn(move || {
                        let headers = format!(
                            "X-Model: {model}\r\nX-Token-Count: 100,10\r\nX-Prompt-Prefix: ab:50,{n:x}:50\r\n"
                        );
                        let sent = send(record, host, &format!("ask-{n}"), "/ask/1", 10_000, &headers);
                        asked.fetch_add(1, Ordering::SeqCst);
                        whole.fetch_add(usize::from(sent.status() == 200), Ordering::SeqCst);
                    });
                    n += 1;
                    sleep(200);
                }
            });
        });
        let verdict = play(record, engine, &mut hosts, is_later, has_trouble);
        is_over.store(true, Ordering::SeqCst);
        verdict
    })?;
    let overloads = engine.overloads.lock().unwrap().len();
    record.note(&format!(
        "orders to load more than the memory holds: {overloads}; requests that ends of the server broke off: {}; of {} requests {} were answered whole",
        engine.broken.lock().unwrap().len(),
        asked.into_inner(),
        whole.into_inner()
    ));
    Ok(match (verdict, overloads) {
        (Some(why), 0) => Verdict::CouldNotRun(why),
        (_, 0) => Verdict::Held,
        (_, _) => Verdict::Broken,
    })
}

/// Plays the day; returns why it could not be played.
fn play(
    record: &Record,
    engine: &Engine,
    hosts: &mut [EntryHost],
    is_later: &AtomicBool,
    has_trouble: bool,
) -> std::io::Result<Option<String>> {
    if !has_trouble {
        sleep(20_000);
        record.note("the demand moves to coaching");
        is_later.store(true, Ordering::SeqCst);
        sleep(20_000);
        return Ok(None);
    }
    let until = record.now_ms() + 40_000;
    let order = loop {
        if let Some(order) = engine.withheld() {
            break order;
        }
        if record.now_ms() > until {
            return Ok(Some("the third order did not come".to_string()));
        }
        sleep(5);
    };
    let ordered_ms = record.now_ms();
    is_later.store(true, Ordering::SeqCst);
    let holder = HOSTS
        .iter()
        .position(|name| order.contains(&format!("\"holder\":\"{name}-")));
    let Some(holder) = holder else {
        return Ok(Some(format!("no host is known that sent {order}")));
    };
    record.note(&format!(
        "{}, which gave the order, is killed",
        HOSTS[holder]
    ));
    hosts[holder].kill();
    sleep(50);
    record.note("the server crashes; the demand moves to coaching");
    engine.crash();
    sleep(1_000);
    hosts[holder].run()?;
    record.note(&format!("{} is started again", HOSTS[holder]));
    sleep((ordered_ms + DOWN_MS).saturating_sub(record.now_ms()));
    let born = unix_ms();
    engine.begin(born);
    record.note(&format!(
        "the server is back under its id, empty, born {born}"
    ));
    sleep((ordered_ms + LATE_MS).saturating_sub(record.now_ms()));
    let broken = || engine.broken.lock().unwrap().len();
    let broken_before = broken();
    engine.carry_out(&order);
    sleep(4_000);
    record.note(&format!(
        "streams that its crash broke off: {}",
        broken() - broken_before
    ));
    Ok(None)
}
