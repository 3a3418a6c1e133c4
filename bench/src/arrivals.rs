//! Arrivals of requests, drawn from a seed: the same seed gives the same arrivals.

use crate::scenario::{Scenario, Target};
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::f64::consts::TAU;

/// Why a request was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The usual demand.
    Background,
    /// Many callers want the same cold model.
    Burst,
    /// More demand than the site can serve.
    Saturation,
}

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CallKind {
    /// A streamed chat request to a model.
    Chat {
        /// Length of the prompt.
        prompt_bytes: usize,
    },
    /// A call to the plain service that may be repeated.
    ServiceRead,
    /// A call to the plain service that may run at most once.
    ServiceWrite,
}

/// One request to be made.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the start of the load.
    pub at_ms: u64,
    /// Which caller makes it.
    pub caller: usize,
    /// The caller's brand.
    pub brand: String,
    /// The model or service.
    pub target: String,
    /// What is called.
    pub kind: CallKind,
    /// Why.
    pub phase: Phase,
    /// How long the caller waits.
    pub deadline_ms: u64,
}

/// The deadline of a call to the plain service.
const SERVICE_DEADLINE_MS: u64 = 5_000;

struct Draw<'a> {
    scenario: &'a Scenario,
    targets: Vec<Target>,
    /// Sums of popularity up to each rank, the last one 1.
    cumulated: Vec<f64>,
    rng: Rng,
    arrivals: Vec<Arrival>,
}

/// Draws all arrivals of a scenario, in the order of their times.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let targets = scenario.targets();
    let cumulated = zipf(targets.len(), scenario.load.zipf_exponent);
    let mut draw = Draw {
        scenario,
        targets,
        cumulated,
        rng: Rng::with_seed(seed),
        arrivals: Vec::new(),
    };
    draw.background();
    draw.service_calls();
    draw.bursts();
    draw.saturation();
    draw.arrivals.sort_by_key(|arrival| arrival.at_ms);
    draw.arrivals
}

fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count)
        .map(|rank| (rank as f64).powf(-exponent))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    weights
        .iter()
        .map(|weight| {
            sum += weight / total;
            sum
        })
        .collect()
}

impl Draw<'_> {
    fn background(&mut self) {
        let load = &self.scenario.load;
        for at_ms in self.times(load.requests_per_s, load.day_swing) {
            let rank = self.rank();
            self.chat(at_ms, rank, None, Phase::Background);
        }
    }

    fn service_calls(&mut self) {
        let load = &self.scenario.load;
        for at_ms in self.times(load.service_calls_per_s, load.day_swing) {
            let kind = match self.rng.f64() < load.service_write_share {
                true => CallKind::ServiceWrite,
                false => CallKind::ServiceRead,
            };
            let caller = self.caller();
            self.arrivals.push(Arrival {
                at_ms,
                caller,
                brand: self.brand_of(caller),
                target: self.scenario.models.service.clone(),
                kind,
                phase: Phase::Background,
                deadline_ms: SERVICE_DEADLINE_MS,
            });
        }
    }

    /// Bursts go to the less popular half of the models.
    fn bursts(&mut self) {
        let load = &self.scenario.load;
        if load.burst_every_ms == 0 {
            return;
        }
        let mut begin_ms = load.burst_every_ms;
        while begin_ms < self.scenario.span_ms {
            let rank = self.rng.usize(self.targets.len() / 2..self.targets.len());
            for _ in 0..load.burst_requests {
                let at_ms = begin_ms + self.rng.u64(0..=load.burst_within_ms);
                self.chat(at_ms, rank, None, Phase::Burst);
            }
            begin_ms += load.burst_every_ms;
        }
    }

    fn saturation(&mut self) {
        let Some(saturation) = &self.scenario.load.saturation else {
            return;
        };
        for brand in 0..self.scenario.brands.len() {
            let rate = saturation.requests_per_s_each;
            let times = self.times_within(saturation.span_ms, rate, 0.0);
            for at_ms in times {
                self.chat(
                    saturation.start_ms + at_ms,
                    0,
                    Some(brand),
                    Phase::Saturation,
                );
            }
        }
    }

    fn chat(&mut self, at_ms: u64, rank: usize, brand: Option<usize>, phase: Phase) {
        let caller = match brand {
            None => self.caller(),
            Some(brand) => self.caller_of_brand(brand),
        };
        let target = &self.targets[rank];
        let usage = &self.scenario.models.uses[target.use_index];
        self.arrivals.push(Arrival {
            at_ms,
            caller,
            brand: self.brand_of(caller),
            target: target.name.clone(),
            kind: CallKind::Chat {
                prompt_bytes: usage.prompt_bytes,
            },
            phase,
            deadline_ms: usage.deadline_ms,
        });
    }

    fn times(&mut self, per_s: f64, swing: f64) -> Vec<u64> {
        self.times_within(self.scenario.span_ms, per_s, swing)
    }

    /// Draws the times of a Poisson process whose rate swings once over the span.
    fn times_within(&mut self, span_ms: u64, per_s: f64, swing: f64) -> Vec<u64> {
        let highest_per_ms = per_s * (1.0 + swing) / 1_000.0;
        let mut times = Vec::new();
        if highest_per_ms <= 0.0 {
            return times;
        }
        let mut at_ms = 0.0;
        loop {
            at_ms += -(1.0 - self.rng.f64()).ln() / highest_per_ms;
            if at_ms >= span_ms as f64 {
                return times;
            }
            let rate = 1.0 - swing * (TAU * at_ms / span_ms as f64).cos();
            if self.rng.f64() * (1.0 + swing) < rate {
                times.push(at_ms as u64);
            }
        }
    }

    fn rank(&mut self) -> usize {
        let drawn = self.rng.f64();
        let rank = self.cumulated.partition_point(|sum| *sum < drawn);
        rank.min(self.targets.len() - 1)
    }

    fn caller(&mut self) -> usize {
        self.rng.usize(0..self.scenario.load.callers)
    }

    fn caller_of_brand(&mut self, brand: usize) -> usize {
        let brands = self.scenario.brands.len();
        let each = (self.scenario.load.callers / brands).max(1);
        self.rng.usize(0..each) * brands + brand
    }

    fn brand_of(&self, caller: usize) -> String {
        let brands = &self.scenario.brands;
        brands[caller % brands.len()].name.clone()
    }
}
