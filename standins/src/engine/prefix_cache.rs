//! The prompt-prefix cache and the events it publishes, late and with gaps.

use std::collections::VecDeque;

use fastrand::Rng;
use indexmap::IndexMap;
use serde::Serialize;

use crate::clock::now_ms;
use crate::engine::args::EngineSettings;
use crate::engine::{Engine, ModelVersion};
use crate::error::Refusal;
use crate::http::{Answer, Request};

/// A prompt is cached in blocks of this many bytes.
const BLOCK_BYTES: usize = 256;
/// How many events are kept.
const MAX_EVENTS: usize = 10_000;
/// How many events one answer carries.
const MAX_ANSWERED_EVENTS: usize = 1000;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes the FNV-1a 64-bit hash.
pub fn fnv_1a(bytes: &[u8]) -> u64 {
    extend_fnv_1a(FNV_OFFSET, bytes)
}

fn extend_fnv_1a(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}

/// What became of a block.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CacheAction {
    Stored,
    Removed,
}

/// One published change of the cache.
#[derive(Clone, Debug, Serialize)]
struct CacheEvent {
    number: u64,
    at_ms: u64,
    action: CacheAction,
    model: ModelVersion,
    /// The hash of the prompt up to the end of the block, 16 hex digits.
    prefix_hash: String,
}

/// The answer to a question for events.
#[derive(Debug, Serialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
    next_number: u64,
    oldest_number: u64,
}

/// The cached blocks, least recently used first, and the events about them.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: IndexMap<u64, ModelVersion>,
    events: VecDeque<CacheEvent>,
    next_number: u64,
    event_loss: f64,
    rng: Rng,
}

impl PrefixCache {
    /// Builds an empty cache.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity_blocks: settings.prefix_cache_bytes / BLOCK_BYTES,
            blocks: IndexMap::new(),
            events: VecDeque::new(),
            next_number: 0,
            event_loss: settings.cache_event_loss,
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// Returns how much of the prompt is cached, and caches the rest.
    pub fn use_prefix(&mut self, model_version: &ModelVersion, text: &str) -> usize {
        if self.capacity_blocks == 0 {
            return 0;
        }
        let mut hash = fnv_1a(format!("{model_version}\n").as_bytes());
        let mut cached_blocks = 0;
        let mut is_prefix_cached = true;
        let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
        for block in blocks.take(self.capacity_blocks) {
            hash = extend_fnv_1a(hash, block);
            is_prefix_cached &= self.store(hash, model_version);
            cached_blocks += usize::from(is_prefix_cached);
        }
        cached_blocks * BLOCK_BYTES
    }

    /// Drops all blocks of a model.
    pub fn clear_model(&mut self, model_version: &ModelVersion) {
        let is_of_model = |_: &u64, owner: &mut ModelVersion| owner == model_version;
        let removed: Vec<u64> = self
            .blocks
            .extract_if(.., is_of_model)
            .map(|(hash, _)| hash)
            .collect();
        for hash in removed {
            self.publish(CacheAction::Removed, model_version.clone(), hash);
        }
    }

    /// Stores a block, or marks it as used, and reports whether it was there.
    fn store(&mut self, hash: u64, model_version: &ModelVersion) -> bool {
        let was_there = self.blocks.shift_remove(&hash).is_some();
        if !was_there {
            self.evict_if_full();
            self.publish(CacheAction::Stored, model_version.clone(), hash);
        }
        self.blocks.insert(hash, model_version.clone());
        was_there
    }

    fn evict_if_full(&mut self) {
        if self.blocks.len() < self.capacity_blocks {
            return;
        }
        if let Some((hash, owner)) = self.blocks.shift_remove_index(0) {
            self.publish(CacheAction::Removed, owner, hash);
        }
    }

    fn publish(&mut self, action: CacheAction, model: ModelVersion, hash: u64) {
        let number = self.next_number;
        self.next_number += 1;
        if self.rng.f64() < self.event_loss {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            number,
            at_ms: now_ms(),
            action,
            model,
            prefix_hash: format!("{hash:016x}"),
        });
    }

    /// Collects the events from a number on that are old enough to be shown.
    fn events_from(&self, from: u64, shown_before_ms: u64) -> CacheEvents {
        let is_shown = |event: &&CacheEvent| event.at_ms <= shown_before_ms;
        let shown = self.events.iter().take_while(is_shown);
        let wanted = shown.skip_while(|event| event.number < from);
        let events: Vec<CacheEvent> = wanted.take(MAX_ANSWERED_EVENTS).cloned().collect();
        let next_number = events.last().map_or(from, |event| event.number + 1);
        let oldest = self.events.front();
        CacheEvents {
            events,
            next_number,
            oldest_number: oldest.map_or(self.next_number, |event| event.number),
        }
    }
}

/// Answers the events from a number on.
///
/// # Errors
///
/// Refuses a malformed number.
pub fn events(engine: &Engine, request: &Request) -> Result<Answer, Refusal> {
    let from = request.query("from")?.unwrap_or(0);
    let lag_ms = engine.settings.cache_event_lag_ms;
    let shown_before_ms = now_ms().saturating_sub(lag_ms);
    let events = engine.prefix_cache().events_from(from, shown_before_ms);
    Ok(Answer::ok(&events))
}
