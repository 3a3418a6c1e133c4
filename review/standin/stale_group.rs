//! Case 3: the process that holds the lease is killed once and started again; later one host is removed
//! as planned. Its address stays in the answers of the directory.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::{Entry, Store, read_message};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const NAMES: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
/// The pause from the start again to the removal, and how long the directory is asked after it.
const SETTLE: Duration = Duration::from_secs(15);
const ASKED: Duration = Duration::from_secs(25);
/// How long after its end a machine may still be named; what the bench allows, by its own message.
const ALLOWED: Duration = Duration::from_secs(6);

struct Record {
    began: Instant,
    text: String,
}

impl Record {
    fn note(&mut self, line: String) {
        let line = format!("{:8.3} {line}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        self.text.push_str(&line);
    }
}

/// Returns the place of the host that took the lease last, by the hosts' own logs.
fn holder(folder: &Path) -> Option<usize> {
    let last = |name: &&str| {
        let log = fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        let line = log.lines().rev().find(|line| line.contains("\"LeaseTaken\""))?.to_string();
        let at = line.split("\"at_unix_ms\":").nth(1)?;
        at.split(',').next()?.parse::<u64>().ok()
    };
    let taken = NAMES.iter().enumerate().filter_map(|(index, name)| Some((last(&name)?, index)));
    taken.max().map(|(_, index)| index)
}

/// Asks a host's directory. Returns the body of its answer.
fn ask(directory: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(directory).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = "GET /-/resolve?name=app.example&region=r&zone=north HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    Some(String::from_utf8_lossy(&answer.body).into_owned())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder, out) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]), PathBuf::from(&arguments[3]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut record = Record { began: Instant::now(), text: String::new() };
    let store = Store::start();
    store.put(
        "keyed.op",
        "config",
        "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
    );
    let mut entries: Vec<Entry> = NAMES.iter().map(|name| Entry::start(&root, &folder, name, store.address)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(20))) {
        eprintln!("the entry hosts did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(12));
    let Some(first) = holder(&folder) else {
        eprintln!("no host took the lease");
        return ExitCode::from(2);
    };
    record.note(format!("{} holds the lease", NAMES[first]));
    if has_trouble {
        entries[first].signal("KILL");
        let _ = entries[first].child.wait();
        record.note(format!("{} is killed", NAMES[first]));
        thread::sleep(Duration::from_secs(1));
        entries[first].start_again(&root, &folder, NAMES[first]);
        record.note(format!("{} is started again", NAMES[first]));
        if !entries[first].wait_ready(Duration::from_secs(20)) {
            eprintln!("the host that was started again did not become ready");
            return ExitCode::from(2);
        }
    }
    thread::sleep(SETTLE);
    let holds = holder(&folder).unwrap_or(first);
    record.note(format!("{} holds the lease", NAMES[holds]));
    let Some(leaves) = (0..NAMES.len()).find(|index| *index != holds && *index != first) else {
        return ExitCode::from(2);
    };
    entries[leaves].signal("TERM");
    record.note(format!("{} gets SIGTERM and leaves for good", NAMES[leaves]));
    let _ = entries[leaves].child.wait();
    let ended = Instant::now();
    record.note(format!("{} has ended", NAMES[leaves]));
    let gone = format!("\"{}\"", entries[leaves].caller);
    let (mut late, mut last_named) = (0, None);
    while ended.elapsed() < ASKED {
        for (index, entry) in entries.iter().enumerate().filter(|(index, _)| *index != leaves) {
            let since = ended.elapsed();
            let Some(body) = ask(entry.directory) else { continue };
            let is_named = body.contains(&gone);
            if is_named {
                last_named = Some((since, NAMES[index]));
                late += u32::from(since > ALLOWED);
            }
            record.text.push_str(&format!("{:8.3} {} answers {body}\n", record.began.elapsed().as_secs_f64(), NAMES[index]));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let refused: usize = NAMES
        .iter()
        .map(|name| fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default())
        .map(|log| log.lines().filter(|line| line.contains("\"PeerRefused\"")).count())
        .sum();
    record.note(format!("trouble: {has_trouble}; connections between hosts that were refused, in all: {refused}"));
    record.note(match last_named {
        Some((since, by)) => format!("{} was last named {:.1} s after its end, by {by}; {late} answers named it later than {} s", NAMES[leaves], since.as_secs_f64(), ALLOWED.as_secs()),
        None => format!("{} was not named after its end", NAMES[leaves]),
    });
    drop(entries);
    fs::write(out, &record.text).expect("a record");
    match late {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
