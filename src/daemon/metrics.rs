//! The metrics of a process, in the Prometheus text format. `docs/OPERATORS.md` lists them.

use crate::attempt::message::{AttemptOutcome, TargetKind};
use crate::daemon::event::Event;
use crate::daemon::node::Node;
use crate::daemon::run::RunError;
use crate::placement::copies::CopyState;
use crate::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The interval at which the gauges are updated.
const SAMPLE_INTERVAL_MS: Millis = Millis(1_000);
/// The upper bounds of the histogram of the time to the first byte. They range from a ready model
/// to a long cold start.
const FIRST_BYTE_BOUNDS_MS: [f64; 14] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0, 20_000.0,
    40_000.0, 80_000.0,
];

/// The instruments of a process, and the registry from which `/metrics` is answered.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: Arc<SdkMeterProvider>,
    events: Counter<u64>,
    requests: Counter<u64>,
    request_bytes: Counter<u64>,
    attempts: Counter<u64>,
    first_byte_ms: Histogram<f64>,
    appends: Counter<u64>,
    append_failures: Counter<u64>,
    log_bytes: Counter<u64>,
    peer_calls: Counter<u64>,
    fresh: Gauge<u64>,
    log_age_ms: Gauge<u64>,
    held: Gauge<u64>,
    waiting: Gauge<u64>,
    copies: Gauge<u64>,
    hosts: Gauge<u64>,
    trace_bytes: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be created.
    pub fn new() -> Result<Self, RunError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| RunError::Metrics {
                why: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangovale");
        let counter = |name| meter.u64_counter(name).build();
        let gauge = |name| meter.u64_gauge(name).build();
        Ok(Self {
            registry,
            events: counter("mangovale_events"),
            requests: counter("mangovale_requests"),
            request_bytes: counter("mangovale_request_bytes"),
            attempts: counter("mangovale_attempts"),
            first_byte_ms: meter
                .f64_histogram("mangovale_first_byte_ms")
                .with_boundaries(FIRST_BYTE_BOUNDS_MS.to_vec())
                .build(),
            appends: counter("mangovale_log_appends"),
            append_failures: counter("mangovale_log_append_failures"),
            log_bytes: counter("mangovale_log_read_bytes"),
            peer_calls: counter("mangovale_peer_calls"),
            fresh: gauge("mangovale_fresh"),
            log_age_ms: gauge("mangovale_log_age_ms"),
            held: gauge("mangovale_requests_held"),
            waiting: gauge("mangovale_requests_waiting"),
            copies: gauge("mangovale_copies"),
            hosts: gauge("mangovale_hosts"),
            trace_bytes: gauge("mangovale_trace_bytes"),
            _provider: Arc::new(provider),
        })
    }

    /// Returns the current metrics in the Prometheus text format, or an empty text if they cannot
    /// be encoded.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Records the time from a request's arrival to the first byte of its answer.
    pub fn record_first_byte(&self, target: TargetKind, span_ms: Millis) {
        let target = match target {
            TargetKind::Model => "model",
            TargetKind::Service => "service",
        };
        let labels = [KeyValue::new("target", target)];
        self.first_byte_ms.record(span_ms.0 as f64, &labels);
    }

    /// Counts a request that was refused, by the kind of the refusal.
    pub fn count_refusal(&self, kind: ErrorKind) {
        self.count_request(kind.name());
    }

    /// Updates the counters for an event. Called before the event is handled.
    pub fn count_event(&self, event: &Event) {
        self.events.add(1, &[]);
        match event {
            Event::RequestArrived { head } => self.request_bytes.add(head.body_bytes, &[]),
            Event::AttemptEnded { outcome, .. } => self.count_attempt(outcome),
            Event::AppendFailed { .. } => self.append_failures.add(1, &[]),
            Event::PeerAnswered { .. } => self.count_peer_call("answered"),
            Event::PeerFailed { .. } => self.count_peer_call("failed"),
            Event::LogRead { page, .. } => {
                let bytes = page.records.iter().map(|record| record.payload.len());
                self.log_bytes.add(bytes.sum::<usize>() as u64, &[]);
            }
            _ => {}
        }
    }

    /// Updates the counters for an effect. Called before the effect is carried out.
    pub fn count_effect(&self, effect: &Effect) {
        match effect {
            Effect::Refuse { refusal, .. } => self.count_refusal(refusal.kind),
            Effect::GiveAnswer { .. } => self.count_request("answered"),
            Effect::Begin { .. } => self.attempts.add(1, &[]),
            Effect::AppendLog { .. } => self.appends.add(1, &[]),
            _ => {}
        }
    }

    fn count_attempt(&self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::OperationAnswered(_) => {
                self.count_request("answered")
            }
            AttemptOutcome::Broken(_) => self.count_refusal(ErrorKind::AnswerBroken),
            AttemptOutcome::CallerGone => self.count_request("caller_gone"),
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::Busy(_)
            | AttemptOutcome::Silent(_)
            | AttemptOutcome::Unknown(_) => {}
        }
    }

    fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    fn count_peer_call(&self, outcome: &'static str) {
        self.peer_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

/// Updates the gauges from the state at a fixed interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampler {
    next_at: Millis,
}

impl Sampler {
    /// Updates the gauges if the interval has passed. `trace_bytes` is the size of the trace.
    pub fn sample(&mut self, now: Millis, node: &Node, trace_bytes: usize, metrics: &Metrics) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + SAMPLE_INTERVAL_MS;
        let log_age_ms = node.freshness.log_age(now).map_or(u64::MAX, |age| age.0);
        metrics.fresh.record(node.is_fresh(now).into(), &[]);
        metrics.log_age_ms.record(log_age_ms, &[]);
        metrics.held.record(node.requests.len() as u64, &[]);
        metrics.trace_bytes.record(trace_bytes as u64, &[]);
        let hosts = node.shared.members.iter().count();
        metrics.hosts.record(hosts as u64, &[]);
        let targets = node.queues.targets();
        let waiting = targets.iter().map(|target| node.queues.waiting(target));
        metrics.waiting.record(waiting.sum::<usize>() as u64, &[]);
        sample_copies(node, metrics);
    }
}

fn sample_copies(node: &Node, metrics: &Metrics) {
    let (mut loading, mut ready, mut unloading, mut ended) = (0, 0, 0, 0);
    for copy in node.shared.placement.copies.values() {
        match copy.state {
            CopyState::Loading => loading += 1,
            CopyState::Ready => ready += 1,
            CopyState::Unloading => unloading += 1,
            CopyState::Ended => ended += 1,
        }
    }
    for (state, count) in [
        ("loading", loading),
        ("ready", ready),
        ("unloading", unloading),
        ("ended", ended),
    ] {
        let labels = [KeyValue::new("state", state)];
        metrics.copies.record(count, &labels);
    }
}
