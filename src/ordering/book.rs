//! The demand of all hosts, as the orderer adds it up.

use crate::entry::platform::ModelAsk;
use crate::ordering::demand::AskCount;
use crate::ordering::host_reports::{HostReport, HostReports};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::routing::roles::needs_separate_copies;

/// How fast a rate forgets: busy models change every few seconds.
const HALF_LIFE_MS: f64 = 5_000.0;
/// How long a model that nobody asks for is remembered: for choosing what to unload.
const REMEMBER_MS: Millis = Millis(120_000);

/// The demand for one model or adapter.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// Requests that wait for it now.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// When it was asked for last.
    pub last_at: Option<Millis>,
    asked: f64,
    long: f64,
    tokens: f64,
    updated_at: Millis,
}

impl Asked {
    /// Returns the requests a second of late.
    pub fn per_s(&self, now: Millis) -> f64 {
        per_s(self.asked * self.decay(now))
    }

    /// Returns the prompt tokens a second of late.
    pub fn tokens_per_s(&self, now: Millis) -> f64 {
        per_s(self.tokens * self.decay(now))
    }

    /// Returns the requests a second of late that have long prompts.
    pub fn long_per_s(&self, now: Millis) -> f64 {
        per_s(self.long * self.decay(now))
    }

    fn decay(&self, now: Millis) -> f64 {
        0.5f64.powf(now.since(self.updated_at).0 as f64 / HALF_LIFE_MS)
    }

    fn add(&mut self, now: Millis, count: &AskCount) {
        let decay = self.decay(now);
        self.asked = self.asked * decay + f64::from(count.asked);
        self.long = self.long * decay + f64::from(count.long);
        self.tokens = self.tokens * decay + count.tokens as f64;
        self.updated_at = now;
        if count.asked > 0 || count.waiting > 0 {
            self.last_at = Some(now);
        }
    }
}

/// Turns a decayed count into a rate: the mean age of what it holds is the half life over the logarithm of two.
fn per_s(decayed: f64) -> f64 {
    decayed * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS
}

/// The demand of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Book {
    asked: IndexMap<ModelAsk, Asked>,
    hosts: HostReports,
}

impl Book {
    /// Takes one host's message.
    pub fn take(&mut self, now: Millis, host: u64, report: HostReport) {
        for (ask, count) in &report.demand {
            self.asked.entry(ask.clone()).or_default().add(now, count);
        }
        self.hosts.take(now, host, report);
        self.add_up(now);
    }

    /// Forgets hosts that fell silent and models that nobody asks for.
    pub fn expire(&mut self, now: Millis) {
        self.add_up(now);
        self.asked.retain(|_, asked| {
            asked
                .last_at
                .is_some_and(|last_at| now.since(last_at) < REMEMBER_MS)
        });
    }

    /// Returns the demand for a model or adapter.
    pub fn asked(&self, ask: &ModelAsk) -> Asked {
        self.asked.get(ask).copied().unwrap_or_default()
    }

    /// Tells whether anything was asked for within a time.
    pub fn is_asked_of_late(&self, now: Millis, within_ms: Millis) -> bool {
        let mut last = self.asked.values().filter_map(|asked| asked.last_at);
        last.any(|at| now.since(at) < within_ms)
    }

    /// Returns all that was asked for.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelAsk, &Asked)> {
        self.asked.iter()
    }

    /// Returns the demand for each model that was asked for, together with its adapters.
    pub fn models(&self, now: Millis) -> IndexMap<&Name, ModelDemand> {
        let mut models: IndexMap<&Name, ModelDemand> = IndexMap::new();
        for (ask, asked) in &self.asked {
            let demand = models.entry(&ask.model).or_default();
            demand.waiting += asked.waiting;
            demand.running += asked.running;
            demand.per_s += asked.per_s(now);
            demand.long_per_s += asked.long_per_s(now);
            demand.tokens_per_s += asked.tokens_per_s(now);
            demand.last_at = demand.last_at.max(asked.last_at);
        }
        models
    }

    /// Returns the models whose copies are kept apart for long and for short prompts.
    pub fn separate(&self, now: Millis) -> Vec<Name> {
        let models = self.models(now).into_iter();
        let separate = models.filter(|(_, demand)| demand.has_both_kinds());
        separate.map(|(model, _)| model.clone()).collect()
    }

    /// Returns the work at each engine of all hosts but one.
    pub fn work_of_others(&self, host: u64) -> Vec<(Name, UpstreamLoad)> {
        let mut all: IndexMap<Name, UpstreamLoad> = IndexMap::new();
        self.hosts.add_work(Some(host), &mut all);
        all.into_iter().collect()
    }

    /// Returns how many requests of all hosts run at an engine.
    pub fn running_at(&self, engine: &str) -> u32 {
        self.hosts.running_at(engine)
    }

    /// Returns how many hosts were heard of late, those that speak through others included.
    pub fn heard(&self) -> usize {
        self.hosts.heard()
    }

    /// Returns how many hosts spoke with this one of late.
    pub fn hosts(&self) -> usize {
        self.hosts.count()
    }

    fn add_up(&mut self, now: Millis) {
        self.hosts.expire(now);
        for asked in self.asked.values_mut() {
            (asked.waiting, asked.running) = (0, 0);
        }
        for (ask, count) in self.hosts.present() {
            if let Some(asked) = self.asked.get_mut(ask) {
                asked.waiting += count.waiting;
                asked.running += count.running;
            }
        }
    }
}

/// The demand for a model with its adapters.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelDemand {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests a second of late.
    pub per_s: f64,
    /// How many of these have long prompts.
    pub long_per_s: f64,
    /// Prompt tokens a second of late.
    pub tokens_per_s: f64,
    /// When it was asked for last.
    pub last_at: Option<Millis>,
}

impl ModelDemand {
    /// Tells whether the model is asked with long and with short prompts.
    pub fn has_both_kinds(&self) -> bool {
        needs_separate_copies(self.long_per_s, self.per_s - self.long_per_s)
    }
}
