//! A host that reaches no server passes on an answer in which a server says that it leaves. Later it reaches the
//! servers again.

use crate::Verdict;
use crate::clients::send;
use crate::hosts::EntryHost;
use crate::record::Record;
use crate::service::Server;
use crate::store::Store;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const DRAIN_MS: u64 = 2_000;
/// The time from the notice to the end of the server.
const NOTICE_MS: u64 = 2_500;

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn entry(server: &Server, state: &str) -> String {
    let remaining = match state {
        "draining" => format!(",\"remainingMs\":{NOTICE_MS}"),
        _ => String::new(),
    };
    format!(
        "{{\"service\":\"app\",\"addr\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1{remaining}}}",
        server.address
    )
}

pub fn run(directory: &Path, work: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(directory)?);
    let store = Store::start()?;
    let state = r#"{"version":1,"routes":[{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"sloMs":100,"priority":1,"service":"app","attempts":2},{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":0,"service":"app","attempts":2}],"services":[{"name":"app","maxConns":100,"healthPath":"/healthz"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;
    store.put("keyed.op", "config", state);
    let leaver = Server::start("i-leaver", &record)?;
    let stayer = Server::start("i-stayer", &record)?;
    store.put("keyed.servers", "i-leaver", &entry(&leaver, "ready"));
    store.put("keyed.servers", "i-stayer", &entry(&stayer, "ready"));
    let a = EntryHost::start("front-a", "north", store.address, work)?;
    let b = EntryHost::start("front-b", "north", store.address, work)?;
    for host in [&a, &b] {
        if !host.wait_until_ready() {
            return Ok(Verdict::CouldNotRun("a host is not ready".to_string()));
        }
    }
    sleep(3_000);
    // Some requests at a time over B, so that B has open channels to both servers.
    leaver.work_ms.store(60, Ordering::SeqCst);
    stayer.work_ms.store(60, Ordering::SeqCst);
    let busy = |round: usize| {
        std::thread::scope(|scope| {
            for n in 0..8 {
                let (record, callers) = (&record, b.callers);
                scope.spawn(move || {
                    send(
                        record,
                        callers,
                        &format!("b-{round}-{n}"),
                        "/look/1",
                        1_500,
                        "",
                    )
                });
            }
        });
    };
    for round in 0..3 {
        send(
            &record,
            a.callers,
            &format!("a-warm-{round}"),
            "/look/1",
            1_500,
            "",
        );
        busy(round);
        sleep(200);
    }
    leaver.work_ms.store(5, Ordering::SeqCst);
    stayer.work_ms.store(5, Ordering::SeqCst);
    if has_trouble {
        record.note("host A is cut off from all servers: its channels end, new ones are refused, those of host B live on");
        for server in [&leaver, &stayer] {
            server.refuses_new.store(true, Ordering::SeqCst);
        }
        sleep(20);
        for server in [&leaver, &stayer] {
            server.close_channels("a-");
        }
        record.note("the store is down: it answers 503");
        store.busy.store(true, Ordering::SeqCst);
    }
    sleep(100);
    leaver.is_leaving.store(true, Ordering::SeqCst);
    let begun_ms = record.now_ms();
    record.note(&format!("i-leaver is taken away at short notice ({NOTICE_MS} ms): it says in all its answers that it leaves, and reports `draining` to the store"));
    if !store.busy.load(Ordering::SeqCst) {
        store.put("keyed.servers", "i-leaver", &entry(&leaver, "draining"));
    }
    let mut passed_ms = None;
    for n in 0..20 {
        let sent = send(
            &record,
            a.callers,
            &format!("a-cut-{n}"),
            "/look/1",
            1_500,
            "",
        );
        if sent.header("server-leaving").is_some() {
            passed_ms = Some(record.now_ms());
            record.note("host A has passed on an answer with Server-Leaving");
            break;
        }
        if !has_trouble && n >= 3 {
            break;
        }
        sleep(15);
    }
    if has_trouble && passed_ms.is_none() {
        return Ok(Verdict::CouldNotRun(
            "host A passed on no answer of the leaving server".to_string(),
        ));
    }
    let from_ms = passed_ms.unwrap_or(record.now_ms());
    sleep(1_200);
    if has_trouble {
        record.note("host A reaches the servers again");
        for server in [&leaver, &stayer] {
            server.refuses_new.store(false, Ordering::SeqCst);
        }
    }
    while record.now_ms() < from_ms + DRAIN_MS + 30 {
        sleep(10);
    }
    // Bookings must not run twice; each takes 400 ms at a server. The leaving server is taken away at the end of its notice.
    for server in [&leaver, &stayer] {
        server.work_ms.store(400, Ordering::SeqCst);
    }
    let ends_ms = begun_ms + NOTICE_MS;
    let sent = std::thread::scope(|scope| {
        let mut clients = Vec::new();
        for n in 0..20 {
            let (record, callers) = (&record, a.callers);
            clients.push(scope.spawn(move || {
                send(
                    record,
                    callers,
                    &format!("a-late-{n}"),
                    "/book/1",
                    1_500,
                    "",
                )
            }));
            sleep(20);
        }
        while record.now_ms() < ends_ms {
            sleep(5);
        }
        record.note("the notice of i-leaver is over: it is gone, whatever it is running");
        leaver.end();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });
    let late: Vec<_> = sent
        .into_iter()
        .filter(|sent| sent.sent_ms > from_ms + DRAIN_MS)
        .collect();
    if has_trouble {
        record.note("the store is back");
        store.busy.store(false, Ordering::SeqCst);
        store.put("keyed.servers", "i-leaver", &entry(&leaver, "draining"));
    }
    sleep(300);
    let runs = leaver.runs.lock().unwrap();
    let reached = late
        .iter()
        .filter(|sent| runs.iter().any(|(id, _)| *id == sent.id))
        .collect::<Vec<_>>();
    let lost = reached.iter().filter(|sent| sent.status() != 200).count();
    record.note(&format!(
        "of {} bookings sent later than {DRAIN_MS} ms after host A had passed the statement on, {} reached i-leaver; {lost} of these were begun and never answered",
        late.len(),
        reached.len()
    ));
    Ok(match reached.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
