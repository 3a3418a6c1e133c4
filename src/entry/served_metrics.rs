//! Counters of how requests were served, by route, rank and organisation, and histograms of waits.

use crate::entry::served::Served;
use crate::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use std::cell::RefCell;
use std::hash::Hash;

/// The most routes, counted with each rank of their requests, that have labels of their own.
const MAX_ROUTES: usize = 256;
/// The most organisations that have labels of their own.
const MAX_ORGANISATIONS: usize = 256;
/// The label of everything beyond these bounds.
const OTHER: &str = "other";
/// The upper bounds of the buckets of waits.
const WAIT_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0,
];

/// Why a request waited before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// Its organisation's rate limit was reached.
    Limit,
    /// No upstream could take it, or none held its model.
    Model,
    /// Its long prompt waited until its engine read no other one.
    Turn,
}

impl WaitCause {
    fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Model => "model",
            Self::Turn => "turn",
        }
    }
}

/// Metrics of how requests were served.
pub struct ServedMetrics {
    by_route: Counter<u64>,
    by_organisation: Counter<u64>,
    wait_ms: Histogram<f64>,
    routes: BoundedLabels<(Name, u8)>,
    organisations: BoundedLabels<Name>,
}

impl ServedMetrics {
    /// Creates the metrics.
    pub fn new(meter: &Meter) -> Self {
        let wait_ms = meter.f64_histogram("mangovale_entry_wait_ms");
        Self {
            by_route: meter.u64_counter("mangovale_entry_served").build(),
            by_organisation: meter.u64_counter("mangovale_entry_organisation").build(),
            wait_ms: wait_ms.with_boundaries(WAIT_BOUNDS_MS.to_vec()).build(),
            routes: BoundedLabels::new(MAX_ROUTES),
            organisations: BoundedLabels::new(MAX_ORGANISATIONS),
        }
    }

    /// Counts a request that ended.
    pub fn count(&self, route: &Name, rank: u8, organisation: Option<&Name>, served: Served) {
        let (route, rank) = match self.routes.has_own(&(route.clone(), rank)) {
            true => (route.to_string(), rank.to_string()),
            false => (OTHER.to_string(), OTHER.to_string()),
        };
        let labels = [
            KeyValue::new("route", route),
            KeyValue::new("rank", rank),
            KeyValue::new("outcome", served.name()),
        ];
        self.by_route.add(1, &labels);
        if let Some(organisation) = organisation {
            let label = match self.organisations.has_own(organisation) {
                true => organisation.to_string(),
                false => OTHER.to_string(),
            };
            let labels = [
                KeyValue::new("organisation", label),
                KeyValue::new("outcome", served.name()),
            ];
            self.by_organisation.add(1, &labels);
        }
    }

    /// Records how long a request waited for this cause, if it did.
    pub fn record_wait(&self, rank: u8, cause: WaitCause, wait_ms: Millis) {
        if wait_ms == Millis::ZERO {
            return;
        }
        let labels = [
            KeyValue::new("rank", i64::from(rank)),
            KeyValue::new("cause", cause.name()),
        ];
        self.wait_ms.record(wait_ms.0 as f64, &labels);
    }
}

/// The values that have a label of their own: the first ones up to a bound.
struct BoundedLabels<T> {
    max: usize,
    known: RefCell<IndexSet<T>>,
}

impl<T: Clone + Eq + Hash> BoundedLabels<T> {
    fn new(max: usize) -> Self {
        Self {
            max,
            known: RefCell::default(),
        }
    }

    fn has_own(&self, value: &T) -> bool {
        let mut known = self.known.borrow_mut();
        if known.len() < self.max {
            known.insert(value.clone());
        }
        known.contains(value)
    }
}
