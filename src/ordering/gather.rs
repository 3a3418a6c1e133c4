//! What a relay tells the orderer of the hosts that speak through it.

use crate::entry::platform::ModelAsk;
use crate::ordering::demand::{AskCount, MAX_ASKS};
use crate::ordering::host_reports::{HostReport, HostReports};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;

/// The demand and the work of the hosts of one relay.
#[derive(Clone, Debug, Default)]
pub struct Gather {
    /// What was asked since the orderer was told last.
    asked: IndexMap<ModelAsk, AskCount>,
    hosts: HostReports,
}

impl Gather {
    /// Takes one host's message.
    pub fn take(&mut self, now: Millis, host: u64, report: HostReport) {
        for (ask, count) in &report.demand {
            if self.asked.len() < MAX_ASKS || self.asked.contains_key(ask) {
                let sum = self.asked.entry(ask.clone()).or_default();
                sum.add_asked(count);
            }
        }
        self.hosts.take(now, host, report);
    }

    /// Returns the demand of the hosts together with the relay's own, and begins to count the next span.
    pub fn take_demand(
        &mut self,
        now: Millis,
        own: Vec<(ModelAsk, AskCount)>,
    ) -> Vec<(ModelAsk, AskCount)> {
        self.hosts.expire(now);
        let mut sum = std::mem::take(&mut self.asked);
        for (ask, count) in own {
            let entry = sum.entry(ask).or_default();
            entry.add_asked(&count);
            entry.add_present(&count);
        }
        for (ask, count) in self.hosts.present() {
            sum.entry(ask.clone()).or_default().add_present(count);
        }
        sum.into_iter().collect()
    }

    /// Returns how many hosts speak through this one.
    pub fn heard(&self) -> usize {
        self.hosts.heard()
    }

    /// Adds the work of all hosts but one.
    pub fn add_work(&self, but: Option<u64>, sum: &mut IndexMap<Name, UpstreamLoad>) {
        self.hosts.add_work(but, sum);
    }
}
