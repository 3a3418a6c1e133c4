//! Aggregates, on a relay, the reports of the hosts that it relays for.

use crate::entry::platform::ModelRef;
use crate::ordering::demand::{MAX_COUNTED_MODELS, RequestCounts};
use crate::ordering::event_gaps::{GapSample, GapSamples, MAX_RELAY_SAMPLES};
use crate::ordering::host_reports::{HostReport, HostReports};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;

/// The demand and the request load of the hosts that report through one relay.
#[derive(Clone, Debug, Default)]
pub struct RelayAggregate {
    /// Requests since the relay's last message to the orderer.
    counts: IndexMap<ModelRef, RequestCounts>,
    /// The time between events of streams that ended since then.
    event_gaps: GapSamples,
    hosts: HostReports,
}

impl RelayAggregate {
    /// Adds one host's report. `host` is the incarnation of its process.
    pub fn record(&mut self, now: Millis, host: u64, mut report: HostReport) {
        let event_gaps = std::mem::take(&mut report.event_gaps);
        self.event_gaps.add(event_gaps, MAX_RELAY_SAMPLES);
        for (model_ref, count) in &report.demand {
            if self.counts.len() < MAX_COUNTED_MODELS || self.counts.contains_key(model_ref) {
                let sum = self.counts.entry(model_ref.clone()).or_default();
                sum.add_arrivals(count);
            }
        }
        self.hosts.record(now, host, report);
    }

    /// Returns the demand of the hosts together with the relay's own, and starts the next interval.
    pub fn take_demand(
        &mut self,
        now: Millis,
        own: Vec<(ModelRef, RequestCounts)>,
    ) -> Vec<(ModelRef, RequestCounts)> {
        self.hosts.expire(now);
        let mut sum = std::mem::take(&mut self.counts);
        for (model_ref, count) in own {
            let entry = sum.entry(model_ref).or_default();
            entry.add_arrivals(&count);
            entry.add_current(&count);
        }
        for (model_ref, count) in self.hosts.current() {
            sum.entry(model_ref.clone()).or_default().add_current(count);
        }
        sum.into_iter().collect()
    }

    /// Returns the samples of the hosts together with the relay's own, and starts the next interval.
    pub fn take_event_gaps(&mut self, own: Vec<GapSample>) -> Vec<GapSample> {
        self.event_gaps.add(own, MAX_RELAY_SAMPLES);
        self.event_gaps.take()
    }

    /// Returns how many hosts reported recently through this relay.
    pub fn relayed_hosts(&self) -> usize {
        self.hosts.live_hosts()
    }

    /// Adds the request load of all hosts to `sum`, except that of host `except`.
    pub fn add_work(&self, except: Option<u64>, sum: &mut IndexMap<Name, UpstreamLoad>) {
        self.hosts.add_work(except, sum);
    }
}
