//! The engines' state as the orderer publishes it to all hosts, with only the changes since the
//! version that a host has.
//!
//! A site may have some hundred engines, each with a dozen models and adapters, of which a few
//! change per second, and hundreds of hosts that need the changes within half a second. The full
//! state is about 30 KB. If each message contained it, it would fill a link of 20 Mbit/s at the
//! orderer of 195 hosts; the changes are a few hundred bytes.

use crate::entry::platform::ModelRef;
use crate::ordering::engine_inventory::EngineChanges;
use crate::ordering::slowness::Slowness;
use crate::prelude::*;
use crate::upstreams::{Lifetime, LifetimeKey};
use std::collections::VecDeque;

/// The most removed engines that are remembered, so that hosts which still list them drop them. A
/// host with an older version receives the full state.
const MAX_REMOVED: usize = 256;

/// What one engine holds, as the orderer knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The start of the engine that `held` belongs to.
    pub engine: Lifetime,
    /// The models, each without an adapter, and the adapters that the engine holds.
    pub held: Vec<ModelRef>,
}

/// The version of the engines' state: the fencing token of the orderer, and its number of changes.
pub type EnginesVersion = (u64, u64);

/// An update of the engines' state for a host with an older version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EnginesUpdate {
    /// The version that the host has after the update.
    pub version: EnginesVersion,
    /// Whether `engines` is the full state; otherwise only the changes.
    pub is_whole: bool,
    /// The engines whose state changed; all engines if the update is the full state.
    pub engines: Vec<EngineView>,
    /// The engines that were removed.
    pub gone: Vec<Lifetime>,
    /// The engines whose slowness changed; in the full state, those that are not of mean speed.
    pub slowness: Vec<(Lifetime, Slowness)>,
}

#[derive(Clone, Copy, Debug)]
struct PublishedSlowness {
    changed_at: u64,
    slowness: Slowness,
}

#[derive(Clone, Debug)]
struct PublishedEngine {
    changed_at: u64,
    held: IndexSet<ModelRef>,
}

impl PublishedEngine {
    fn holds_exactly(&self, held: &[ModelRef]) -> bool {
        held.len() == self.held.len() && held.iter().all(|model_ref| self.held.contains(model_ref))
    }
}

/// The engines' state, with the version of each engine's last change. The orderer builds it with
/// [`PublishedEngines::update`], other hosts with [`PublishedEngines::apply`].
#[derive(Clone, Debug, Default)]
pub struct PublishedEngines {
    version: EnginesVersion,
    engines: IndexMap<Lifetime, PublishedEngine>,
    /// The slowness of engines that are, or were, not of mean speed.
    slowness: IndexMap<Lifetime, PublishedSlowness>,
    /// The engines that were removed, with the version of the removal, oldest first.
    removed: VecDeque<(u64, Lifetime)>,
    /// From this version on, all changes are known.
    complete_from: u64,
}

impl PublishedEngines {
    /// Returns the current version.
    pub fn version(&self) -> EnginesVersion {
        self.version
    }

    /// Returns what an engine holds; `None` if this start of it is not known.
    pub fn held(&self, engine: &Lifetime) -> Option<&IndexSet<ModelRef>> {
        Some(&self.engines.get(engine)?.held)
    }

    /// Returns the engines that hold a model or adapter, among those whose state is published.
    pub fn holders<'a>(&'a self, model_ref: &'a ModelRef) -> impl Iterator<Item = &'a Lifetime> {
        let holding = self.engines.iter();
        let holding = holding.filter(|(_, published)| published.held.contains(model_ref));
        holding.map(|(engine, _)| engine)
    }

    /// Returns the slowness of an engine; the mean if none was published for this start of it.
    pub fn slowness(&self, engine: LifetimeKey<'_>) -> Slowness {
        let published = self.slowness.get(&engine);
        published.map_or(Slowness::MEAN, |published| published.slowness)
    }

    /// Returns the engines that are not of mean speed.
    pub fn uneven(&self) -> impl Iterator<Item = (&Lifetime, Slowness)> {
        let published = self.slowness.iter();
        published
            .map(|(engine, published)| (engine, published.slowness))
            .filter(|(_, slowness)| *slowness != Slowness::MEAN)
    }

    /// Starts from an empty state if `fence` is the fencing token of a new orderer.
    fn begin(&mut self, fence: u64) {
        if fence != self.version.0 {
            *self = Self {
                version: (fence, 0),
                ..Self::default()
            };
        }
    }

    /// Adds changes of slowness to the published state of the orderer with this fencing token.
    pub fn update_slowness(&mut self, fence: u64, changes: Vec<(Lifetime, Slowness)>) {
        self.begin(fence);
        if changes.is_empty() {
            return;
        }
        self.version.1 += 1;
        for (engine, slowness) in changes {
            self.put_slowness(self.version.1, engine, slowness);
        }
    }

    fn put_slowness(&mut self, changed_at: u64, engine: Lifetime, slowness: Slowness) {
        let published = PublishedSlowness {
            changed_at,
            slowness,
        };
        self.slowness.insert(engine, published);
    }

    /// Adds the orderer's changes to the published state. `fence` is the fencing token of the
    /// orderer; a new one starts from an empty state. An engine whose state is as in its entry in
    /// the list of upstreams is left out until it was published once, because every host has the
    /// list.
    pub fn update(
        &mut self,
        fence: u64,
        changes: EngineChanges,
        is_as_listed: impl Fn(&EngineView) -> bool,
    ) {
        self.begin(fence);
        let next = self.version.1 + 1;
        let mut is_changed = false;
        for engine in &changes.gone {
            if self.engines.contains_key(engine) || self.slowness.contains_key(engine) {
                self.record_removed(next, engine);
                is_changed = true;
            }
        }
        for view in changes.views {
            let is_new = match self.engines.get(&view.engine) {
                Some(known) => !known.holds_exactly(&view.held),
                None => !is_as_listed(&view),
            };
            if is_new {
                let published = PublishedEngine {
                    changed_at: next,
                    held: view.held.into_iter().collect(),
                };
                self.engines.insert(view.engine, published);
                is_changed = true;
            }
        }
        if is_changed {
            self.version.1 = next;
        }
    }

    fn record_removed(&mut self, version: u64, engine: &Lifetime) {
        self.engines.swap_remove(engine);
        self.slowness.swap_remove(engine);
        self.removed.push_back((version, engine.clone()));
        if self.removed.len() > MAX_REMOVED
            && let Some((version, _)) = self.removed.pop_front()
        {
            self.complete_from = self.complete_from.max(version);
        }
    }

    /// Returns the update for a host that has version `known`; an empty one if that is not older
    /// than this version.
    pub fn since(&self, known: EnginesVersion) -> EnginesUpdate {
        if known >= self.version {
            return EnginesUpdate {
                version: known,
                ..EnginesUpdate::default()
            };
        }
        let is_whole = known.0 != self.version.0 || known.1 < self.complete_from;
        let is_newer = |at: u64| is_whole || at > known.1;
        let changed = self
            .engines
            .iter()
            .filter(|(_, engine)| is_newer(engine.changed_at));
        let removed = self
            .removed
            .iter()
            .filter(|(at, _)| !is_whole && is_newer(*at));
        let slowness = self.slowness.iter().filter(|(_, published)| {
            let is_uneven = published.slowness != Slowness::MEAN;
            is_newer(published.changed_at) && (is_uneven || !is_whole)
        });
        EnginesUpdate {
            version: self.version,
            is_whole,
            engines: changed
                .map(|(engine, published)| EngineView {
                    engine: engine.clone(),
                    held: published.held.iter().cloned().collect(),
                })
                .collect(),
            gone: removed.map(|(_, engine)| engine.clone()).collect(),
            slowness: slowness
                .map(|(engine, published)| (engine.clone(), published.slowness))
                .collect(),
        }
    }

    /// Applies an update from the orderer or a relay. One that is not newer than the own version is
    /// ignored.
    pub fn apply(&mut self, update: EnginesUpdate) {
        if update.version <= self.version {
            return;
        }
        let version = update.version.1;
        if update.is_whole {
            *self = Self {
                version: update.version,
                complete_from: version,
                ..Self::default()
            };
        } else if update.version.0 != self.version.0 {
            return;
        }
        for engine in &update.gone {
            self.record_removed(version, engine);
        }
        for EngineView { engine, held } in update.engines {
            let published = PublishedEngine {
                changed_at: version,
                held: held.into_iter().collect(),
            };
            self.engines.insert(engine, published);
        }
        for (engine, slowness) in update.slowness {
            self.put_slowness(version, engine, slowness);
        }
        self.version = update.version;
    }
}
