//! What engines hold, as it is passed from the orderer to every host: only what changed since the receiver's version.
//!
//! Answers the pattern of some hundred engines with a dozen models and adapters each, of which a few change a second,
//! and hundreds of hosts that are to know it within half a second. The whole takes some 30 KB: told each time, it
//! filled a link of 20 Mbit/s at the orderer of 195 hosts; the changes take a few hundred bytes.

use crate::entry::platform::ModelRef;
use crate::ordering::ledger::EngineChanges;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// Most engines that are gone and remembered for hosts that may still know them; a host that knows an older version gets
/// the whole.
const MAX_GONE: usize = 256;

/// What one engine holds, as the orderer knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The start of the engine that this is known of.
    pub engine: Lifetime,
    /// What it holds: models by themselves, and adapters.
    pub held: Vec<ModelRef>,
}

/// The fence of the orderer, and its count of changes.
pub type EnginesVersion = (u64, u64);

/// What a host with an older version is told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EnginesNews {
    /// The version that it has then.
    pub version: EnginesVersion,
    /// Whether this is all; else what changed.
    pub is_whole: bool,
    /// Engines that hold other things than before.
    pub engines: Vec<EngineView>,
    /// Engines that are gone.
    pub gone: Vec<Lifetime>,
}

#[derive(Clone, Debug)]
struct Published {
    changed_at: u64,
    held: IndexSet<ModelRef>,
}

impl Published {
    fn is(&self, held: &[ModelRef]) -> bool {
        held.len() == self.held.len() && held.iter().all(|ask| self.held.contains(ask))
    }
}

/// What the engines hold, with the version of each one's last change.
#[derive(Clone, Debug, Default)]
pub struct PublishedEngines {
    version: EnginesVersion,
    engines: IndexMap<Lifetime, Published>,
    gone: VecDeque<(u64, Lifetime)>,
    /// From this version on every change is known.
    complete_from: u64,
}

impl PublishedEngines {
    /// Returns the version.
    pub fn version(&self) -> EnginesVersion {
        self.version
    }

    /// Returns what an engine holds; nothing when this start of it is not known.
    pub fn held(&self, engine: &Lifetime) -> Option<&IndexSet<ModelRef>> {
        Some(&self.engines.get(engine)?.held)
    }

    /// Returns the engines that hold a model or adapter, of those that are told of.
    pub fn holders<'a>(&'a self, ask: &'a ModelRef) -> impl Iterator<Item = &'a Lifetime> {
        let holding = self.engines.iter();
        let holding = holding.filter(|(_, published)| published.held.contains(ask));
        holding.map(|(engine, _)| engine)
    }

    /// Takes what changed on the engines, at the orderer with this fence. An engine that its entry in the list of upstreams
    /// describes is not told of, until it was told of once: every host has the entry.
    pub fn update(
        &mut self,
        fence: u64,
        changes: EngineChanges,
        is_as_listed: impl Fn(&EngineView) -> bool,
    ) {
        if fence != self.version.0 {
            *self = Self {
                version: (fence, 0),
                ..Self::default()
            };
        }
        let next = self.version.1 + 1;
        let mut is_changed = false;
        for engine in &changes.gone {
            if self.engines.contains_key(engine) {
                self.note_gone(next, engine);
                is_changed = true;
            }
        }
        for view in changes.views {
            let is_new = match self.engines.get(&view.engine) {
                Some(known) => !known.is(&view.held),
                None => !is_as_listed(&view),
            };
            if is_new {
                let published = Published {
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

    fn note_gone(&mut self, version: u64, engine: &Lifetime) {
        self.engines.swap_remove(engine);
        self.gone.push_back((version, engine.clone()));
        if self.gone.len() > MAX_GONE
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.complete_from = self.complete_from.max(version);
        }
    }

    /// Returns what a host with a version is told: nothing new when it knows as much.
    pub fn since(&self, known: EnginesVersion) -> EnginesNews {
        if known >= self.version {
            return EnginesNews {
                version: known,
                ..EnginesNews::default()
            };
        }
        let is_whole = known.0 != self.version.0 || known.1 < self.complete_from;
        let is_news = |at: u64| is_whole || at > known.1;
        let changed = self
            .engines
            .iter()
            .filter(|(_, engine)| is_news(engine.changed_at));
        let gone = self.gone.iter().filter(|(at, _)| !is_whole && is_news(*at));
        EnginesNews {
            version: self.version,
            is_whole,
            engines: changed
                .map(|(engine, published)| EngineView {
                    engine: engine.clone(),
                    held: published.held.iter().cloned().collect(),
                })
                .collect(),
            gone: gone.map(|(_, engine)| engine.clone()).collect(),
        }
    }

    /// Takes another host's news. Older ones than what is known change nothing.
    pub fn apply(&mut self, news: EnginesNews) {
        if news.version <= self.version {
            return;
        }
        let version = news.version.1;
        if news.is_whole {
            *self = Self {
                version: news.version,
                complete_from: version,
                ..Self::default()
            };
        } else if news.version.0 != self.version.0 {
            return;
        }
        for engine in &news.gone {
            self.note_gone(version, engine);
        }
        for EngineView { engine, held } in news.engines {
            let published = Published {
                changed_at: version,
                held: held.into_iter().collect(),
            };
            self.engines.insert(engine, published);
        }
        self.version = news.version;
    }
}
