//! Figures of a run, from its history and the stand-ins' own counters alone.

use crate::arrivals::{CallKind, Phase};
use crate::history::HistoryLine;
use crate::samples::{EngineSamples, Sample, SampledState};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::collections::HashMap;

const MS_PER_HOUR: f64 = 3_600_000.0;
const HIGHEST_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times of many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many.
    pub count: u64,
    /// Half of them took at most this.
    pub p50_ms: u64,
    /// 95 of 100 took at most this.
    pub p95_ms: u64,
    /// 99 of 100 took at most this.
    pub p99_ms: u64,
}

impl Spread {
    /// Summarizes times.
    ///
    /// # Panics
    ///
    /// Panics when the histogram's fixed bounds are not allowed by its library.
    pub fn of(times_ms: impl Iterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        times_ms.for_each(|ms| histogram.saturating_record(ms.max(1)));
        Self {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.50),
            p95_ms: histogram.value_at_quantile(0.95),
            p99_ms: histogram.value_at_quantile(0.99),
        }
    }
}

/// What one brand got while demand was above what the site could serve.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Share {
    /// The brand.
    pub brand: String,
    /// Its part of the sum of weights, in percent.
    pub weight_percent: f64,
    /// Its part of the answers, in percent.
    pub got_percent: f64,
}

/// Accelerator time, scaled back to the deployment's day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AcceleratorHours {
    /// Copies in memory, as parts of an engine's memory.
    pub held: f64,
    /// Of these, while no request for the model was under way.
    pub idle: f64,
}

/// What a run under one policy gave.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// How many requests were made.
    pub requests: usize,
    /// From arrival to first byte, of requests that found no ready copy.
    pub cold: Spread,
    /// How many of those got no answer.
    pub cold_unanswered: usize,
    /// From arrival to first byte, of requests that found one; those that met the saturation are left out.
    pub warm: Spread,
    /// How many of those got no answer.
    pub warm_unanswered: usize,
    /// Whole answers before the deadline, in percent of all requests.
    pub good_percent: f64,
    /// How many requests ended in each other way.
    pub failures: IndexMap<String, u64>,
    /// Accelerator time.
    pub accelerator_hours: AcceleratorHours,
    /// Shares under saturation; empty without it.
    pub shares: Vec<Share>,
    /// What the processes counted themselves.
    pub counted: Counted,
}

/// Figures from the processes' counters.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counted {
    /// Records on the log.
    pub log_records: u64,
    /// The same by kind of record, as far as they were read.
    pub log_record_kinds: IndexMap<String, u64>,
    /// Calls to the log, reads included.
    pub log_calls: u64,
    /// Loads that engines started.
    pub loads_started: u64,
    /// Loads that failed.
    pub loads_failed: u64,
    /// Whether an engine ever held more than its memory.
    pub overcommitted: bool,
    /// Share of one core for each daemon, in percent.
    pub core_percent: f64,
    /// The kernel's part of that, in percent.
    pub system_percent: f64,
    /// Bytes a second between a daemon and the log.
    pub log_bytes_per_s: f64,
    /// Bytes a second of datagrams from and to peers.
    pub peer_bytes_per_s: f64,
}

/// Computes the figures of a run.
pub fn summarize(
    scenario: &Scenario,
    policy: &str,
    history: &[HistoryLine],
    samples: &[EngineSamples],
    counted: Counted,
) -> Figures {
    // Under saturation the wait in the queue would hide what a warm request costs.
    let usual = history
        .iter()
        .filter(|line| is_chat(line) && !meets_saturation(scenario, line));
    let (warm, cold): (Vec<&HistoryLine>, Vec<&HistoryLine>) =
        usual.partition(|line| found_ready(samples, &line.target, line.asked_ms));
    let good = history.iter().filter(|line| line.is_good()).count();
    Figures {
        policy: policy.to_string(),
        requests: history.len(),
        cold: spread_of(&cold),
        cold_unanswered: unanswered(&cold),
        warm: spread_of(&warm),
        warm_unanswered: unanswered(&warm),
        good_percent: percent(good as f64, history.len() as f64),
        failures: failures(history),
        accelerator_hours: accelerator_hours(scenario, history, samples),
        shares: shares(scenario, history),
        counted,
    }
}

/// Tells whether a request is for the saturated model, while its queue is longer than usual.
fn meets_saturation(scenario: &Scenario, line: &HistoryLine) -> bool {
    let Some(saturation) = &scenario.load.saturation else {
        return false;
    };
    let over_ms = saturation.start_ms + saturation.span_ms + line.deadline_ms;
    let is_saturated = scenario.targets()[0].name == line.target;
    is_saturated && (saturation.start_ms..over_ms).contains(&line.asked_ms)
}

fn is_chat(line: &HistoryLine) -> bool {
    matches!(line.call, CallKind::Chat { .. })
}

fn spread_of(lines: &[&HistoryLine]) -> Spread {
    Spread::of(lines.iter().filter_map(|line| line.first_byte_after_ms()))
}

fn unanswered(lines: &[&HistoryLine]) -> usize {
    lines.iter().filter(|line| !line.end.is_success()).count()
}

fn failures(history: &[HistoryLine]) -> IndexMap<String, u64> {
    let mut counts = IndexMap::new();
    for line in history.iter().filter(|line| !line.is_good()) {
        let name = match line.end.is_success() {
            true => "answered_late",
            false => line.end.name(),
        };
        *counts.entry(name.to_string()).or_insert(0) += 1;
    }
    counts.sort_unstable_keys();
    counts
}

/// Tells whether any engine had a ready copy at the last sample before a moment.
pub fn found_ready(samples: &[EngineSamples], model: &str, at_ms: u64) -> bool {
    samples.iter().any(|engine| {
        last_before(engine, at_ms).is_some_and(|sample| {
            let mut copies = sample.copies.iter();
            copies.any(|copy| copy.model == model && copy.state == SampledState::Ready)
        })
    })
}

fn last_before(engine: &[Sample], at_ms: u64) -> Option<&Sample> {
    let after = engine.partition_point(|sample| sample.at_ms <= at_ms);
    engine[..after].last()
}

/// The times at which requests for each model were under way.
struct Use<'a> {
    spans: HashMap<&'a str, Vec<(u64, u64)>>,
}

impl<'a> Use<'a> {
    fn of(
        scenario: &Scenario,
        history: &'a [HistoryLine],
        bases: &'a HashMap<String, String>,
    ) -> Self {
        let mut spans: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
        for line in history.iter().filter(|line| is_chat(line)) {
            let span = (line.asked_ms, line.ended_ms);
            spans.entry(&line.target).or_default().push(span);
            if let Some(base) = bases.get(&line.target) {
                spans.entry(base).or_default().push(span);
            }
        }
        debug_assert!(spans.len() <= scenario.models.models + scenario.models.adapters);
        Self { spans }
    }

    fn is_used(&self, model: &str, at_ms: u64) -> bool {
        let spans = self.spans.get(model).map_or(&[][..], Vec::as_slice);
        spans
            .iter()
            .any(|(begin, end)| *begin <= at_ms && at_ms < *end)
    }
}

/// Adds up accelerator time over the span of the load.
pub fn accelerator_hours(
    scenario: &Scenario,
    history: &[HistoryLine],
    samples: &[EngineSamples],
) -> AcceleratorHours {
    let bases: HashMap<String, String> = scenario
        .targets()
        .into_iter()
        .filter_map(|target| Some((target.name, target.base?)))
        .collect();
    let usage = Use::of(scenario, history, &bases);
    let mut held_ms = 0.0;
    let mut idle_ms = 0.0;
    for engine in samples {
        for pair in engine.windows(2) {
            let (sample, until_ms) = (&pair[0], pair[1].at_ms.min(scenario.span_ms));
            let span_ms = until_ms.saturating_sub(sample.at_ms) as f64;
            for copy in &sample.copies {
                let part_ms = span_ms * copy.bytes as f64 / sample.memory_bytes as f64;
                held_ms += part_ms;
                if !usage.is_used(&copy.model, sample.at_ms) {
                    idle_ms += part_ms;
                }
            }
        }
    }
    let hours = |ms: f64| ms * scenario.time_factor / MS_PER_HOUR;
    AcceleratorHours {
        held: hours(held_ms),
        idle: hours(idle_ms),
    }
}

/// Compares what each brand got under saturation with its weight. The first and last parts of the
/// phase are left out, in which the queue fills and empties.
fn shares(scenario: &Scenario, history: &[HistoryLine]) -> Vec<Share> {
    const MARGIN_PARTS: u64 = 4;
    let Some(saturation) = &scenario.load.saturation else {
        return Vec::new();
    };
    let margin_ms = saturation.span_ms / MARGIN_PARTS;
    let begin_ms = saturation.start_ms + margin_ms;
    let end_ms = saturation.start_ms + saturation.span_ms;
    let got = |brand: &str| {
        let lines = history.iter().filter(|line| {
            line.phase == Phase::Saturation
                && line.brand == brand
                && line.end.is_success()
                && (begin_ms..end_ms).contains(&line.ended_ms)
        });
        lines.count() as f64
    };
    let total: f64 = scenario.brands.iter().map(|brand| got(&brand.name)).sum();
    let weights: f64 = scenario
        .brands
        .iter()
        .map(|brand| f64::from(brand.weight))
        .sum();
    let share = |brand: &crate::scenario::BrandSpec| Share {
        brand: brand.name.clone(),
        weight_percent: percent(f64::from(brand.weight), weights),
        got_percent: percent(got(&brand.name), total),
    };
    scenario.brands.iter().map(share).collect()
}

fn percent(part: f64, whole: f64) -> f64 {
    match whole > 0.0 {
        true => part * 100.0 / whole,
        false => 0.0,
    }
}

/// Short times of many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Half of them took at most this.
    pub p50_us: u64,
    /// 99 of 100 took at most this.
    pub p99_us: u64,
}

impl Quantiles {
    /// Summarizes times.
    ///
    /// # Panics
    ///
    /// Panics when the histogram's fixed bounds are not allowed by its library.
    pub fn of(times_us: &[u64]) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        times_us
            .iter()
            .for_each(|us| histogram.saturating_record((*us).max(1)));
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.50),
            p99_us: histogram.value_at_quantile(0.99),
        }
    }
}
