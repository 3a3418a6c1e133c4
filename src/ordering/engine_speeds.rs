//! Learns how slow each engine is from the times between the events of streams.
//!
//! Handles engines of one service that work at different speeds, on machines that differ or are
//! shared with others. The time between two events depends on the model as well as on the engine,
//! and most engines hold only a few of the models. The module fits `gap = reference of the model x
//! slowness of the engine` to a low quantile of the newest samples of each model at each engine, by
//! least squares of the logarithms. The mean slowness of a service is 1.

use crate::ordering::event_gaps::GapSample;
use crate::ordering::slowness::Slowness;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// The number of samples that the assumption of mean speed counts as at first.
const PRIOR_WEIGHT: f64 = 3.0;
/// What remains of it after many samples. It keeps engines that share no model with others near the
/// mean.
const LEAST_PRIOR_WEIGHT: f64 = 0.1;
/// The number of samples that the slowness published by a former orderer counts as.
const KNOWN_WEIGHT: f64 = 12.0;
/// The fraction of both weights that each new sample of the engine takes away.
const LOSS_PER_SAMPLE: f64 = 0.2;
/// The most samples that are kept of one model at one engine.
const MAX_SAMPLES: usize = 16;
/// The quantile of these samples that counts. Load of the moment and other work on a shared machine
/// only lengthen gaps, so the shorter ones show the speed.
const TYPICAL_QUANTILE: f64 = 0.1;
/// The most models of which samples of one engine are kept, a few more than an engine holds.
const MAX_MODELS_PER_ENGINE: usize = 16;
/// How long an engine keeps its slowness without samples.
const RETENTION_MS: Millis = Millis(30_000);
/// How fast the weight of its samples then halves.
const HALF_LIFE_MS: f64 = 10_000.0;
/// The weight below which old samples are dropped.
const MIN_WEIGHT: f64 = 0.1;
/// The factor by which a full engine lengthens gaps at most.
const MAX_FULL_FACTOR: f64 = 2.0;
/// What remains, with each sample of a full engine, of a slowness above the mean that the sample does
/// not prove.
const FADING: f64 = 0.8;
/// The shortest and the longest gap that count, in microseconds. An engine takes some milliseconds
/// for a token, and callers do not wait for seconds.
const GAP_BOUNDS_US: std::ops::RangeInclusive<u32> = 100..=10_000_000;
/// The least and the greatest slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 5.0);
/// The least change of a slowness that is published.
const MIN_CHANGE: f64 = 0.1;
/// How often slowness is computed.
const REFRESH_INTERVAL_MS: Millis = Millis(1_000);
/// How often references and slowness are adapted to each other at a time.
const SWEEPS: usize = 5;

/// An engine in the list of upstreams.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// Its lifetime.
    pub lifetime: Lifetime,
    /// The name of its service.
    pub service: Name,
}

/// The newest samples of one model at one engine, as logarithms.
#[derive(Clone, Debug)]
struct Samples {
    log_gaps: VecDeque<f64>,
    /// A low quantile of them.
    typical: f64,
    sampled_at: Millis,
}

impl Samples {
    fn add(&mut self, now: Millis, log_gap: f64) {
        if self.log_gaps.len() >= MAX_SAMPLES {
            self.log_gaps.pop_front();
        }
        self.log_gaps.push_back(log_gap);
        self.sampled_at = now;
        let mut sorted: Vec<f64> = self.log_gaps.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let position = (sorted.len() - 1) as f64 * TYPICAL_QUANTILE;
        let (below, above) = (sorted[position as usize], sorted[position.ceil() as usize]);
        self.typical = below + (above - below) * position.fract();
    }

    fn weight(&self) -> f64 {
        self.log_gaps.len() as f64
    }
}

/// What is known of one engine. Slowness is kept as its natural logarithm.
#[derive(Clone, Debug)]
struct EngineSpeed {
    service: Name,
    samples: IndexMap<Name, Samples>,
    known: f64,
    known_weight: f64,
    prior_weight: f64,
    sampled_at: Millis,
    log_slowness: f64,
    published: Slowness,
}

impl EngineSpeed {
    fn new(now: Millis, service: Name, known: Slowness) -> Self {
        let has_known = known != Slowness::MEAN;
        let log_slowness = known.ratio().ln();
        Self {
            service,
            samples: IndexMap::new(),
            // Makes up for the prior, so that the estimate is the known slowness.
            known: log_slowness * (KNOWN_WEIGHT + PRIOR_WEIGHT) / KNOWN_WEIGHT,
            known_weight: if has_known { KNOWN_WEIGHT } else { 0.0 },
            prior_weight: PRIOR_WEIGHT,
            sampled_at: now,
            log_slowness,
            published: known,
        }
    }

    fn has_evidence(&self) -> bool {
        !self.samples.is_empty() || self.known_weight > 0.0
    }

    fn add(&mut self, now: Millis, model: &Name, log_gap: f64) {
        self.known_weight *= 1.0 - LOSS_PER_SAMPLE;
        self.prior_weight = (self.prior_weight * (1.0 - LOSS_PER_SAMPLE)).max(LEAST_PRIOR_WEIGHT);
        let is_new = !self.samples.contains_key(model);
        if is_new && self.samples.len() >= MAX_MODELS_PER_ENGINE {
            let samples = self.samples.values().enumerate();
            let oldest = samples.min_by_key(|(_, samples)| samples.sampled_at);
            if let Some((oldest, _)) = oldest {
                self.samples.swap_remove_index(oldest);
            }
        }
        let samples = self.samples.entry(model.clone());
        samples
            .or_insert_with(|| Samples {
                log_gaps: VecDeque::new(),
                typical: log_gap,
                sampled_at: now,
            })
            .add(now, log_gap);
    }

    /// Returns the factor by which the weight of the engine's samples has decayed.
    fn decay(&self, now: Millis) -> f64 {
        let idle_ms = now.since(self.sampled_at + RETENTION_MS);
        0.5f64.powf(idle_ms.0 as f64 / HALF_LIFE_MS)
    }

    /// Drops the samples that have too little weight left.
    fn expire(&mut self, now: Millis) {
        let decay = self.decay(now);
        let samples = self.samples.values();
        let weight: f64 = samples.map(|samples| samples.weight()).sum();
        if (weight + self.known_weight) * decay < MIN_WEIGHT {
            self.samples.clear();
            self.known_weight = 0.0;
            self.prior_weight = PRIOR_WEIGHT;
            self.log_slowness = 0.0;
        }
    }

    /// Estimates the slowness from the references of the models.
    fn estimate(&mut self, now: Millis, references: &IndexMap<Name, f64>) {
        let decay = self.decay(now);
        let mut weight = self.known_weight * decay;
        let mut sum = self.known * weight;
        for (model, samples) in &self.samples {
            if let Some(reference) = references.get(model) {
                let samples_weight = samples.weight() * decay;
                weight += samples_weight;
                sum += (samples.typical - reference) * samples_weight;
            }
        }
        let prior_weight = self.prior_weight + (1.0 - decay) * PRIOR_WEIGHT;
        let (least, greatest) = SLOWNESS_BOUNDS;
        self.log_slowness = (sum / (weight + prior_weight)).clamp(least.ln(), greatest.ln());
    }
}

/// The slowness of all engines, as one orderer learns it.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    engines: IndexMap<Lifetime, EngineSpeed>,
    /// The models that engines may load, by service.
    models: IndexMap<Name, IndexSet<Name>>,
    /// The logarithms of the models' gaps at an engine of mean speed, by service.
    references: IndexMap<Name, IndexMap<Name, f64>>,
    /// The slowness that a former orderer published.
    known: IndexMap<Lifetime, Slowness>,
    refreshed_at: Millis,
}

impl EngineSpeeds {
    /// Creates the state of a new orderer, which goes on with the slowness that a former one
    /// published.
    pub fn continued_from(known: impl IntoIterator<Item = (Lifetime, Slowness)>) -> Self {
        Self {
            known: known.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Sets the engines to those that are listed. A new lifetime of an engine starts at the mean.
    pub fn set_engines(&mut self, now: Millis, listed: impl Iterator<Item = ListedEngine>) {
        let mut former = std::mem::take(&mut self.engines);
        for ListedEngine { lifetime, service } in listed {
            let engine = former.swap_remove(&lifetime);
            let engine = engine.filter(|engine| engine.service == service);
            let engine = engine.unwrap_or_else(|| {
                let known = self.known.swap_remove(&lifetime).unwrap_or_default();
                EngineSpeed::new(now, service, known)
            });
            self.engines.insert(lifetime, engine);
        }
    }

    /// Sets the models that the engines of each service may load.
    pub fn set_models(&mut self, models: IndexMap<Name, IndexSet<Name>>) {
        if self.models == models {
            return;
        }
        self.models = models;
        let Self {
            engines,
            models,
            references,
            ..
        } = self;
        let is_specified = |service: &Name, model: &Name| {
            let models = models.get(service);
            models.is_some_and(|models| models.contains(model))
        };
        for engine in engines.values_mut() {
            let service = &engine.service;
            engine
                .samples
                .retain(|model, _| is_specified(service, model));
        }
        for (service, references) in references.iter_mut() {
            references.retain(|model, _| is_specified(service, model));
        }
        references.retain(|_, references| !references.is_empty());
    }

    /// Adds a sample. One of an engine that is not listed, of a model that is not specified, or with
    /// an absurd gap is ignored.
    ///
    /// `is_full` tells whether the engine has as much work as it can take. That may lengthen its gaps
    /// up to twice, so only what exceeds that counts against the engine.
    pub fn record(&mut self, now: Millis, sample: &GapSample, is_full: bool) {
        let GapSample {
            engine,
            model,
            gap_us,
        } = sample;
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        let models = self.models.get(&engine.service);
        let is_specified = models.is_some_and(|models| models.contains(model));
        if !is_specified || !GAP_BOUNDS_US.contains(gap_us) {
            return;
        }
        let log_gap = f64::from(*gap_us).ln();
        engine.sampled_at = now;
        if !is_full {
            engine.add(now, model, log_gap);
            return;
        }
        let references = self.references.get(&engine.service);
        let Some(reference) = references.and_then(|references| references.get(model)) else {
            return;
        };
        // The slowness lies between that of the gap and half of it; the value nearest to the former
        // estimate counts. A high estimate is not confirmed by that, but fades.
        let longest = log_gap - reference;
        let former = match engine.log_slowness > 0.0 {
            true => engine.log_slowness * FADING,
            false => engine.log_slowness,
        };
        let slowness = former.clamp(longest - MAX_FULL_FACTOR.ln(), longest);
        engine.add(now, model, reference + slowness);
    }

    /// Computes the slowness of the engines from time to time. Returns those whose slowness changed
    /// by a tenth or more since it was last returned.
    pub fn refresh(&mut self, now: Millis) -> Vec<(Lifetime, Slowness)> {
        if now.since(self.refreshed_at) < REFRESH_INTERVAL_MS {
            return Vec::new();
        }
        self.refreshed_at = now;
        for engine in self.engines.values_mut() {
            engine.expire(now);
        }
        for _ in 0..SWEEPS {
            self.estimate_references(now);
            for engine in self.engines.values_mut() {
                match self.references.get(&engine.service) {
                    Some(references) => engine.estimate(now, references),
                    None => engine.estimate(now, &IndexMap::new()),
                }
            }
        }
        self.changes()
    }

    /// Records that the published state no longer has an engine, which may be listed again.
    pub fn note_unpublished(&mut self, lifetime: &Lifetime) {
        if let Some(engine) = self.engines.get_mut(lifetime) {
            engine.published = Slowness::MEAN;
        }
    }

    /// Returns the engines whose speed differs from the mean of their service.
    pub fn uneven(&self) -> impl Iterator<Item = (&Lifetime, Slowness)> {
        let engines = self.engines.iter();
        engines
            .map(|(lifetime, engine)| (lifetime, engine.published))
            .filter(|(_, slowness)| *slowness != Slowness::MEAN)
    }

    fn estimate_references(&mut self, now: Millis) {
        let mut sums: IndexMap<&Name, IndexMap<&Name, (f64, f64)>> = IndexMap::new();
        for engine in self.engines.values() {
            if engine.samples.is_empty() {
                continue;
            }
            let decay = engine.decay(now);
            let sums = sums.entry(&engine.service).or_default();
            for (model, samples) in &engine.samples {
                let weight = samples.weight() * decay;
                let (sum, weights) = sums.entry(model).or_default();
                *sum += (samples.typical - engine.log_slowness) * weight;
                *weights += weight;
            }
        }
        let references = sums.into_iter().map(|(service, sums)| {
            let means = sums
                .into_iter()
                .map(|(model, (sum, weights))| (model.clone(), sum / weights));
            (service.clone(), means.collect())
        });
        self.references = references.collect();
    }

    /// Returns the mean slowness of each service, before it is made 1.
    fn means(&self) -> IndexMap<Name, f64> {
        let mut sums: IndexMap<&Name, (f64, f64)> = IndexMap::new();
        for engine in self.engines.values() {
            let (sum, count) = sums.entry(&engine.service).or_default();
            *sum += engine.log_slowness.exp();
            *count += 1.0;
        }
        let means = sums
            .into_iter()
            .map(|(service, (sum, count))| (service.clone(), sum / count));
        means.collect()
    }

    fn changes(&mut self) -> Vec<(Lifetime, Slowness)> {
        let means = self.means();
        let mut changes = Vec::new();
        for (lifetime, engine) in &mut self.engines {
            let mean = means.get(&engine.service).copied().unwrap_or(1.0);
            let (least, greatest) = SLOWNESS_BOUNDS;
            let ratio = match engine.has_evidence() {
                true => (engine.log_slowness.exp() / mean).clamp(least, greatest),
                false => 1.0,
            };
            let slowness = match (ratio - 1.0).abs() < MIN_CHANGE {
                true => Slowness::MEAN,
                false => Slowness::from_ratio(ratio),
            };
            let change = (ratio - engine.published.ratio()).abs();
            let is_changed = change >= MIN_CHANGE || !engine.has_evidence();
            if is_changed && slowness != engine.published {
                engine.published = slowness;
                changes.push((lifetime.clone(), slowness));
            }
        }
        changes
    }
}
