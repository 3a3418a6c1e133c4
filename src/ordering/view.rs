//! What the orderer tells every host.

use crate::entry::platform::ModelAsk;
use crate::ordering::published::{EnginesNews, EnginesVersion, PublishedEngines};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::Lifetime;

/// How long an engine is passed over for a model that it said it lacks: about the age of what hosts know.
const LACKING_MS: Millis = Millis(150);
/// For how long while the orderer is silent and its last word is the one that was wrong: the host would else send each
/// request to the same engine twice and refuse it.
const LACKING_BY_OLD_WORD_MS: Millis = Millis(5_000);
/// From what age on the orderer's word is old: hosts of a site of some 80 speak with it each second.
const OLD_WORD_MS: Millis = Millis(1_200);

/// What a host knows from the orderer, corrected by refusals of the engines.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// When the orderer said last what this host knows.
    pub answered_at: Option<Millis>,
    /// How often it answered.
    pub answers: u64,
    engines: PublishedEngines,
    work: IndexMap<Name, UpstreamLoad>,
    ready_at: IndexMap<ModelAsk, Millis>,
    separate: IndexSet<Name>,
    lacking: IndexMap<(Name, ModelAsk), Lacking>,
}

/// When an engine said that it lacks a model, and the version of the word that had it there.
#[derive(Clone, Copy, Debug)]
struct Lacking {
    at: Millis,
    version: EnginesVersion,
}

impl View {
    /// Returns the version of what the engines hold; a new orderer's is higher.
    pub fn version(&self) -> EnginesVersion {
        self.engines.version()
    }

    /// Takes what the engines hold.
    pub fn take_engines(&mut self, news: EnginesNews) {
        self.engines.apply(news);
    }

    /// Returns what the engines hold, for a host that knows a version of it.
    pub fn engines_since(&self, known: EnginesVersion) -> EnginesNews {
        self.engines.since(known)
    }

    /// Forgets what a former start of an engine said that it lacks.
    pub fn forget_lacking(&mut self, upstream: &str) {
        self.lacking.retain(|(other, _), _| &**other != upstream);
    }

    /// Takes the other hosts' work at each engine.
    pub fn take_work(&mut self, work: Vec<(Name, UpstreamLoad)>) {
        self.work = work.into_iter().collect();
    }

    /// Takes the models whose copies are kept apart for long and for short prompts.
    pub fn take_separate(&mut self, models: Vec<Name>) {
        self.separate = models.into_iter().collect();
    }

    /// Tells whether the copies of a model are kept apart for long and for short prompts.
    pub fn is_separate(&self, model: &str) -> bool {
        self.separate.contains(model)
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
        self.lacking
            .retain(|_, lacking| now.since(lacking.at) < LACKING_BY_OLD_WORD_MS);
        let lacking = Lacking {
            at: now,
            version: self.version(),
        };
        self.lacking
            .insert((upstream.clone(), ask.clone()), lacking);
    }

    /// Tells whether an engine holds a model, by the orderer's word; nothing when the orderer does not know this start of
    /// the engine.
    pub fn holds(&self, upstream: &Lifetime, ask: &ModelAsk) -> Option<bool> {
        Some(self.engines.held(upstream)?.contains(ask))
    }

    /// Returns the engines that hold a model by the orderer's word.
    pub fn holders<'a>(&'a self, ask: &'a ModelAsk) -> impl Iterator<Item = &'a Lifetime> {
        self.engines.holders(ask)
    }

    /// Tells whether an engine said that it lacks a model, a moment ago or since a word of the orderer that is old.
    pub fn is_lacking(&self, now: Millis, upstream: &Name, ask: &ModelAsk) -> bool {
        let key = (upstream.clone(), ask.clone());
        let Some(lacking) = self.lacking.get(&key) else {
            return false;
        };
        let age_ms = now.since(lacking.at);
        let is_same_word = lacking.version == self.version();
        let is_old_word = self
            .answered_at
            .is_none_or(|answered_at| now.since(answered_at) >= OLD_WORD_MS);
        age_ms < LACKING_MS || (is_same_word && is_old_word && age_ms < LACKING_BY_OLD_WORD_MS)
    }

    /// Returns the other hosts' work at an engine.
    pub fn work(&self, upstream: &str) -> UpstreamLoad {
        self.work.get(upstream).copied().unwrap_or_default()
    }

    /// Adds the other hosts' work, as the orderer said it.
    pub fn add_work(&self, sum: &mut IndexMap<Name, UpstreamLoad>) {
        for (upstream, work) in &self.work {
            *sum.entry(upstream.clone()).or_default() += *work;
        }
    }

    /// Returns how long until models are expected to be ready.
    pub fn ready_in_ms(&self, now: Millis) -> Vec<(ModelAsk, Millis)> {
        let ready_at = self.ready_at.iter();
        ready_at
            .map(|(ask, at)| (ask.clone(), at.since(now)))
            .collect()
    }

    /// Returns the models whose copies are kept apart for long and for short prompts.
    pub fn separate(&self) -> Vec<Name> {
        self.separate.iter().cloned().collect()
    }

    /// Returns when a model is expected to be ready.
    pub fn ready_at(&self, ask: &ModelAsk) -> Option<Millis> {
        self.ready_at.get(ask).copied()
    }
}
