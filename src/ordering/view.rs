//! What the orderer tells every host.

use crate::entry::platform::ModelAsk;
use crate::prelude::*;
use crate::routing::pick::Work;

/// How long an engine is passed over for a model that it said it lacks: about the age of what hosts know.
const LACKING_MS: Millis = Millis(150);

/// What one engine holds, as the orderer knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine's lifetime.
    pub upstream: Name,
    /// What it holds: models by themselves, and adapters.
    pub held: Vec<ModelAsk>,
}

/// What a host knows from the orderer, corrected by refusals of the engines.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The version of what the engines hold; a new orderer's is higher.
    pub version: (u64, u64),
    /// When the orderer answered last.
    pub answered_at: Option<Millis>,
    /// How often it answered.
    pub answers: u64,
    engines: IndexMap<Name, IndexSet<ModelAsk>>,
    work: IndexMap<Name, Work>,
    ready_at: IndexMap<ModelAsk, Millis>,
    lacking: IndexMap<(Name, ModelAsk), Millis>,
}

impl View {
    /// Takes what the engines hold.
    pub fn take_engines(&mut self, version: (u64, u64), engines: Vec<EngineView>) {
        self.version = version;
        self.engines = engines
            .into_iter()
            .map(|engine| (engine.upstream, engine.held.into_iter().collect()))
            .collect();
    }

    /// Takes the other hosts' work at each engine.
    pub fn take_work(&mut self, work: Vec<(Name, Work)>) {
        self.work = work.into_iter().collect();
    }

    /// Takes when models are expected to be ready.
    pub fn take_ready(&mut self, now: Millis, ready_in_ms: Vec<(ModelAsk, Millis)>) {
        self.ready_at = ready_in_ms
            .into_iter()
            .map(|(ask, in_ms)| (ask, now + in_ms))
            .collect();
    }

    /// Takes note that an engine said it lacks a model.
    pub fn note_lacking(&mut self, now: Millis, upstream: &Name, ask: &ModelAsk) {
        self.lacking.retain(|_, until| *until > now);
        let key = (upstream.clone(), ask.clone());
        self.lacking.insert(key, now + LACKING_MS);
    }

    /// Tells whether an engine holds a model, by the orderer's word; nothing when the orderer does not know the engine.
    pub fn holds(&self, upstream: &str, ask: &ModelAsk) -> Option<bool> {
        Some(self.engines.get(upstream)?.contains(ask))
    }

    /// Tells whether an engine said a moment ago that it lacks a model.
    pub fn is_lacking(&self, now: Millis, upstream: &Name, ask: &ModelAsk) -> bool {
        let key = (upstream.clone(), ask.clone());
        self.lacking.get(&key).is_some_and(|until| *until > now)
    }

    /// Returns the other hosts' work at an engine.
    pub fn work(&self, upstream: &str) -> Work {
        self.work.get(upstream).copied().unwrap_or_default()
    }

    /// Returns when a model is expected to be ready.
    pub fn ready_at(&self, ask: &ModelAsk) -> Option<Millis> {
        self.ready_at.get(ask).copied()
    }
}
