//! The platform's store: topics of records, keyed topics, and groups of members.

use crate::http::{Channel, Message};
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PARTS: usize = 8;

#[derive(Default)]
struct Member {
    topics: Vec<String>,
    until: Option<Instant>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<(String, usize), Vec<Vec<u8>>>,
    groups: BTreeMap<String, (u64, BTreeMap<String, Member>)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// While it is set, every call gets 503 and nothing is done.
    pub busy: AtomicBool,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            busy: AtomicBool::new(false),
        });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.read() {
            let (status, body) = match self.busy.load(Ordering::SeqCst) {
                true => (503, Vec::new()),
                false => self.answer(&request),
            };
            let headers = [
                ("Content-Type", "application/json".to_string()),
                ("Store-Era", "1".to_string()),
            ];
            if channel.answer(status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let part = request
            .query("part")
            .and_then(|part| part.parse().ok())
            .unwrap_or(0);
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|value| value.parse::<usize>().ok())
        };
        match (request.first[0].as_str(), request.path()) {
            ("POST", "/-/log-append") => self.append(&topic, part, number("at"), &request.body),
            ("GET", "/-/log-read") => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                self.read(&topic, part, number("from").unwrap_or(0), wait)
            }
            ("GET", "/-/log-newest") => self.newest(&topic, request.query("after")),
            ("POST", "/-/log-join") => self.join(&request.body),
            ("POST", "/-/log-leave") => self.leave(&request.body),
            ("POST", "/-/log-commit") => (200, b"{}".to_vec()),
            ("GET", "/-/log-owners") => self.owners(&request.query("group").unwrap_or_default()),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn append(&self, topic: &str, part: usize, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry((topic.to_string(), part)).or_default();
        if at.is_some_and(|at| at != records.len()) {
            return (412, format!("{{\"end\":{}}}", records.len()).into_bytes());
        }
        let offset = records.len();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return (400, b"{}".to_vec());
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let end = records.len();
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, topic: &str, part: usize, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let key = (topic.to_string(), part);
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.topics.entry(key.clone()).or_default();
            if from > records.len() {
                return (410, b"{\"first\":0}".to_vec());
            }
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in &records[from..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry((topic.to_string(), 0)).or_default();
        let mut newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let (key, value) = record[1..].split_at(length);
            match value.is_empty() {
                true => drop(newest.remove(key)),
                false => drop(newest.insert(key.to_vec(), (offset, value.to_vec()))),
            }
        }
        let after = after.map(String::into_bytes);
        let items = newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        (200, body.into_bytes())
    }

    /// Writes the newest record of a key, as the operator and the servers do; removes the key without a value.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry((topic.to_string(), 0))
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    /// As [`Self::put`], unless the newest record of the key has this value. Servers write what changed.
    pub fn put_if_changed(&self, topic: &str, key: &str, value: &str) {
        let is_newest = {
            let state = self.state.lock().unwrap();
            let records = state
                .topics
                .get(&(topic.to_string(), 0))
                .map(Vec::as_slice)
                .unwrap_or_default();
            let of_key = records
                .iter()
                .rev()
                .find(|record| record[1..].starts_with(key.as_bytes()));
            of_key.is_some_and(|record| &record[1 + key.len()..] == value.as_bytes())
        };
        if !is_newest {
            self.put(topic, key, value);
        }
    }

    fn expire(state: &mut State) {
        let now = Instant::now();
        for (generation, members) in state.groups.values_mut() {
            let before = members.len();
            members.retain(|_, member| member.until.is_some_and(|until| now < until));
            *generation += u64::from(members.len() != before);
        }
    }

    /// Returns rows of topic, partition and member: the partitions of each topic in turn among those that name it.
    fn rows(members: &BTreeMap<String, Member>) -> Vec<(String, usize, String)> {
        let mut topics: BTreeMap<&String, Vec<&String>> = BTreeMap::new();
        for (name, member) in members {
            for topic in &member.topics {
                topics.entry(topic).or_default().push(name);
            }
        }
        let rows = topics.into_iter().flat_map(|(topic, names)| {
            (0..PARTS).map(move |part| (topic.clone(), part, names[part % names.len()].clone()))
        });
        rows.collect()
    }

    fn join(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, b"{}".to_vec());
        };
        let text = |name: &str| {
            call.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_string()
        };
        let topics = call.get("topics").map(Json::list).unwrap_or_default();
        let topics: Vec<String> = topics
            .iter()
            .filter_map(Json::text)
            .map(str::to_string)
            .collect();
        let ttl = call.get("ttlMs").and_then(Json::number).unwrap_or(1_000.0);
        let name = text("member");
        let mut state = self.state.lock().unwrap();
        Self::expire(&mut state);
        let (generation, members) = state.groups.entry(text("group")).or_default();
        let is_changed = members
            .get(&name)
            .is_none_or(|member| member.topics != topics);
        *generation += u64::from(is_changed);
        let until = Some(Instant::now() + Duration::from_millis(ttl as u64));
        members.insert(name.clone(), Member { topics, until });
        let rows = Self::rows(members);
        let own = rows.iter().filter(|(_, _, member)| *member == name);
        let own: Vec<String> = own
            .map(|(topic, part, _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        let body = format!(
            "{{\"generation\":{generation},\"parts\":[{}]}}",
            own.join(",")
        );
        (200, body.into_bytes())
    }

    fn leave(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, b"{}".to_vec());
        };
        let text = |name: &str| {
            call.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_string()
        };
        let mut state = self.state.lock().unwrap();
        let (generation, members) = state.groups.entry(text("group")).or_default();
        if members.remove(&text("member")).is_some() {
            *generation += 1;
        }
        (200, b"{}".to_vec())
    }

    fn owners(&self, group: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        Self::expire(&mut state);
        let (_, members) = state.groups.entry(group.to_string()).or_default();
        let rows = Self::rows(members);
        let rows: Vec<String> = rows
            .iter()
            .map(|(topic, part, member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
            .collect();
        (
            200,
            format!("{{\"owners\":[{}]}}", rows.join(",")).into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .fold(0u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
