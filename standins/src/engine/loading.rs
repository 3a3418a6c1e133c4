//! The time and bytes that loads and unloads take.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use crate::client::JsonClient;
use crate::clock::sleep_ms;
use crate::engine::Engine;
use crate::engine::args::{CacheTier, EngineSettings};
use crate::engine::checkpoints::Tier;
use crate::engine::copies::{LoadTask, UnloadTask};
use crate::error::StandInError;
use crate::store::Fetch;

/// How long one fetch may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);
/// How long a failed fetch waits before it is repeated.
const RETRY_AFTER_MS: u64 = 250;
/// The error of a load whose weights could not be fetched.
const STORE_ERROR: &str = "store";

/// Where uncached weights come from.
#[derive(Debug)]
pub enum WeightSource {
    /// The weight store.
    Store {
        /// Calls the store.
        client: JsonClient,
        /// How long a fetch that fails or is refused is repeated.
        retry_for: Duration,
    },
    /// Nowhere: a load takes a fixed time.
    FixedTime {
        /// The time of a load.
        load_ms: u64,
    },
}

impl WeightSource {
    /// Builds the source that the settings name.
    ///
    /// # Errors
    ///
    /// Fails where the store's address is no URL.
    pub fn new(settings: &EngineSettings) -> Result<Self, StandInError> {
        let Some(url) = &settings.store_url else {
            let load_ms = settings.load_ms;
            return Ok(Self::FixedTime { load_ms });
        };
        let client = JsonClient::new(url, FETCH_TIMEOUT)?;
        let retry_for = Duration::from_millis(settings.fetch_retry_ms);
        Ok(Self::Store { client, retry_for })
    }

    async fn fetch(&self, task: &LoadTask) -> Result<(), &'static str> {
        match self {
            Self::FixedTime { load_ms } => sleep_ms(*load_ms).await,
            Self::Store { client, retry_for } => fetch(client, task, *retry_for).await?,
        }
        Ok(())
    }
}

async fn fetch(
    client: &JsonClient,
    task: &LoadTask,
    retry_for: Duration,
) -> Result<(), &'static str> {
    let fetch = Fetch {
        model: Arc::clone(&task.model_version.model),
        version: Arc::clone(&task.model_version.version),
        bytes: task.bytes,
    };
    let started = Instant::now();
    loop {
        let status = client.post("/fetch", &fetch).await;
        if status.is_some_and(|status| status.is_success()) {
            return Ok(());
        }
        if started.elapsed() > retry_for {
            return Err(STORE_ERROR);
        }
        sleep_ms(RETRY_AFTER_MS).await;
    }
}

/// Starts a load, which ends early if its copy is unloaded.
pub fn start_load(engine: &Arc<Engine>, task: LoadTask) {
    let engine = Arc::clone(engine);
    let loading = async move {
        let loaded = load(&engine, &task)
            .or(until_unloaded(&engine, task.copy_id))
            .await;
        match loaded {
            Ok(()) => engine.copies().finish_load(task.copy_id),
            Err(error) => engine.copies().fail_load(task.copy_id, error),
        }
        engine.changed.notify_all();
    };
    smol::spawn(loading).detach();
}

async fn load(engine: &Engine, task: &LoadTask) -> Result<(), &'static str> {
    let tier = engine.checkpoints().find(&task.model_version);
    match tier {
        Tier::Memory => read_tier(engine.settings.memory_cache, task.bytes).await,
        Tier::Disk => read_tier(engine.settings.disk_cache, task.bytes).await,
        Tier::Remote => engine.source.fetch(task).await?,
    }
    let mut checkpoints = engine.checkpoints();
    checkpoints.keep(&task.model_version, task.bytes, tier);
    Ok(())
}

async fn read_tier(tier: CacheTier, bytes: u64) {
    if tier.bytes_per_s == 0 {
        return;
    }
    let read_ms = bytes as f64 * 1000.0 / tier.bytes_per_s as f64;
    sleep_ms(read_ms as u64).await;
}

async fn until_unloaded(engine: &Engine, copy_id: u64) -> Result<(), &'static str> {
    loop {
        let changed = engine.changed.waiter();
        if !engine.copies().is_loading(copy_id) {
            return Ok(());
        }
        changed.wait().await;
    }
}

/// Starts an unload, which first lets the requests on its copies finish.
pub fn start_unload(engine: &Arc<Engine>, task: UnloadTask) {
    let engine = Arc::clone(engine);
    let unloading = async move {
        if !task.copy_ids.is_empty() {
            until_unused(&engine, &task.copy_ids).await;
            sleep_ms(engine.settings.unload_ms).await;
        }
        free(&engine, &task);
        engine.changed.notify_all();
    };
    smol::spawn(unloading).detach();
}

async fn until_unused(engine: &Engine, copy_ids: &[u64]) {
    loop {
        let changed = engine.changed.waiter();
        if !engine.copies().is_any_in_use(copy_ids) {
            return;
        }
        changed.wait().await;
    }
}

fn free(engine: &Engine, task: &UnloadTask) {
    engine.prefix_cache().clear_model(&task.model_version);
    let mut copies = engine.copies();
    for copy_id in &task.copy_ids {
        copies.remove_copy(*copy_id);
    }
    copies.finish_order(task.order);
}
