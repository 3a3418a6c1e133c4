//! Plays the platform's append-only log with offsets.

mod rate;
mod stream;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use trillium::Method;

use crate::clock::now_ms;
use crate::error::{Refusal, StandInError};
use crate::http::{Answer, Request, StandIn};
use crate::log::rate::RateLimit;
use crate::log::stream::{Batch, ReadRange, Stream};
use crate::notifier::Notifier;
use crate::server::Server;

/// How many streams the log keeps.
const MAX_STREAMS: usize = 64;
/// The longest stream name.
const MAX_NAME_BYTES: usize = 128;
/// How many records one append carries.
const MAX_RECORDS: usize = 64;
/// How many payload bytes one append carries.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// How many records one read answers unless it asks for fewer.
const DEFAULT_READ_RECORDS: usize = 512;
/// How many records one read answers at most.
const MAX_READ_RECORDS: usize = 4096;
/// The longest wait for records.
const MAX_WAIT_MS: u64 = 30_000;

/// Plays the append-only log service.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogArgs {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,
    /// how many records of a stream are retained
    #[argh(option, default = "100000")]
    retention_records: usize,
    /// how many appends a second are taken, over all streams; 0 takes all
    #[argh(option, default = "0")]
    appends_per_s: u32,
}

/// The body of an append.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Append {
    records: Vec<Arc<str>>,
}

/// The answer to an append.
#[derive(Debug, Serialize)]
struct Appended {
    first_offset: u64,
    next_offset: u64,
}

/// The body of a trim.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trim {
    stream: Arc<str>,
    before: u64,
}

/// The answer to a trim.
#[derive(Debug, Serialize)]
struct Trimmed {
    oldest_offset: u64,
    end_offset: u64,
}

struct LogService {
    retention_records: usize,
    rate: Option<RateLimit>,
    streams: Mutex<IndexMap<Arc<str>, Stream>>,
    appended: Notifier,
}

/// Runs the log until the process is told to stop.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn run(args: LogArgs) -> Result<(), StandInError> {
    let server = Server::bind(args.listen).await?;
    let rate = (args.appends_per_s > 0).then(|| RateLimit::new(args.appends_per_s));
    let service = LogService {
        retention_records: args.retention_records.max(1),
        rate,
        streams: Mutex::default(),
        appended: Notifier::default(),
    };
    server.serve(Arc::new(service)).await;
    Ok(())
}

impl Append {
    fn validate(&self) -> Result<(), Refusal> {
        if self.records.is_empty() || self.records.len() > MAX_RECORDS {
            let detail = format!("an append must carry 1 to {MAX_RECORDS} records");
            return Err(Refusal::bad_request(detail));
        }
        let len: usize = self.records.iter().map(|record| record.len()).sum();
        if len > MAX_APPEND_BYTES {
            return Err(Refusal::TooLarge);
        }
        Ok(())
    }
}

fn validate_name(name: &str) -> Result<(), Refusal> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.len() > MAX_NAME_BYTES || !name.bytes().all(is_plain) {
        return Err(Refusal::bad_request("bad stream name"));
    }
    Ok(())
}

impl LogService {
    fn streams(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, name: &str, append: Append) -> Result<Answer, Refusal> {
        append.validate()?;
        if self.rate.as_ref().is_some_and(|rate| !rate.take()) {
            return Err(Refusal::Rate);
        }
        let mut streams = self.streams();
        if !streams.contains_key(name) && streams.len() >= MAX_STREAMS {
            return Err(Refusal::Busy);
        }
        let stream = streams.entry(name.into()).or_default();
        let first_offset = stream.append(now_ms(), append.records);
        stream.retain(self.retention_records);
        let next_offset = stream.end_offset();
        drop(streams);
        self.appended.notify_all();
        Ok(Answer::ok(&Appended {
            first_offset,
            next_offset,
        }))
    }

    async fn read(&self, name: &str, request: &Request) -> Result<Answer, Refusal> {
        let range = read_range(request)?;
        let wait_ms = request.query::<u64>("wait_ms")?.unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let appended = self.appended.waiter();
            let batch = self.read_now(name, range)?;
            let left = deadline.saturating_duration_since(Instant::now());
            if !batch.is_empty() || left.is_zero() {
                return Ok(Answer::ok(&batch));
            }
            appended.wait_at_most(left).await;
        }
    }

    fn read_now(&self, name: &str, range: ReadRange) -> Result<Batch, Refusal> {
        match self.streams().get(name) {
            Some(stream) => stream.read(range),
            None => Stream::default().read(range),
        }
    }

    fn trim(&self, trim: &Trim) -> Result<Answer, Refusal> {
        let mut streams = self.streams();
        let stream = streams.get_mut(&trim.stream).ok_or(Refusal::NotFound)?;
        stream.trim_before(trim.before);
        Ok(Answer::ok(&Trimmed {
            oldest_offset: stream.oldest_offset(),
            end_offset: stream.end_offset(),
        }))
    }
}

fn read_range(request: &Request) -> Result<ReadRange, Refusal> {
    let from = request.query("from")?.unwrap_or(0);
    let max = request.query("max")?.unwrap_or(DEFAULT_READ_RECORDS);
    Ok(ReadRange {
        from,
        max: max.clamp(1, MAX_READ_RECORDS),
    })
}

impl StandIn for LogService {
    async fn answer(&self, request: &Request) -> Result<Answer, Refusal> {
        match (request.method, request.segments().as_slice()) {
            (Method::Post, ["streams", name, "records"]) => {
                validate_name(name)?;
                self.append(name, request.json()?)
            }
            (Method::Get, ["streams", name, "records"]) => {
                validate_name(name)?;
                self.read(name, request).await
            }
            (Method::Post, ["admin", "trim"]) => self.trim(&request.json()?),
            _ => Err(Refusal::NotFound),
        }
    }
}
