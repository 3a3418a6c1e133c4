//! Samples of what engines hold, read from their own exact state.

use crate::call::{Outcome, finish};
use mangovale::edge::http::{client, with_timeout};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use trillium_client::{Client, Method};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLE_LIMIT: Duration = Duration::from_secs(2);

/// What one engine held at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When, from the start of the load.
    pub at_ms: u64,
    /// Its accelerator memory.
    pub memory_bytes: u64,
    /// The copies there.
    pub copies: Vec<SampledCopy>,
}

/// A copy in accelerator memory.
#[derive(Clone, Debug, Deserialize)]
pub struct SampledCopy {
    /// The model.
    pub model: String,
    /// Its size.
    pub bytes: u64,
    /// Whether it is loading, ready or unloading.
    pub state: SampledState,
}

/// The state of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SampledState {
    /// It takes memory and serves nothing.
    Loading,
    /// It serves.
    Ready,
    /// It takes memory and gets no new request.
    Unloading,
}

#[derive(Deserialize)]
struct EngineState {
    memory_bytes: u64,
    copies: Vec<SampledCopy>,
}

/// The samples of one engine, in the order of their times.
pub type EngineSamples = Vec<Sample>;

/// Takes samples of all engines until told to stop.
pub async fn take(
    engines: Vec<SocketAddr>,
    started_at: Instant,
    stopped: Arc<AtomicBool>,
) -> Vec<EngineSamples> {
    let tasks: Vec<_> = engines
        .into_iter()
        .map(|engine| smol::spawn(take_one(engine, started_at, stopped.clone())))
        .collect();
    let mut all = Vec::with_capacity(tasks.len());
    for task in tasks {
        all.push(task.await);
    }
    all
}

async fn take_one(
    engine: SocketAddr,
    started_at: Instant,
    stopped: Arc<AtomicBool>,
) -> EngineSamples {
    let client = client();
    let mut samples = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        if let Some(state) = read_state(&client, engine).await {
            samples.push(Sample {
                at_ms: started_at.elapsed().as_millis() as u64,
                memory_bytes: state.memory_bytes,
                copies: state.copies,
            });
        }
        smol::Timer::after(SAMPLE_INTERVAL).await;
    }
    samples
}

async fn read_state(client: &Client, engine: SocketAddr) -> Option<EngineState> {
    let url = format!("http://{engine}/state?exact=1");
    let asking = finish(client.build_conn(Method::Get, url));
    match with_timeout(SAMPLE_LIMIT, asking).await? {
        Outcome::Answered { text, .. } => serde_json::from_str(&text).ok(),
        _ => None,
    }
}
