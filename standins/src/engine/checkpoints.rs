//! The checkpoint cache in host memory and on disk, least recently used first out.

use indexmap::IndexMap;
use serde::Serialize;

use crate::engine::ModelVersion;
use crate::engine::args::{CacheTier, EngineSettings};

/// Where a checkpoint is read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// Host memory.
    Memory,
    /// The local disk.
    Disk,
    /// The weight store.
    Remote,
}

/// One tier; the least recently used entry stands first.
#[derive(Debug)]
struct TierCache {
    capacity_bytes: u64,
    used_bytes: u64,
    entries: IndexMap<ModelVersion, u64>,
}

/// The checkpoints of each tier, least recently used first.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CachedCheckpoints {
    memory: Vec<ModelVersion>,
    disk: Vec<ModelVersion>,
}

/// The checkpoint cache of one engine.
#[derive(Debug)]
pub struct Checkpoints {
    memory: TierCache,
    disk: TierCache,
}

impl TierCache {
    fn new(tier: CacheTier) -> Self {
        Self {
            capacity_bytes: tier.capacity_bytes,
            used_bytes: 0,
            entries: IndexMap::new(),
        }
    }

    fn remove(&mut self, key: &ModelVersion) -> Option<u64> {
        let bytes = self.entries.shift_remove(key)?;
        self.used_bytes -= bytes;
        Some(bytes)
    }

    /// Moves an entry to the end of the eviction order and reports whether it exists.
    fn touch(&mut self, key: &ModelVersion) -> bool {
        let Some(bytes) = self.remove(key) else {
            return false;
        };
        self.insert(key, bytes);
        true
    }

    fn insert(&mut self, key: &ModelVersion, bytes: u64) {
        self.remove(key);
        if bytes > self.capacity_bytes {
            return;
        }
        while self.used_bytes > self.capacity_bytes - bytes {
            self.evict_oldest();
        }
        self.used_bytes += bytes;
        self.entries.insert(key.clone(), bytes);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, bytes)) = self.entries.shift_remove_index(0) {
            self.used_bytes -= bytes;
        }
    }

    fn names(&self) -> Vec<ModelVersion> {
        self.entries.keys().cloned().collect()
    }
}

impl Checkpoints {
    /// Builds the cache with what is on disk at the start.
    pub fn new(settings: &EngineSettings) -> Self {
        let mut disk = TierCache::new(settings.disk_cache);
        for cached in &settings.disk_cached {
            disk.insert(&cached.model_version, cached.bytes);
        }
        Self {
            memory: TierCache::new(settings.memory_cache),
            disk,
        }
    }

    /// Finds the fastest tier that holds a checkpoint and marks it as used.
    pub fn find(&mut self, key: &ModelVersion) -> Tier {
        let on_disk = self.disk.touch(key);
        if self.memory.touch(key) {
            return Tier::Memory;
        }
        match on_disk {
            true => Tier::Disk,
            false => Tier::Remote,
        }
    }

    /// Keeps a checkpoint that was read from a tier in all faster ones.
    pub fn keep(&mut self, key: &ModelVersion, bytes: u64, read_from: Tier) {
        match read_from {
            Tier::Memory => {}
            Tier::Disk => self.memory.insert(key, bytes),
            Tier::Remote => {
                self.disk.insert(key, bytes);
                self.memory.insert(key, bytes);
            }
        }
    }

    /// Lists what is cached.
    pub fn cached(&self) -> CachedCheckpoints {
        CachedCheckpoints {
            memory: self.memory.names(),
            disk: self.disk.names(),
        }
    }
}
