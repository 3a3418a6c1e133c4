//! The last message of each host that speaks with this one.

use crate::entry::platform::ModelAsk;
use crate::ordering::demand::AskCount;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;

/// How long a silent host's counts are used: six of the intervals at which hosts speak.
const HOST_MS: Millis = Millis(1_500);
/// Most hosts: above the largest site planned for, of which few speak with one host.
const MAX_HOSTS: usize = 1_024;

/// What one host tells of its callers and its work.
#[derive(Clone, Debug, Default)]
pub struct HostReport {
    /// How many other hosts speak through it.
    pub through: u32,
    /// What its callers asked since its last message, and what waits or runs.
    pub demand: Vec<(ModelAsk, AskCount)>,
    /// Its own work at each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
}

/// What is kept of a host's message.
#[derive(Clone, Debug, Default)]
struct Kept {
    at: Millis,
    through: u32,
    /// Requests that wait or run, by what they ask for.
    present: Vec<(ModelAsk, AskCount)>,
    work: IndexMap<Name, UpstreamLoad>,
}

/// The last messages by the incarnation of the host.
#[derive(Clone, Debug, Default)]
pub struct HostReports {
    hosts: IndexMap<u64, Kept>,
}

impl HostReports {
    /// Takes one host's message. Returns false when too many hosts speak with this one.
    pub fn take(&mut self, now: Millis, host: u64, report: HostReport) -> bool {
        self.expire(now);
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&host) {
            return false;
        }
        let is_present = |count: &AskCount| count.waiting > 0 || count.running > 0;
        let demand = report.demand.into_iter();
        let kept = Kept {
            at: now,
            through: report.through,
            present: demand.filter(|(_, count)| is_present(count)).collect(),
            work: report.work.into_iter().collect(),
        };
        self.hosts.insert(host, kept);
        true
    }

    /// Returns how many hosts were heard of late, those that speak through others included.
    pub fn heard(&self) -> usize {
        let through = self.hosts.values().map(|report| report.through as usize);
        self.hosts.len() + through.sum::<usize>()
    }

    /// Forgets hosts that fell silent.
    pub fn expire(&mut self, now: Millis) {
        self.hosts
            .retain(|_, report| now.since(report.at) < HOST_MS);
    }

    /// Returns the requests of all hosts that wait or run.
    pub fn present(&self) -> impl Iterator<Item = &(ModelAsk, AskCount)> {
        self.hosts.values().flat_map(|report| &report.present)
    }

    /// Adds the work of all hosts but one.
    pub fn add_work(&self, but: Option<u64>, sum: &mut IndexMap<Name, UpstreamLoad>) {
        let others = self.hosts.iter().filter(|(host, _)| Some(**host) != but);
        for (upstream, work) in others.flat_map(|(_, report)| &report.work) {
            *sum.entry(upstream.clone()).or_default() += *work;
        }
    }

    /// Returns how many requests of all hosts run at an engine.
    pub fn running_at(&self, engine: &str) -> u32 {
        let reports = self.hosts.values();
        let at_engine = reports.filter_map(|report| report.work.get(engine));
        at_engine.map(|work| work.running).sum()
    }

    /// Returns how many hosts spoke with this one of late.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }
}
