//! Small stand-ins of the platform for the review's scripts: a store, HTTP helpers and the start of
//! entry hosts. Standard library only. Every address is a loopback address.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(name, _)| *name == key).map(|(_, value)| value).next()
    }
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one request or answer whose body has a length (or none).
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut piece = [0u8; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_string();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(key, value)| (key.trim().to_string(), value.trim().to_string()))
                .collect();
            let mut message = Message { first_line, headers, body: Vec::new() };
            let length: usize =
                message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            buffer.drain(..end + 4);
            while buffer.len() < length {
                match stream.read(&mut piece) {
                    Ok(0) | Err(_) => return None,
                    Ok(count) => buffer.extend_from_slice(&piece[..count]),
                }
            }
            message.body = buffer.drain(..length).collect();
            return Some(message);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&piece[..count]),
        }
    }
}

/// Listens at a free port of a loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Returns addresses that were free a moment ago.
pub fn free_ports(count: usize) -> Vec<u16> {
    let held: Vec<TcpListener> = (0..count).map(|_| listen().0).collect();
    held.iter().map(|listener| listener.local_addr().expect("its address").port()).collect()
}

// ---------------------------------------------------------------- a little JSON

/// Returns the text of a string field of a flat JSON object.
pub fn json_text(body: &str, field: &str) -> String {
    let mark = format!("\"{field}\":");
    let Some(at) = body.find(&mark) else { return String::new() };
    let rest = body[at + mark.len()..].trim_start();
    let mut text = String::new();
    let mut chars = rest.strip_prefix('"').unwrap_or("").chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => break,
            '\\' => match chars.next() {
                Some('n') => text.push('\n'),
                Some('u') => {
                    let code: String = chars.by_ref().take(4).collect();
                    text.extend(u32::from_str_radix(&code, 16).ok().and_then(char::from_u32));
                }
                Some(other) => text.push(other),
                None => break,
            },
            c => text.push(c),
        }
    }
    text
}

pub fn json_number(body: &str, field: &str) -> u64 {
    let mark = format!("\"{field}\":");
    let Some(at) = body.find(&mark) else { return 0 };
    let rest = body[at + mark.len()..].trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn json_list(body: &str, field: &str) -> Vec<String> {
    let mark = format!("\"{field}\":[");
    let Some(at) = body.find(&mark) else { return Vec::new() };
    let rest = &body[at + mark.len()..];
    let list = &rest[..rest.find(']').unwrap_or(0)];
    list.split(',').map(|item| item.trim().trim_matches('"').to_string()).filter(|item| !item.is_empty()).collect()
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(SET[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Vec<String>, Instant)>,
}

#[derive(Default)]
struct Contents {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

/// The platform's store: logs and a group, without faults.
pub struct Store {
    contents: Mutex<Contents>,
    written: Condvar,
    pub address: SocketAddr,
}

const PARTS: usize = 8;

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, (_, until)| *until > now);
        self.generation += u64::from(self.members.len() != before);
    }
    /// Rows of topic, partition and member: partitions are dealt evenly to the subscribers.
    fn rows(&self) -> Vec<(String, usize, String)> {
        let mut subscribers: BTreeMap<&String, Vec<&String>> = BTreeMap::new();
        for (member, (topics, _)) in &self.members {
            for topic in topics {
                subscribers.entry(topic).or_default().push(member);
            }
        }
        let mut rows = Vec::new();
        for (topic, members) in subscribers {
            for part in 0..PARTS {
                rows.push((topic.clone(), part, members[part % members.len()].clone()));
            }
        }
        rows
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let (listener, address) = listen();
        let store = Arc::new(Self { contents: Mutex::default(), written: Condvar::new(), address });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of a keyed topic.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut contents = self.contents.lock().expect("no poison");
        Self::append(contents.topics.entry(topic.to_string()).or_default(), topic, vec![content]);
        self.written.notify_all();
    }

    fn append(log: &mut Topic, topic: &str, records: Vec<Vec<u8>>) -> u64 {
        let first = log.records.len() as u64;
        for content in records {
            if topic.starts_with("keyed.") && !content.is_empty() {
                let length = usize::from(content[0]);
                let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
                let at = log.records.len() as u64;
                match content[1 + length..].is_empty() {
                    true => drop(log.newest.remove(&key)),
                    false => drop(log.newest.insert(key, (at, content[1 + length..].to_vec()))),
                }
            }
            log.records.push(content);
        }
        first
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&call);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or("").to_string();
        let text = String::from_utf8_lossy(&call.body).into_owned();
        match (call.method(), call.path()) {
            ("POST", "/-/log-append") => {
                let mut records = Vec::new();
                let mut rest = &call.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let mut contents = self.contents.lock().expect("no poison");
                let log = contents.topics.entry(topic.clone()).or_default();
                let end = log.records.len() as u64;
                let at: Option<u64> = call.query("at").and_then(|at| at.parse().ok());
                if at.is_some_and(|at| at != end) {
                    return (412, format!("{{\"end\":{end}}}").into_bytes());
                }
                let offset = Self::append(log, &topic, records);
                let end = log.records.len();
                self.written.notify_all();
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/-/log-read") => {
                let from: usize = call.query("from").and_then(|at| at.parse().ok()).unwrap_or(0);
                let wait: u64 = call.query("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut contents = self.contents.lock().expect("no poison");
                loop {
                    let records = contents.topics.get(&topic).map_or(0, |log| log.records.len());
                    let now = Instant::now();
                    if records > from || now >= until {
                        break;
                    }
                    contents = self.written.wait_timeout(contents, until - now).expect("no poison").0;
                }
                let empty = Topic::default();
                let log = contents.topics.get(&topic).unwrap_or(&empty);
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                (200, body)
            }
            ("GET", "/-/log-newest") => {
                let contents = self.contents.lock().expect("no poison");
                let empty = Topic::default();
                let log = contents.topics.get(&topic).unwrap_or(&empty);
                let items: Vec<String> = log
                    .newest
                    .iter()
                    .map(|(key, (at, value))| {
                        format!("{{\"key\":{},\"value\":\"{}\",\"offset\":{at}}}", quote(key), base64(value))
                    })
                    .collect();
                let end = log.records.len();
                (200, format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(",")).into_bytes())
            }
            ("POST", "/-/log-join") => {
                let member = json_text(&text, "member");
                let lapse = Duration::from_millis(json_number(&text, "ttlMs"));
                let mut contents = self.contents.lock().expect("no poison");
                let group = contents.groups.entry(json_text(&text, "group")).or_default();
                group.expire();
                let topics = json_list(&text, "topics");
                let is_new = group.members.get(&member).is_none_or(|(known, _)| *known != topics);
                group.members.insert(member.clone(), (topics, Instant::now() + lapse));
                group.generation += u64::from(is_new);
                let parts: Vec<String> = group
                    .rows()
                    .into_iter()
                    .filter(|(_, _, owner)| *owner == member)
                    .map(|(topic, part, _)| format!("[{},{part},0]", quote(&topic)))
                    .collect();
                (200, format!("{{\"generation\":{},\"parts\":[{}]}}", group.generation, parts.join(",")).into_bytes())
            }
            ("POST", "/-/log-leave") => {
                let mut contents = self.contents.lock().expect("no poison");
                let group = contents.groups.entry(json_text(&text, "group")).or_default();
                group.members.remove(&json_text(&text, "member"));
                group.generation += 1;
                (200, b"{}".to_vec())
            }
            ("GET", "/-/log-owners") => {
                let mut contents = self.contents.lock().expect("no poison");
                let group = contents.groups.entry(call.query("group").unwrap_or("").to_string()).or_default();
                group.expire();
                let rows: Vec<String> = group
                    .rows()
                    .into_iter()
                    .map(|(topic, part, member)| format!("[{},{part},{},0]", quote(&topic), quote(&member)))
                    .collect();
                (200, format!("[{}]", rows.join(",")).into_bytes())
            }
            _ => (404, b"{}".to_vec()),
        }
    }
}

// ---------------------------------------------------------------- entry hosts

/// An entry host: the project's program as a process of its own, started as the deploy file says.
pub struct Entry {
    pub child: Child,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub directory: SocketAddr,
    pub settings: PathBuf,
}

impl Entry {
    /// Starts `target/release/mangovale-entry` in the repository's root with settings like those of
    /// deploy/settings.toml.template and the bounds of a small site.
    pub fn start(root: &Path, folder: &Path, name: &str, store: SocketAddr) -> Self {
        let ports = free_ports(5);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"north\"\ncaller_listen = \"127.0.0.1:{}\"\n\
             directory_listen = \"127.0.0.1:{}\"\nready_listen = \"127.0.0.1:{}\"\npeer_listen = \"127.0.0.1:{}\"\n\
             metrics_listen = \"127.0.0.1:{}\"\nstore = \"{store}\"\nmax_descriptors = 4100\ncpu_share = 0.25\ncpu_speed = 1\n\n\
             [bounds]\nstop_s = 8\ncontact_ms = 3000\napply_ms = 2000\ndrain_ms = 2000\nretry_ratio = 0.2\nretry_slack = 54\n\
             retry_window_s = 10\norder_lease_ms = 3000\ndirectory_ttl_s = 5\nmember_lapse_ms = 1000\n",
            ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        fs::write(&settings, text).expect("a settings file");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new(root.join("target/release/mangovale-entry"))
            .current_dir(root)
            .env("MANGOVALE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the entry host starts");
        let _ = fs::write(folder.join(format!("{name}.pid")), child.id().to_string());
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self { child, caller: address(ports[0]), ready: address(ports[2]), peer: address(ports[3]), directory: address(ports[1]), settings }
    }

    /// Starts the process again with the same settings, as the platform does after it ended.
    pub fn start_again(&mut self, root: &Path, folder: &Path, name: &str) {
        let log = fs::OpenOptions::new().append(true).open(folder.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        self.child = Command::new(root.join("target/release/mangovale-entry"))
            .current_dir(root)
            .env("MANGOVALE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the entry host starts");
        let _ = fs::write(folder.join(format!("{name}.pid")), self.child.id().to_string());
    }

    /// Waits until the platform's readiness probe is answered with 200.
    pub fn wait_ready(&self, at_most: Duration) -> bool {
        let until = Instant::now() + at_most;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.ready) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
                if read_message(&mut stream, &mut Vec::new()).is_some_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Numbers from a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// Tells whether an event of this probability happens.
    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64 / (1u64 << 53) as f64) < share
    }
}
