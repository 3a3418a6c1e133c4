//! The command line of the engine.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use snafu::{OptionExt, ensure};

use crate::engine::ModelVersion;
use crate::error::{ArgumentSnafu, StandInError};

/// The longest lag of reports and cache events.
const MAX_LAG_MS: u64 = 600_000;
/// How many slots one engine has at most.
const MAX_SLOTS: u32 = 4096;

/// Plays a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,
    /// name in the host list
    #[argh(option)]
    name: String,
    /// data centre in the host list
    #[argh(option)]
    data_centre: String,
    /// host list to register in
    #[argh(option)]
    pub hosts: Option<String>,
    /// weight store to fetch from
    #[argh(option)]
    store: Option<String>,
    /// how long a fetch that fails or is refused is repeated before the load fails
    #[argh(option, default = "30000")]
    fetch_retry_ms: u64,
    /// accelerator memory
    #[argh(option)]
    memory_bytes: u64,
    /// whether a load without room is refused
    #[argh(option, default = "true")]
    enforce_memory: bool,
    /// whether orders with an old fencing number are refused
    #[argh(option, default = "true")]
    checks_fencing: bool,
    /// how many requests are batched at once
    #[argh(option)]
    slots: u32,
    /// how many requests wait for a slot; more are refused (default: as many as slots)
    #[argh(option)]
    queue_limit: Option<usize>,
    /// time of one token when a single request runs
    #[argh(option, default = "10")]
    token_ms: u64,
    /// time before the first token, besides the prompt's
    #[argh(option, default = "20")]
    first_token_ms: u64,
    /// text that ends the engine when a prompt has it and begins to run
    #[argh(option)]
    crash_on: Option<String>,
    /// time for each 1000 prompt characters that are not cached
    #[argh(option, default = "0")]
    prompt_ms_per_1000_chars: u64,
    /// slow-down of a token by each further request in the batch, in percent
    #[argh(option, default = "2")]
    batch_slowdown_percent: u32,
    /// how long a request is held after its last reader left or it ended
    #[argh(option, default = "5000")]
    hold_ms: u64,
    /// time of a load that is not cached, where no store is given
    #[argh(option, default = "200")]
    load_ms: u64,
    /// time of an unload
    #[argh(option, default = "20")]
    unload_ms: u64,
    /// how long an order is waited for unless it says `wait_ms`
    #[argh(option, default = "1000")]
    order_wait_ms: u64,
    /// size of the checkpoint cache in host memory
    #[argh(option, default = "0")]
    memory_cache_bytes: u64,
    /// size of the checkpoint cache on disk
    #[argh(option, default = "0")]
    disk_cache_bytes: u64,
    /// rate of a load from host memory
    #[argh(option, default = "20000000000")]
    memory_cache_bytes_per_s: u64,
    /// rate of a load from disk
    #[argh(option, default = "2000000000")]
    disk_cache_bytes_per_s: u64,
    /// checkpoint cached on disk at the start, as model@version=bytes; repeatable
    #[argh(option)]
    disk_cached: Vec<String>,
    /// size of the prompt-prefix cache
    #[argh(option, default = "0")]
    prefix_cache_bytes: usize,
    /// lag of cache events
    #[argh(option, default = "0")]
    cache_event_lag_ms: u64,
    /// probability that a cache event is missing
    #[argh(option, default = "0.0")]
    cache_event_loss: f64,
    /// lag of load reports
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// whether every answer states the load
    #[argh(switch)]
    states_load: bool,
    /// seed of random draws
    #[argh(option, default = "0")]
    seed: u64,
}

/// A checkpoint and its size.
#[derive(Clone, Debug)]
pub struct SizedCheckpoint {
    /// The model and version.
    pub model_version: ModelVersion,
    /// The size.
    pub bytes: u64,
}

/// The settings of one engine, checked.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The name in the host list.
    pub name: Arc<str>,
    /// The data centre in the host list.
    pub data_centre: Arc<str>,
    /// The weight store, if loads are fetched.
    pub store_url: Option<String>,
    /// How long a fetch that fails or is refused is repeated.
    pub fetch_retry_ms: u64,
    /// The accelerator memory.
    pub memory_bytes: u64,
    /// Whether a load without room is refused.
    pub enforce_memory: bool,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How many requests are batched at once.
    pub slots: u32,
    /// How many requests wait for a slot.
    pub queue_limit: usize,
    /// Whether every answer states the load.
    pub states_load: bool,
    /// The pace of decoding and prefill.
    pub pace: Pace,
    /// What a prompt has that ends the engine.
    pub crash_on: Option<String>,
    /// How long a request is held.
    pub hold_ms: u64,
    /// The time of an uncached load without a store.
    pub load_ms: u64,
    /// The time of an unload.
    pub unload_ms: u64,
    /// How long an order is waited for.
    pub order_wait_ms: u64,
    /// The checkpoint cache in host memory.
    pub memory_cache: CacheTier,
    /// The checkpoint cache on disk.
    pub disk_cache: CacheTier,
    /// Checkpoints on disk at the start.
    pub disk_cached: Vec<SizedCheckpoint>,
    /// The size of the prefix cache.
    pub prefix_cache_bytes: usize,
    /// The lag of cache events.
    pub cache_event_lag_ms: u64,
    /// The probability that a cache event is missing.
    pub cache_event_loss: f64,
    /// The lag of load reports.
    pub report_lag_ms: u64,
    /// The seed of random draws.
    pub seed: u64,
}

/// How fast requests go on.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The time of one token of a lone request.
    pub token_ms: u64,
    /// The time before the first token, besides the prompt's.
    pub first_token_ms: u64,
    /// The time for each 1000 uncached prompt characters.
    pub prompt_ms_per_1000_chars: u64,
    /// The slow-down by each further request, in percent.
    pub batch_slowdown_percent: u32,
}

/// The size and rate of one tier of the checkpoint cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheTier {
    /// How many bytes it holds.
    pub capacity_bytes: u64,
    /// How fast it is read.
    pub bytes_per_s: u64,
}

impl EngineArgs {
    /// Checks the arguments.
    ///
    /// # Errors
    ///
    /// Fails on values out of range.
    pub fn into_settings(self) -> Result<EngineSettings, StandInError> {
        self.check()?;
        let disk_cached = self.disk_cached.iter();
        let disk_cached = disk_cached.map(|text| parse_checkpoint(text));
        Ok(EngineSettings {
            disk_cached: disk_cached.collect::<Result<_, _>>()?,
            listen: self.listen,
            name: self.name.into(),
            data_centre: self.data_centre.into(),
            store_url: self.store,
            fetch_retry_ms: self.fetch_retry_ms,
            memory_bytes: self.memory_bytes,
            enforce_memory: self.enforce_memory,
            checks_fencing: self.checks_fencing,
            slots: self.slots,
            queue_limit: self.queue_limit.unwrap_or(self.slots as usize),
            pace: Pace {
                token_ms: self.token_ms,
                first_token_ms: self.first_token_ms,
                prompt_ms_per_1000_chars: self.prompt_ms_per_1000_chars,
                batch_slowdown_percent: self.batch_slowdown_percent,
            },
            crash_on: self.crash_on,
            states_load: self.states_load,
            hold_ms: self.hold_ms,
            load_ms: self.load_ms,
            unload_ms: self.unload_ms,
            order_wait_ms: self.order_wait_ms,
            memory_cache: CacheTier {
                capacity_bytes: self.memory_cache_bytes,
                bytes_per_s: self.memory_cache_bytes_per_s,
            },
            disk_cache: CacheTier {
                capacity_bytes: self.disk_cache_bytes,
                bytes_per_s: self.disk_cache_bytes_per_s,
            },
            prefix_cache_bytes: self.prefix_cache_bytes,
            cache_event_lag_ms: self.cache_event_lag_ms,
            cache_event_loss: self.cache_event_loss,
            report_lag_ms: self.report_lag_ms,
            seed: self.seed,
        })
    }

    fn check(&self) -> Result<(), StandInError> {
        let detail = format!("--slots must lie in 1..={MAX_SLOTS}");
        ensure!(
            (1..=MAX_SLOTS).contains(&self.slots),
            ArgumentSnafu { detail }
        );
        let lag_ms = self.report_lag_ms.max(self.cache_event_lag_ms);
        let detail = format!("lags must not exceed {MAX_LAG_MS} ms");
        ensure!(lag_ms <= MAX_LAG_MS, ArgumentSnafu { detail });
        let detail = "--cache-event-loss must lie in 0..=1";
        let is_probability = (0.0..=1.0).contains(&self.cache_event_loss);
        ensure!(is_probability, ArgumentSnafu { detail });
        Ok(())
    }
}

fn parse_checkpoint(text: &str) -> Result<SizedCheckpoint, StandInError> {
    let detail = || format!("`{text}` is not model@version=bytes");
    let context = || ArgumentSnafu { detail: detail() };
    let (name, bytes) = text.split_once('=').with_context(context)?;
    let (model, version) = name.split_once('@').with_context(context)?;
    let bytes = bytes.parse().ok().with_context(context)?;
    Ok(SizedCheckpoint {
        model_version: ModelVersion {
            model: model.into(),
            version: version.into(),
        },
        bytes,
    })
}
