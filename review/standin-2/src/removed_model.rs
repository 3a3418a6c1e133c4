//! The operator removes a model from the desired state while model servers hold it.

use crate::Verdict;
use crate::clients::send;
use crate::engine::Engine;
use crate::hosts::EntryHost;
use crate::record::Record;
use crate::store::Store;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMORY_MB: f64 = 83_000.0;
/// The models and their sizes. The servers hold the first two of each row at the start; there is no room for the third.
const MODELS: [[(&str, f64); 3]; 2] = [
    [
        ("portfolio", 34_300.0),
        ("archive", 34_300.0),
        ("signoff", 30_000.0),
    ],
    [
        ("coaching", 34_300.0),
        ("tutor", 34_300.0),
        ("letters", 30_000.0),
    ],
];

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn state(version: u32, without: Option<&str>) -> String {
    let models = MODELS
        .iter()
        .flatten()
        .filter(|(name, _)| Some(*name) != without);
    let models: Vec<String> = models
        .map(|(name, size)| format!("{{\"name\":\"{name}\",\"weightsMb\":{size},\"loadS\":1,\"adapters\":0,\"adapterMb\":100}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"ask\",\"host\":\"site.example\",\"pathPrefix\":\"/ask/\",\"kind\":\"stream\",\
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
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64);
    let sizes: Vec<(String, f64)> = MODELS
        .iter()
        .flatten()
        .map(|(name, size)| (name.to_string(), *size))
        .collect();
    store.put("keyed.op", "config", &state(1, None));
    let mut engines = Vec::new();
    for (number, models) in MODELS.iter().enumerate() {
        let id = format!("i-e{}", number + 1);
        let memory = Some((MEMORY_MB, sizes.clone()));
        let engine = Engine::start_with(
            &id,
            unix_ms,
            Duration::from_secs(1),
            memory,
            Duration::from_secs(3),
            &record,
        )?;
        for (model, _) in &models[..2] {
            engine.place(model);
        }
        let entry = engine.entry("llm", "north");
        record.note(&format!("entry of {id}: {entry}"));
        store.put("keyed.servers", &id, &entry);
        engines.push((id, engine));
    }
    let mut hosts = Vec::new();
    for name in ["front-1", "front-2"] {
        hosts.push(EntryHost::start(name, "north", store.address, work)?);
    }
    for host in &hosts {
        if !host.wait_until_ready() {
            return Ok(Verdict::CouldNotRun("a host is not ready".to_string()));
        }
    }
    sleep(3_000);
    let sent = std::thread::scope(|scope| {
        let mut clients = Vec::new();
        for n in 0..40 {
            // The model that the operator removes is idle. One that no server holds is asked for as well.
            let model = if n > 20 && n % 4 == 0 {
                "signoff"
            } else {
                ["portfolio", "coaching"][n % 2]
            };
            let (record, host) = (&record, hosts[n / 2 % 2].callers);
            let headers = format!(
                "X-Model: {model}\r\nX-Token-Count: 100,10\r\nX-Prompt-Prefix: ab:50,{n:x}:50\r\n"
            );
            clients.push(scope.spawn(move || {
                send(
                    record,
                    host,
                    &format!("ask-{n}"),
                    "/ask/1",
                    10_000,
                    &headers,
                )
            }));
            if n == 16 {
                let text = state(2, has_trouble.then_some("archive"));
                record.note(&format!(
                    "the operator writes version 2{}: {text}",
                    if has_trouble {
                        ", without the model archive"
                    } else {
                        ""
                    }
                ));
                store.put("keyed.op", "config", &text);
            }
            for (id, engine) in &engines {
                let entry = engine.entry("llm", "north");
                store.put_if_changed("keyed.servers", id, &entry);
            }
            sleep(250);
        }
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });
    let overloads: usize = engines
        .iter()
        .map(|(_, engine)| engine.overloads.lock().unwrap().len())
        .sum();
    let broken: usize = engines
        .iter()
        .map(|(_, engine)| engine.broken.lock().unwrap().len())
        .sum();
    let whole = sent.iter().filter(|sent| sent.status() == 200).count();
    record.note(&format!(
        "orders to load more than the memory holds: {overloads}; requests that were broken off by the crash: {broken}; of {} requests {whole} were answered whole",
        sent.len()
    ));
    Ok(match overloads {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
