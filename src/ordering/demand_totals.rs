//! The demand of all hosts, aggregated by the orderer.

use crate::entry::platform::ModelRef;
use crate::ordering::demand::RequestCounts;
use crate::ordering::host_reports::{HostReport, HostReports};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::routing::roles::needs_separate_copies;

/// The half-life of the request rates. It is short because busy models change every few seconds.
const RATE_HALF_LIFE_MS: f64 = 5_000.0;
/// How long a model without requests is remembered. The time of its last request decides what is
/// unloaded first.
const RETENTION_MS: Millis = Millis(120_000);

/// The demand for one model or adapter over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetDemand {
    /// Requests that currently wait for it.
    pub waiting: u32,
    /// Requests that are currently running.
    pub running: u32,
    /// The time of the last request.
    pub last_request_at: Option<Millis>,
    requests: f64,
    long_requests: f64,
    tokens: f64,
    updated_at: Millis,
}

impl TargetDemand {
    /// Returns the recent requests per second.
    pub fn requests_per_s(&self, now: Millis) -> f64 {
        rate_per_s(self.requests * self.decay(now))
    }

    /// Returns the recent prompt tokens per second.
    pub fn tokens_per_s(&self, now: Millis) -> f64 {
        rate_per_s(self.tokens * self.decay(now))
    }

    /// Returns the recent requests per second that have long prompts.
    pub fn long_requests_per_s(&self, now: Millis) -> f64 {
        rate_per_s(self.long_requests * self.decay(now))
    }

    fn decay(&self, now: Millis) -> f64 {
        0.5f64.powf(now.since(self.updated_at).0 as f64 / RATE_HALF_LIFE_MS)
    }

    fn add(&mut self, now: Millis, count: &RequestCounts) {
        let decay = self.decay(now);
        self.requests = self.requests * decay + f64::from(count.asked);
        self.long_requests = self.long_requests * decay + f64::from(count.long);
        self.tokens = self.tokens * decay + count.tokens as f64;
        self.updated_at = now;
        if count.asked > 0 || count.waiting > 0 {
            self.last_request_at = Some(now);
        }
    }
}

/// Converts an exponentially decayed count to a rate per second. The mean age of the counted events
/// is the half-life divided by ln 2.
fn rate_per_s(decayed: f64) -> f64 {
    decayed * std::f64::consts::LN_2 * 1_000.0 / RATE_HALF_LIFE_MS
}

/// The demand of all hosts, by model and adapter.
#[derive(Clone, Debug, Default)]
pub struct DemandTotals {
    demands: IndexMap<ModelRef, TargetDemand>,
    hosts: HostReports,
}

impl DemandTotals {
    /// Adds one host's report. `host` is the incarnation of its process.
    pub fn record(&mut self, now: Millis, host: u64, report: HostReport) {
        for (model_ref, count) in &report.demand {
            self.demands
                .entry(model_ref.clone())
                .or_default()
                .add(now, count);
        }
        self.hosts.record(now, host, report);
        self.update_current(now);
    }

    /// Drops hosts that stopped reporting and models without recent requests.
    pub fn expire(&mut self, now: Millis) {
        self.update_current(now);
        self.demands.retain(|_, demand| {
            demand
                .last_request_at
                .is_some_and(|last_request_at| now.since(last_request_at) < RETENTION_MS)
        });
    }

    /// Returns the demand for a model or adapter; zero if there is none.
    pub fn demand_for(&self, model_ref: &ModelRef) -> TargetDemand {
        self.demands.get(model_ref).copied().unwrap_or_default()
    }

    /// Returns whether there was any request within the last `within_ms`.
    pub fn had_requests_within(&self, now: Millis, within_ms: Millis) -> bool {
        let mut last = self
            .demands
            .values()
            .filter_map(|demand| demand.last_request_at);
        last.any(|at| now.since(at) < within_ms)
    }

    /// Returns the demand for each model and adapter that had requests.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelRef, &TargetDemand)> {
        self.demands.iter()
    }

    /// Returns the demand for each model, with that for its adapters included.
    pub fn model_demands(&self, now: Millis) -> IndexMap<&Name, ModelDemand> {
        let mut models: IndexMap<&Name, ModelDemand> = IndexMap::new();
        for (model_ref, demand) in &self.demands {
            let total = models.entry(&model_ref.model).or_default();
            total.waiting += demand.waiting;
            total.running += demand.running;
            total.requests_per_s += demand.requests_per_s(now);
            total.long_requests_per_s += demand.long_requests_per_s(now);
            total.tokens_per_s += demand.tokens_per_s(now);
            total.last_request_at = total.last_request_at.max(demand.last_request_at);
        }
        models
    }

    /// Returns the models that use separate copies for long and for short prompts.
    pub fn split_models(&self, now: Millis) -> Vec<Name> {
        let models = self.model_demands(now).into_iter();
        let separate = models.filter(|(_, demand)| demand.needs_separate_copies());
        separate.map(|(model, _)| model.clone()).collect()
    }

    /// Returns the request load on each engine from all hosts except one.
    pub fn work_of_others(&self, host: u64) -> Vec<(Name, UpstreamLoad)> {
        let mut all: IndexMap<Name, UpstreamLoad> = IndexMap::new();
        self.hosts.add_work(Some(host), &mut all);
        all.into_iter().collect()
    }

    /// Returns the request load on an engine from all hosts.
    pub fn work_at(&self, engine: &str) -> UpstreamLoad {
        self.hosts.work_at(engine)
    }

    /// Returns how many requests of all hosts are running on an engine.
    pub fn running_at(&self, engine: &str) -> u32 {
        self.hosts.running_at(engine)
    }

    /// Returns how many hosts reported recently, including those that report through a relay.
    pub fn live_hosts(&self) -> usize {
        self.hosts.live_hosts()
    }

    /// Returns how many hosts reported recently to this host directly.
    pub fn reporting_hosts(&self) -> usize {
        self.hosts.reporting_hosts()
    }

    fn update_current(&mut self, now: Millis) {
        self.hosts.expire(now);
        for demand in self.demands.values_mut() {
            (demand.waiting, demand.running) = (0, 0);
        }
        for (model_ref, count) in self.hosts.current() {
            if let Some(demand) = self.demands.get_mut(model_ref) {
                demand.waiting += count.waiting;
                demand.running += count.running;
            }
        }
    }
}

/// The demand for a model, with that for its adapters included.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelDemand {
    /// Requests that currently wait.
    pub waiting: u32,
    /// Requests that are currently running.
    pub running: u32,
    /// Recent requests per second.
    pub requests_per_s: f64,
    /// The part of `requests_per_s` that has long prompts.
    pub long_requests_per_s: f64,
    /// Recent prompt tokens per second.
    pub tokens_per_s: f64,
    /// The time of the last request.
    pub last_request_at: Option<Millis>,
}

impl ModelDemand {
    /// Returns whether the model gets enough long and enough short prompts to use separate copies.
    pub fn needs_separate_copies(&self) -> bool {
        needs_separate_copies(
            self.long_requests_per_s,
            self.requests_per_s - self.long_requests_per_s,
        )
    }
}
