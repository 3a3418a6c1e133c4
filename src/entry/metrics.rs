//! Counters and latency histograms of an entry host, in the Prometheus text format.

use crate::entry::budgeted_log;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, StoreCall, Table};
use crate::entry::served_metrics::ServedMetrics;
use crate::group::parents::ORDERER_STALE_MS;
use crate::logs::order_lines::answer_name;
use crate::ordering::message::OrderAnswer;
use crate::prelude::*;
use crate::rate_limit::line::sums::MAX_RANK;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::cell::Cell;

/// The upper bounds of the latency buckets, from a plain service's response time to the longest
/// time limit.
const LATENCY_BOUNDS_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0,
];

/// The metrics of one process.
pub struct EntryMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    sends: Counter<u64>,
    foreign_answers: Counter<u64>,
    repeats: Counter<u64>,
    repeat_share_hosts: Gauge<u64>,
    store_calls: Counter<u64>,
    outdated_tables: Counter<u64>,
    desired_behind_ms: Gauge<u64>,
    desired_fetches: Counter<u64>,
    held_causes: Gauge<u64>,
    refused_for_shared_cause: Counter<u64>,
    refused_in_vain: Counter<u64>,
    reservations: Counter<u64>,
    refused_again: Counter<u64>,
    limit_queue: Counter<u64>,
    limit_queue_requests: Gauge<u64>,
    limit_queue_tokens: Gauge<u64>,
    orders: Counter<u64>,
    without_orderer_ms: Gauge<u64>,
    /// When this host last knew a host that may order; none if it never did.
    last_orderer_at: Cell<Option<Millis>>,
    first_byte_ms: Histogram<f64>,
    whole_ms: Histogram<f64>,
    /// How requests were served, by route, rank and organisation.
    pub served: ServedMetrics,
}

/// What a host knows of the orderer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownOrderer {
    /// The host holds the lease itself.
    Own {
        /// Whether it may order now.
        may_order: bool,
    },
    /// Another host is the orderer, or none.
    Other {
        /// When the newest state of an orderer that this host has was sent; none if it has none.
        answered_at: Option<Millis>,
    },
}

/// Records for how long this host has known no host that may order. A host that does not hold the
/// lease knows one while the orderer answers it, directly or through a relay.
pub fn record_orderer<P: Platform>(host: &Host<P>, now: Millis) {
    let may_order = {
        let lease = &host.orders.borrow().lease;
        lease.holding().map(|_| lease.may_order(now))
    };
    let known = match may_order {
        Some(may_order) => KnownOrderer::Own { may_order },
        None => KnownOrderer::Other {
            answered_at: host.orderer_state.borrow().answered_at,
        },
    };
    host.metrics.record_orderer(now, host.age_ms(now), known);
}

impl EntryMetrics {
    /// Creates the metrics and their exporter.
    ///
    /// # Errors
    ///
    /// Returns why the exporter cannot be created.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangovale");
        let latency = |name| {
            let histogram = meter.f64_histogram(name);
            histogram
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter.u64_counter("mangovale_entry_requests").build(),
            sends: meter.u64_counter("mangovale_entry_sends").build(),
            foreign_answers: meter.u64_counter("mangovale_entry_foreign_answers").build(),
            repeats: meter.u64_counter("mangovale_entry_repeats").build(),
            repeat_share_hosts: meter
                .u64_gauge("mangovale_entry_repeat_share_hosts")
                .build(),
            store_calls: meter.u64_counter("mangovale_entry_store_calls").build(),
            outdated_tables: meter.u64_counter("mangovale_entry_outdated_tables").build(),
            desired_behind_ms: meter.u64_gauge("mangovale_entry_desired_behind_ms").build(),
            desired_fetches: meter.u64_counter("mangovale_entry_desired_fetches").build(),
            held_causes: meter.u64_gauge("mangovale_entry_held_causes").build(),
            refused_for_shared_cause: meter
                .u64_counter("mangovale_entry_refused_for_shared_cause")
                .build(),
            refused_in_vain: meter.u64_counter("mangovale_entry_refused_in_vain").build(),
            reservations: meter.u64_counter("mangovale_entry_reservations").build(),
            refused_again: meter.u64_counter("mangovale_entry_refused_again").build(),
            limit_queue: meter.u64_counter("mangovale_entry_limit_queue").build(),
            limit_queue_requests: meter
                .u64_gauge("mangovale_entry_limit_queue_requests")
                .build(),
            limit_queue_tokens: meter
                .u64_gauge("mangovale_entry_limit_queue_tokens")
                .build(),
            orders: meter.u64_counter("mangovale_entry_orders").build(),
            without_orderer_ms: meter
                .u64_gauge("mangovale_entry_without_orderer_ms")
                .build(),
            last_orderer_at: Cell::new(None),
            first_byte_ms: latency("mangovale_entry_first_byte_ms"),
            whole_ms: latency("mangovale_entry_whole_ms"),
            served: ServedMetrics::new(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that ended, and records the times from its arrival to the first byte and to
    /// the end of its answer.
    pub fn count_request(
        &self,
        outcome: &'static str,
        first_byte_ms: Option<Millis>,
        whole_ms: Millis,
    ) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        if let Some(first_byte_ms) = first_byte_ms {
            self.first_byte_ms.record(first_byte_ms.0 as f64, &[]);
        }
        self.whole_ms.record(whole_ms.0 as f64, &labels);
    }

    /// Counts one send of a request to an upstream.
    pub fn count_send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer that came in place of a request's own.
    pub fn count_foreign_answer(&self) {
        self.foreign_answers.add(1, &[]);
    }

    /// Counts a repeated send that the retry budget allowed or not. `hosts` is the number of hosts
    /// among which the budget's slack was divided; zero if this host had no share of it.
    pub fn count_repeat(&self, is_allowed: bool, hosts: usize) {
        let outcome = if is_allowed { "allowed" } else { "refused" };
        self.repeats.add(1, &[KeyValue::new("outcome", outcome)]);
        self.repeat_share_hosts.record(hosts as u64, &[]);
    }

    /// Counts one call to the platform's store.
    pub fn count_store_call(&self, call: StoreCall, outcome: &'static str) {
        let labels = [
            KeyValue::new("call", call.name()),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a copy of a table that is of an earlier era than the store.
    pub fn count_outdated(&self, table: Table) {
        self.outdated_tables
            .add(1, &[KeyValue::new("table", table.name())]);
    }

    /// Records for how long this host has known that another host has a newer desired state; zero if
    /// it knows of none.
    pub fn set_behind_ms(&self, known_ms: Millis) {
        self.desired_behind_ms.record(known_ms.0, &[]);
    }

    /// Counts a desired state that was fetched from another host because that host has a newer one.
    pub fn count_desired_fetch(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.desired_fetches.add(1, &labels);
    }

    /// Records how many causes that requests share are held back.
    pub fn set_held_causes(&self, count: usize) {
        self.held_causes.record(count as u64, &[]);
    }

    /// Counts a request that was refused for what it shares with others.
    pub fn count_refused_for_shared_cause(&self) {
        self.refused_for_shared_cause.add(1, &[]);
    }

    /// Counts requests that were refused for a cause on which upstreams have answered since.
    pub fn count_refused_in_vain(&self, requests: u64) {
        self.refused_in_vain.add(requests, &[]);
    }

    /// Counts reservations for callers that were told to retry, by what became of them.
    pub fn count_reservations(&self, outcome: &'static str, count: u64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.reservations.add(count, &labels);
    }

    /// Counts a request that was refused for a rate limit once more.
    pub fn count_refused_again(&self) {
        self.refused_again.add(1, &[]);
    }

    /// Counts a request under a rate limit that began, waited or was refused, by its rank.
    pub fn count_limit_queue(&self, rank: u8, outcome: &'static str) {
        let labels = [
            KeyValue::new("rank", i64::from(rank.min(MAX_RANK))),
            KeyValue::new("outcome", outcome),
        ];
        self.limit_queue.add(1, &labels);
    }

    /// Records how many requests wait for rate limits, and their cost.
    pub fn record_limit_queue(&self, requests: u64, tokens: u64) {
        self.limit_queue_requests.record(requests, &[]);
        self.limit_queue_tokens.record(tokens, &[]);
    }

    /// Counts an attempt to send an order to an engine, by the answer.
    pub fn count_order(&self, answer: OrderAnswer) {
        let labels = [KeyValue::new("answer", answer_name(answer))];
        self.orders.add(1, &labels);
    }

    /// Records for how long a host, whose process started `age_ms` ago, has known no host that may
    /// order: zero while it knows one, and the time since its start if it never did.
    pub fn record_orderer(&self, now: Millis, age_ms: Millis, known: KnownOrderer) {
        let (known_at, is_known) = match known {
            KnownOrderer::Own { may_order } => (may_order.then_some(now), may_order),
            KnownOrderer::Other { answered_at } => {
                let is_recent = |at| now.since(at) < ORDERER_STALE_MS;
                (answered_at, answered_at.is_some_and(is_recent))
            }
        };
        let last_at = self.last_orderer_at.get().max(known_at);
        self.last_orderer_at.set(last_at);
        let without_ms = match (is_known, last_at) {
            (true, _) => Millis::ZERO,
            (false, Some(last_at)) => now.since(last_at),
            (false, None) => age_ms,
        };
        self.without_orderer_ms.record(without_ms.0, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# the metrics cannot be written: {error}\n"));
        let dropped = budgeted_log::dropped();
        text.push_str("# TYPE mangovale_entry_log_lines_dropped_total counter\n");
        text.push_str(&format!(
            "mangovale_entry_log_lines_dropped_total {dropped}\n"
        ));
        text
    }
}
