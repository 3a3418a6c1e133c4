//! What the way through one daemon costs, against direct connections to the same engine in one run.

use crate::proc_stat::CpuTicks;
use crate::report::Quantiles;
use crate::site::{EngineSpec, Site, api_key};
use mangovale::edge::http::client;
use serde::Serialize;
use serde_json::json;
use smol::io::{AsyncBufReadExt, BufReader};
use smol::stream::StreamExt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use trillium_client::{Client, Conn, Method};

const MODEL: &str = "way";
const BRAND: &str = "north";
const MODEL_BYTES: u64 = 1_000;
const SLOTS: u32 = 1_024;
/// A request through the daemon that answers nothing is given up after this.
const DEADLINE_MS: u64 = 120_000;

/// What to measure.
#[derive(Clone, Debug)]
pub struct WayOptions {
    /// How many requests each way, one after the other.
    pub requests: usize,
    /// How many tokens each stream has.
    pub tokens: u32,
    /// The time of one token at the engine.
    pub token_ms: u64,
    /// Threads that read the streams.
    pub threads: usize,
}

/// The time to the first token.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FirstToken {
    /// Straight from the engine.
    pub direct: Quantiles,
    /// Through the daemon.
    pub through: Quantiles,
    /// The difference of the medians.
    pub added_p50_us: i64,
    /// The difference of the 99th percentiles.
    pub added_p99_us: i64,
}

/// Streams through one daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Throughput {
    /// How many at once.
    pub streams: usize,
    /// Tokens that readers got.
    pub tokens: u64,
    /// Streams that ended without their end mark.
    pub broken: u64,
    /// Tokens a second straight from the engine, with as many streams.
    pub direct_tokens_per_s: f64,
    /// Tokens a second through the daemon.
    pub tokens_per_s: f64,
    /// The daemon's processor time, as a part of one core.
    pub cores: f64,
    /// Tokens for each second of processor time.
    pub tokens_per_core_s: f64,
    /// The kernel's part of the processor time, in percent.
    pub system_percent: f64,
}

/// One end to connect to.
#[derive(Clone, Debug)]
struct End {
    client: Client,
    address: SocketAddr,
    key: Option<String>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Read {
    tokens: u64,
    first_token_us: Option<u64>,
    whole: bool,
}

/// A site of one daemon and one engine with a ready copy.
pub struct WaySite {
    site: Site,
    options: WayOptions,
}

impl WaySite {
    /// Starts the site and loads the model.
    ///
    /// # Panics
    ///
    /// Panics when the model cannot be loaded.
    pub fn start(options: WayOptions) -> Self {
        let arguments = ["--first-token-ms", "1", "--batch-slowdown-percent", "0"];
        let engine = EngineSpec {
            slots: SLOTS,
            token_ms: options.token_ms,
            arguments: arguments.map(str::to_string).to_vec(),
            ..EngineSpec::named("engine-1")
        };
        let site = Site::plan().engine(engine).hosts(1).start();
        site.put_model(MODEL, MODEL_BYTES, &[BRAND]);
        let way = Self { site, options };
        let read = smol::block_on(way.through().read(1));
        assert!(read.whole, "the model was not loaded: {read:?}");
        way
    }

    /// Measures the time to the first token, each way in turn on a connection of its own.
    pub fn first_token(&self) -> FirstToken {
        let (direct, through) = (self.direct(), self.through());
        let mut direct_us = Vec::new();
        let mut through_us = Vec::new();
        smol::block_on(async {
            for _ in 0..self.options.requests {
                direct_us.extend(direct.read(1).await.first_token_us);
                through_us.extend(through.read(1).await.first_token_us);
            }
        });
        let (direct, through) = (Quantiles::of(&direct_us), Quantiles::of(&through_us));
        FirstToken {
            direct,
            through,
            added_p50_us: through.p50_us as i64 - direct.p50_us as i64,
            added_p99_us: through.p99_us as i64 - direct.p99_us as i64,
        }
    }

    /// Measures streams through the daemon, after as many straight from the engine.
    pub fn throughput(&self, streams: usize) -> Throughput {
        let (direct, direct_span) = self.read_streams(&self.direct(), streams);
        let process = self.site.hosts[0].process.id();
        let before = CpuTicks::of(process);
        let (through, span) = self.read_streams(&self.through(), streams);
        let used = CpuTicks::of(process) - before;
        let tokens = sum_tokens(&through);
        let per_s = |tokens: u64, span: Duration| tokens as f64 / span.as_secs_f64();
        Throughput {
            streams,
            tokens,
            broken: through.iter().filter(|read| !read.whole).count() as u64,
            direct_tokens_per_s: per_s(sum_tokens(&direct), direct_span),
            tokens_per_s: per_s(tokens, span),
            cores: used.seconds() / span.as_secs_f64(),
            tokens_per_core_s: tokens as f64 / used.seconds(),
            system_percent: used.system_percent(),
        }
    }

    fn direct(&self) -> End {
        End {
            client: client(),
            address: self.site.engines[0].address,
            key: None,
        }
    }

    fn through(&self) -> End {
        End {
            client: client(),
            address: self.site.hosts[0].caller,
            key: Some(api_key(BRAND)),
        }
    }

    fn read_streams(&self, end: &End, streams: usize) -> (Vec<Read>, Duration) {
        let threads = self.options.threads.clamp(1, streams);
        let tokens = self.options.tokens;
        let started_at = Instant::now();
        let readers: Vec<_> = (0..threads)
            .map(|thread| {
                let count = (streams + thread) / threads;
                let end = end.clone();
                thread::spawn(move || smol::block_on(read_many(end, count, tokens)))
            })
            .collect();
        let mut reads = Vec::with_capacity(streams);
        for reader in readers {
            reads.extend(reader.join().unwrap_or_default());
        }
        (reads, started_at.elapsed())
    }
}

async fn read_many(end: End, count: usize, tokens: u32) -> Vec<Read> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = (0..count)
        .map(|_| {
            let end = end.clone();
            executor.spawn(async move { end.read(tokens).await })
        })
        .collect();
    let all = async {
        let mut reads = Vec::with_capacity(count);
        for task in tasks {
            reads.push(task.await);
        }
        reads
    };
    executor.run(all).await
}

fn sum_tokens(reads: &[Read]) -> u64 {
    reads.iter().map(|read| read.tokens).sum()
}

impl End {
    fn build(&self, tokens: u32) -> Conn {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "the way" }],
        });
        let url = format!("http://{}/v1/chat/completions", self.address);
        let conn = self
            .client
            .build_conn(Method::Post, url)
            .with_request_header("content-type", "application/json")
            .with_request_header("x-deadline-ms", DEADLINE_MS.to_string())
            .with_body(body.to_string());
        match &self.key {
            Some(key) => conn.with_request_header("authorization", format!("Bearer {key}")),
            None => conn,
        }
    }

    async fn read(&self, tokens: u32) -> Read {
        let started_at = Instant::now();
        let mut read = Read::default();
        let Ok(mut conn) = self.build(tokens).await else {
            return read;
        };
        let Some(body) = conn.take_response_body() else {
            return read;
        };
        let mut lines = BufReader::new(body).lines();
        while let Some(Ok(line)) = lines.next().await {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                read.whole = true;
                break;
            }
            read.tokens += 1;
            read.first_token_us
                .get_or_insert_with(|| started_at.elapsed().as_micros() as u64);
        }
        read
    }
}
