//! The last report of each host that reports to this one.

use crate::entry::platform::ModelRef;
use crate::ordering::demand::RequestCounts;
use crate::ordering::event_gaps::GapSample;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;

/// How long the counts of a host that stopped reporting are used. This is six times the interval of
/// the reports.
const HOST_TIMEOUT_MS: Millis = Millis(1_500);
/// The most hosts whose reports are kept. It exceeds the size of the largest planned site, of which
/// only a few hosts report to the same one.
const MAX_HOSTS: usize = 1_024;

/// One host's report of its callers' demand and its request load.
#[derive(Clone, Debug, Default)]
pub struct HostReport {
    /// How many other hosts report through this one, if it is a relay.
    pub relayed_hosts: u32,
    /// Requests since the host's last report, and those that wait or are running.
    pub demand: Vec<(ModelRef, RequestCounts)>,
    /// The host's own request load on each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
    /// The time between events of streams that ended since the host's last report.
    pub event_gaps: Vec<GapSample>,
}

/// The parts of a host's last report that are kept.
#[derive(Clone, Debug, Default)]
struct KeptReport {
    received_at: Millis,
    relayed_hosts: u32,
    /// Requests that wait or are running, by model and adapter.
    current: Vec<(ModelRef, RequestCounts)>,
    work: IndexMap<Name, UpstreamLoad>,
}

/// The last reports, by the incarnation of the host's process.
#[derive(Clone, Debug, Default)]
pub struct HostReports {
    hosts: IndexMap<u64, KeptReport>,
}

impl HostReports {
    /// Stores one host's report. Returns false, without storing it, if [`MAX_HOSTS`] other hosts
    /// report to this one.
    pub fn record(&mut self, now: Millis, host: u64, report: HostReport) -> bool {
        self.expire(now);
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&host) {
            return false;
        }
        let is_current = |count: &RequestCounts| count.waiting > 0 || count.running > 0;
        let demand = report.demand.into_iter();
        let kept = KeptReport {
            received_at: now,
            relayed_hosts: report.relayed_hosts,
            current: demand.filter(|(_, count)| is_current(count)).collect(),
            work: report.work.into_iter().collect(),
        };
        self.hosts.insert(host, kept);
        true
    }

    /// Returns how many hosts reported recently, including those that report through a relay.
    pub fn live_hosts(&self) -> usize {
        let relayed = self
            .hosts
            .values()
            .map(|report| report.relayed_hosts as usize);
        self.hosts.len() + relayed.sum::<usize>()
    }

    /// Drops the reports of hosts that stopped reporting.
    pub fn expire(&mut self, now: Millis) {
        self.hosts
            .retain(|_, report| now.since(report.received_at) < HOST_TIMEOUT_MS);
    }

    /// Returns the requests of all hosts that wait or are running.
    pub fn current(&self) -> impl Iterator<Item = &(ModelRef, RequestCounts)> {
        self.hosts.values().flat_map(|report| &report.current)
    }

    /// Adds the request load of all hosts to `sum`, except that of host `except`.
    pub fn add_work(&self, except: Option<u64>, sum: &mut IndexMap<Name, UpstreamLoad>) {
        let others = self.hosts.iter().filter(|(host, _)| Some(**host) != except);
        for (upstream, work) in others.flat_map(|(_, report)| &report.work) {
            *sum.entry(upstream.clone()).or_default() += *work;
        }
    }

    /// Returns the request load on an engine from all hosts.
    pub fn work_at(&self, engine: &str) -> UpstreamLoad {
        let mut sum = UpstreamLoad::default();
        let reports = self.hosts.values();
        for work in reports.filter_map(|report| report.work.get(engine)) {
            sum += *work;
        }
        sum
    }

    /// Returns how many requests of all hosts are running on an engine.
    pub fn running_at(&self, engine: &str) -> u32 {
        let reports = self.hosts.values();
        let at_engine = reports.filter_map(|report| report.work.get(engine));
        at_engine.map(|work| work.running).sum()
    }

    /// Returns how many hosts reported recently to this host directly.
    pub fn reporting_hosts(&self) -> usize {
        self.hosts.len()
    }
}
