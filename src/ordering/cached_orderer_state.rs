//! The orderer's state as one host knows it.

use crate::entry::platform::ModelRef;
use crate::ordering::published::{EnginesUpdate, EnginesVersion, PublishedEngines};
use crate::ordering::slowness::Slowness;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::{Lifetime, LifetimeKey};

/// How long an engine is avoided for a model after it refused a request because it lacks the model.
/// This is about the age of what hosts know.
const REFUSAL_VALIDITY_MS: Millis = Millis(150);
/// The same while the orderer does not answer and the state that proved wrong is its newest.
/// Otherwise the host would send each request to the same engine twice and refuse it.
const STALE_REFUSAL_VALIDITY_MS: Millis = Millis(5_000);
/// The age from which the orderer's state is stale. At a site of some 80 hosts, each exchanges
/// messages with the orderer once per second.
const STALE_AFTER_MS: Millis = Millis(1_200);

/// The orderer's state as this host received it, corrected by the engines' refusals.
#[derive(Clone, Debug, Default)]
pub struct CachedOrdererState {
    /// When the orderer was in the state that this host knows; `None` before the first answer.
    pub answered_at: Option<Millis>,
    /// The number of updates received so far.
    pub answers: u64,
    engines: PublishedEngines,
    work: IndexMap<Name, UpstreamLoad>,
    ready_at: IndexMap<ModelRef, Millis>,
    separate: IndexSet<Name>,
    refusals: IndexMap<(Name, ModelRef), Refusal>,
}

/// A refusal of an engine that lacks a model, and the version of the engines' state in which it
/// held the model.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Millis,
    version: EnginesVersion,
}

impl CachedOrdererState {
    /// Returns the version of the engines' state. A new orderer's versions are higher.
    pub fn version(&self) -> EnginesVersion {
        self.engines.version()
    }

    /// Applies an update of the engines' state.
    pub fn apply_engines(&mut self, update: EnginesUpdate) {
        self.engines.apply(update);
    }

    /// Returns the update of the engines' state for a host that has version `known`.
    pub fn engines_since(&self, known: EnginesVersion) -> EnginesUpdate {
        self.engines.since(known)
    }

    /// Drops the refusals of an engine that was started again.
    pub fn forget_lacking(&mut self, upstream: &str) {
        self.refusals.retain(|(other, _), _| &**other != upstream);
    }

    /// Replaces the request load of other hosts on each engine.
    pub fn replace_work(&mut self, work: Vec<(Name, UpstreamLoad)>) {
        self.work = work.into_iter().collect();
    }

    /// Replaces the models that use separate copies for long and for short prompts.
    pub fn replace_separate(&mut self, models: Vec<Name>) {
        self.separate = models.into_iter().collect();
    }

    /// Returns whether a model uses separate copies for long and for short prompts.
    pub fn is_separate(&self, model: &str) -> bool {
        self.separate.contains(model)
    }

    /// Replaces the expected times until models and adapters are ready, as of `now`.
    pub fn replace_ready(&mut self, now: Millis, ready_in_ms: Vec<(ModelRef, Millis)>) {
        self.ready_at = ready_in_ms
            .into_iter()
            .map(|(model_ref, in_ms)| (model_ref, now + in_ms))
            .collect();
    }

    /// Records that an engine refused a request because it lacks the model.
    pub fn note_lacking(&mut self, now: Millis, upstream: &Name, model_ref: &ModelRef) {
        self.refusals
            .retain(|_, refusal| now.since(refusal.at) < STALE_REFUSAL_VALIDITY_MS);
        let refusal = Refusal {
            at: now,
            version: self.version(),
        };
        self.refusals
            .insert((upstream.clone(), model_ref.clone()), refusal);
    }

    /// Returns whether an engine holds a model, according to the orderer; `None` if the orderer
    /// does not know this start of the engine.
    pub fn holds(&self, upstream: &Lifetime, model_ref: &ModelRef) -> Option<bool> {
        Some(self.engines.held(upstream)?.contains(model_ref))
    }

    /// Returns the engines that hold a model, according to the orderer.
    pub fn holders<'a>(&'a self, model_ref: &'a ModelRef) -> impl Iterator<Item = &'a Lifetime> {
        self.engines.holders(model_ref)
    }

    /// Returns how long an engine takes for its work, relative to the mean of its service, which is 1.
    pub fn slowness(&self, upstream: LifetimeKey<'_>) -> f64 {
        self.engines.slowness(upstream).ratio()
    }

    /// Returns the engines that are not of mean speed.
    pub fn uneven_engines(&self) -> impl Iterator<Item = (&Lifetime, Slowness)> {
        self.engines.uneven()
    }

    /// Returns whether an engine recently refused a request because it lacks the model. While the
    /// orderer's state is stale and has not changed since, the refusal counts for longer.
    pub fn is_lacking(&self, now: Millis, upstream: &Name, model_ref: &ModelRef) -> bool {
        let key = (upstream.clone(), model_ref.clone());
        let Some(refusal) = self.refusals.get(&key) else {
            return false;
        };
        let age_ms = now.since(refusal.at);
        let is_same_version = refusal.version == self.version();
        let is_stale = self
            .answered_at
            .is_none_or(|answered_at| now.since(answered_at) >= STALE_AFTER_MS);
        age_ms < REFUSAL_VALIDITY_MS
            || (is_same_version && is_stale && age_ms < STALE_REFUSAL_VALIDITY_MS)
    }

    /// Returns the request load of other hosts on an engine.
    pub fn work(&self, upstream: &str) -> UpstreamLoad {
        self.work.get(upstream).copied().unwrap_or_default()
    }

    /// Adds the request load of other hosts, as the orderer reported it, to `sum`.
    pub fn add_work(&self, sum: &mut IndexMap<Name, UpstreamLoad>) {
        for (upstream, work) in &self.work {
            *sum.entry(upstream.clone()).or_default() += *work;
        }
    }

    /// Returns the expected time until each model or adapter that callers wait for is ready.
    pub fn ready_in_ms(&self, now: Millis) -> Vec<(ModelRef, Millis)> {
        let ready_at = self.ready_at.iter();
        ready_at
            .map(|(model_ref, at)| (model_ref.clone(), at.since(now)))
            .collect()
    }

    /// Returns the models that use separate copies for long and for short prompts.
    pub fn separate(&self) -> Vec<Name> {
        self.separate.iter().cloned().collect()
    }

    /// Returns when a model or adapter is expected to be ready; `None` if unknown.
    pub fn ready_at(&self, model_ref: &ModelRef) -> Option<Millis> {
        self.ready_at.get(model_ref).copied()
    }
}
