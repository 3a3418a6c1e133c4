//! Case 1: a server sends its refusal of a request a second time, late, on a kept channel; meanwhile
//! the entry host has sent the same request again on that channel.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::{Entry, Message, Random, Store, listen, read_message};
use std::collections::HashMap;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that a server runs at once, and those that it queues beside.
const SLOTS: i64 = 6;
const QUEUE: i64 = 6;
const WORK: Duration = Duration::from_millis(15);
/// The share of answers that a faulty server sends twice, and how long it does so at a time. The
/// limits are 0.03 of the answers at 0.6 of the servers for 5 s (`garble`, how `extra late`).
const EXTRA_SHARE: f64 = 0.03;
const TROUBLE_MS: u128 = 5_000;
const PAUSE_MS: u128 = 1_000;
/// Services with two servers each, of which one is faulty.
const SERVICES: usize = 3;
const CLIENTS_OF_EACH: usize = 40;
const SECONDS: u64 = 72;

#[derive(Default)]
struct Record {
    /// The answers that callers got, by request id.
    answers: Mutex<HashMap<String, u16>>,
    /// When and where requests began to run.
    runs: Mutex<HashMap<String, Vec<String>>>,
    lines: Mutex<Vec<String>>,
    extras: AtomicU64,
    sheds: AtomicU64,
}

impl Record {
    fn note(&self, began: Instant, line: String) {
        let at = began.elapsed().as_secs_f64();
        self.lines.lock().expect("no poison").push(format!("{at:9.4} {line}"));
    }
}

struct Server {
    name: String,
    is_faulty: bool,
    taken: AtomicI64,
    began_at: Instant,
    running: Mutex<i64>,
    free: std::sync::Condvar,
    random: Mutex<Random>,
}

impl Server {
    fn is_faulty_now(&self) -> bool {
        self.is_faulty && self.began_at.elapsed().as_millis() % (TROUBLE_MS + PAUSE_MS) < TROUBLE_MS
    }
}

fn answer_bytes(status: &str, id: &str, extra_header: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{extra_header}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn serve(server: &Server, record: &Record, began: Instant, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    // The second copy of an answer, which comes where the next answer is expected.
    let mut late: Option<(String, Vec<u8>)> = None;
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let id = request.header("x-request-id").unwrap_or("").to_string();
        if let Some((of, bytes)) = late.take() {
            record.extras.fetch_add(1, Ordering::Relaxed);
            record.note(began, format!("{} sends its answer to {of} once more, before that to {id}", server.name));
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
        let bytes = answer(server, record, began, &request, &id);
        if server.is_faulty_now() && server.random.lock().expect("no poison").chance(EXTRA_SHARE) {
            late = Some((id, bytes.clone()));
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn answer(server: &Server, record: &Record, began: Instant, request: &Message, id: &str) -> Vec<u8> {
    if request.header("x-expect-instance").is_some_and(|expected| expected != server.name) {
        return answer_bytes("421 Misdirected Request", id, &format!("X-Instance: {}\r\n", server.name), "");
    }
    if request.path() == "/healthz" {
        return answer_bytes("200 OK", id, &format!("X-Instance: {}\r\n", server.name), "");
    }
    if server.taken.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
        server.taken.fetch_sub(1, Ordering::SeqCst);
        record.sheds.fetch_add(1, Ordering::Relaxed);
        record.note(began, format!("{} rejects {id} (503, X-Not-Run)", server.name));
        return answer_bytes("503 Service Unavailable", id, "X-Not-Run: 1\r\n", "full");
    }
    let mut running = server.running.lock().expect("no poison");
    while *running >= SLOTS {
        running = server.free.wait(running).expect("no poison");
    }
    *running += 1;
    drop(running);
    record.note(began, format!("{} runs {id}", server.name));
    record.runs.lock().expect("no poison").entry(id.to_string()).or_default().push(server.name.to_string());
    thread::sleep(WORK);
    *server.running.lock().expect("no poison") -= 1;
    server.free.notify_one();
    server.taken.fetch_sub(1, Ordering::SeqCst);
    let body = format!("booked {id}");
    answer_bytes("200 OK", id, &format!("X-Server-Stamp: {}.{id}\r\n", server.name), &body)
}

fn call(entry: SocketAddr, channel: &mut Option<TcpStream>, service: usize, id: &str) -> Option<(u16, Duration)> {
    let mut stream = match channel.take() {
        Some(stream) => stream,
        None => TcpStream::connect(entry).ok()?,
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(3_000)));
    let body = "x".repeat(600);
    let text = format!(
        "POST /book{service}/slot HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let answer = read_message(&mut stream, &mut buffer)?;
    let after = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
    if !answer.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close")) && buffer.is_empty() {
        *channel = Some(stream);
    }
    Some((answer.status(), Duration::from_secs_f64(after)))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder, out) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]), PathBuf::from(&arguments[3]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let began = Instant::now();
    let record = Arc::new(Record::default());
    let store = Store::start();
    let (mut routes, mut services) = (Vec::new(), Vec::new());
    for service in 0..SERVICES {
        for index in 0..2 {
            let name = format!("app-{service}{}", ["a", "b"][index]);
            let (listener, address) = listen();
            let server = Arc::new(Server {
                name: name.clone(),
                is_faulty: has_trouble && index == 0,
                taken: AtomicI64::new(0),
                began_at: began,
                running: Mutex::new(0),
                free: std::sync::Condvar::new(),
                random: Mutex::new(Random((seed + service as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)),
            });
            let record = record.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (server, record) = (server.clone(), record.clone());
                    thread::spawn(move || serve(&server, &record, began, stream));
                }
            });
            let entry = format!(
                "{{\"service\":\"booking{service}\",\"addr\":\"{address}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0}}"
            );
            store.put("keyed.servers", &name, &entry);
        }
        routes.push(format!(
            "{{\"name\":\"book{service}\",\"host\":\"app.example\",\"pathPrefix\":\"/book{service}/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":100,\"priority\":2,\"service\":\"booking{service}\",\"attempts\":1,\"sticky\":false,\"canResume\":false}}"
        ));
        services.push(format!(
            "{{\"name\":\"booking{service}\",\"healthPath\":\"/healthz\",\"maxConns\":200,\"proto\":\"h1\",\"tls\":false}}"
        ));
    }
    let desired = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","), services.join(",")
    );
    store.put("keyed.op", "config", &desired);
    let entries: Vec<Entry> = ["entry-1", "entry-2"].iter().map(|name| Entry::start(&root, &folder, name, store.address)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(20))) {
        eprintln!("the entry hosts did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS_OF_EACH * SERVICES {
        let (entry, record, stop) = (entries[number % entries.len()].caller, record.clone(), stop.clone());
        let service = number % SERVICES;
        clients.push(thread::spawn(move || {
            let mut channel = None;
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{number:03x}{count:06x}");
                record.note(began, format!("sent {id}"));
                let pause = match call(entry, &mut channel, service, &id) {
                    Some((status, after)) => {
                        record.note(began, format!("answered {status} {id}"));
                        record.answers.lock().expect("no poison").insert(id, status);
                        after
                    }
                    None => {
                        record.note(began, format!("answered nothing {id}"));
                        Duration::ZERO
                    }
                };
                thread::sleep(pause.min(Duration::from_millis(500)));
            }
        }));
    }
    thread::sleep(Duration::from_secs(SECONDS));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(1));
    drop(entries);
    finish(&record, &out, has_trouble)
}

fn finish(record: &Record, out: &PathBuf, has_trouble: bool) -> ExitCode {
    let answers = record.answers.lock().expect("no poison");
    let runs = record.runs.lock().expect("no poison");
    let mut twice: Vec<&String> = runs.iter().filter(|(_, at)| at.len() > 1).map(|(id, _)| id).collect();
    let promised = |id: &&String| answers.get(*id).is_some_and(|status| [408, 421, 429, 503].contains(status));
    let mut refused: Vec<&String> = runs.keys().filter(promised).collect();
    twice.sort();
    refused.sort();
    let count = |wanted: u16| answers.values().filter(|status| **status == wanted).count();
    let mut text = format!(
        "trouble: {has_trouble}\nanswered: {} with 200, {} with 503, {} with others\nrun: {} requests; rejected by servers: {}; answers sent once more: {}\n",
        count(200), count(503), answers.len() - count(200) - count(503), runs.len(),
        record.sheds.load(Ordering::Relaxed), record.extras.load(Ordering::Relaxed)
    );
    text.push_str(&format!("TWICE (not idempotent, run more than once): {}\n", twice.len()));
    text.push_str(&format!("REFUSED (answered 408, 421, 429 or 503, and has run): {}\n", refused.len()));
    let lines = record.lines.lock().expect("no poison");
    for id in twice.iter().chain(&refused).take(6) {
        text.push_str(&format!("-- all about {id}\n"));
        for line in lines.iter().filter(|line| line.contains(id.as_str())) {
            text.push_str(&format!("{line}\n"));
        }
    }
    let mut full = text.clone();
    full.push_str("-- all events: seconds, who, what, request\n");
    lines.iter().for_each(|line| full.push_str(&format!("{line}\n")));
    fs::write(out, full).expect("a record");
    print!("{text}");
    match twice.is_empty() && refused.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
