//! Sums of waiting and recently used tokens by organisation and rank, as hosts send them to each
//! other.
//!
//! Load that it addresses: an organisation whose requests wait at dozens of hosts. A host that knew
//! only its own queue would release requests ahead of more urgent ones that wait elsewhere.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The least urgent rank that is told apart; less urgent ones count as this one.
pub const MAX_RANK: u8 = 15;
/// Most pairs of organisation and rank in a message.
pub const MAX_SUMS: usize = 64;
/// Most organisations in a table of sums.
pub const MAX_ORGANISATIONS: usize = 1_024;
/// How long a report of a host counts: six times the interval of reports.
const REPORT_TTL_MS: Millis = Millis(1_500);
/// Most hosts whose reports are kept.
const MAX_HOSTS: usize = 1_024;

/// Sums of one rank of an organisation, in the unit of the organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankSum {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Cost of the requests that wait.
    pub waiting_tokens: u64,
    /// Cost of the requests that began in the last second.
    pub used_tokens: u64,
}

/// Sums of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineReport {
    /// The name of the organisation.
    pub organisation: Name,
    /// The sums of its ranks.
    pub ranks: Vec<RankSum>,
}

/// Sums over all hosts that a parent covers, for a host that reports to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinesUpdate {
    /// Age of the oldest part of the sums.
    pub age_ms: Millis,
    /// The sums, including those of the receiver's last report.
    pub sums: Vec<LineReport>,
}

/// Sums of one organisation by rank.
#[derive(Clone, Debug, Default)]
pub struct ByRank(BTreeMap<u8, RankSum>);

impl ByRank {
    /// Adds the sums of one rank.
    pub fn add(&mut self, added: RankSum) {
        let rank = added.rank.min(MAX_RANK);
        let sum = self.0.entry(rank).or_default();
        sum.rank = rank;
        sum.waiting_tokens = sum.waiting_tokens.saturating_add(added.waiting_tokens);
        sum.used_tokens = sum.used_tokens.saturating_add(added.used_tokens);
    }

    fn subtract(&mut self, removed: &RankSum) {
        if let Some(sum) = self.0.get_mut(&removed.rank) {
            sum.waiting_tokens = sum.waiting_tokens.saturating_sub(removed.waiting_tokens);
            sum.used_tokens = sum.used_tokens.saturating_sub(removed.used_tokens);
        }
    }

    /// Returns the sums of all ranks that have any.
    pub fn iter(&self) -> impl Iterator<Item = &RankSum> {
        self.0.values()
    }

    /// Returns the tokens that wait at one rank.
    pub fn waiting_at(&self, rank: u8) -> f64 {
        self.0
            .get(&rank)
            .map_or(0.0, |sum| sum.waiting_tokens as f64)
    }

    /// Returns the tokens that wait at ranks more urgent than `rank`.
    pub fn waiting_before(&self, rank: u8) -> f64 {
        let before = self.0.range(..rank);
        before.map(|(_, sum)| sum.waiting_tokens as f64).sum()
    }

    /// Returns the tokens that one rank used in the last second.
    pub fn used_at(&self, rank: u8) -> f64 {
        self.0.get(&rank).map_or(0.0, |sum| sum.used_tokens as f64)
    }

    /// Returns the tokens that ranks more urgent than `rank` used in the last second.
    pub fn used_before(&self, rank: u8) -> f64 {
        let before = self.0.range(..rank);
        before.map(|(_, sum)| sum.used_tokens as f64).sum()
    }
}

/// Sums of several organisations.
#[derive(Clone, Debug, Default)]
pub struct Sums(IndexMap<Name, ByRank>);

impl Sums {
    /// Adds the sums of one rank of an organisation.
    pub fn add(&mut self, organisation: &Name, sum: RankSum) {
        if self.0.len() < MAX_ORGANISATIONS || self.0.contains_key(organisation) {
            self.0.entry(organisation.clone()).or_default().add(sum);
        }
    }

    /// Adds the sums of a message, as many as one may have.
    pub fn add_reports(&mut self, reports: &[LineReport]) {
        let all = reports
            .iter()
            .flat_map(|report| report.ranks.iter().map(|sum| (&report.organisation, *sum)));
        for (organisation, sum) in all.take(MAX_SUMS) {
            self.add(organisation, sum);
        }
    }

    /// Subtracts the sums of a message; none falls below zero.
    pub fn subtract(&mut self, reports: &[LineReport]) {
        for report in reports {
            if let Some(by_rank) = self.0.get_mut(&report.organisation) {
                report.ranks.iter().for_each(|sum| by_rank.subtract(sum));
            }
        }
    }

    /// Returns the sums of one organisation.
    pub fn of(&self, organisation: &str) -> Option<&ByRank> {
        self.0.get(organisation)
    }

    /// Returns the sums as a message: at most [`MAX_SUMS`], those with the most waiting tokens
    /// first, then those with the most use.
    pub fn to_reports(&self) -> Vec<LineReport> {
        let mut all: Vec<(&Name, &RankSum)> = self
            .0
            .iter()
            .flat_map(|(organisation, by_rank)| by_rank.iter().map(move |sum| (organisation, sum)))
            .filter(|(_, sum)| sum.waiting_tokens > 0 || sum.used_tokens > 0)
            .collect();
        all.sort_by_key(|(_, sum)| std::cmp::Reverse((sum.waiting_tokens, sum.used_tokens)));
        all.truncate(MAX_SUMS);
        let mut reports: IndexMap<&Name, Vec<RankSum>> = IndexMap::new();
        for (organisation, sum) in all {
            reports.entry(organisation).or_default().push(*sum);
        }
        let report = |(organisation, ranks): (&Name, Vec<RankSum>)| LineReport {
            organisation: organisation.clone(),
            ranks,
        };
        reports.into_iter().map(report).collect()
    }
}

/// The last sums of each host that reports to this one.
#[derive(Clone, Debug, Default)]
pub struct ChildSums {
    hosts: IndexMap<u64, (Millis, Vec<LineReport>)>,
}

impl ChildSums {
    /// Stores the sums of one host, by the incarnation of its process.
    pub fn record(&mut self, now: Millis, host: u64, mut sums: Vec<LineReport>) {
        self.hosts.retain(|_, (at, _)| is_fresh(now, *at));
        truncate(&mut sums);
        if sums.is_empty() {
            self.hosts.swap_remove(&host);
        } else if self.hosts.len() < MAX_HOSTS || self.hosts.contains_key(&host) {
            self.hosts.insert(host, (now, sums));
        }
    }

    /// Adds the sums of all hosts that reported recently.
    pub fn add_to(&self, now: Millis, total: &mut Sums) {
        for (_, sums) in self.hosts.values().filter(|(at, _)| is_fresh(now, *at)) {
            total.add_reports(sums);
        }
    }

    /// Adds the sums of one organisation at all hosts that reported recently.
    pub fn add_of(&self, now: Millis, organisation: &str, total: &mut ByRank) {
        for (_, sums) in self.hosts.values().filter(|(at, _)| is_fresh(now, *at)) {
            let own = sums
                .iter()
                .filter(|report| &*report.organisation == organisation);
            own.flat_map(|report| &report.ranks)
                .for_each(|sum| total.add(*sum));
        }
    }
}

/// Cuts a message to as many sums as one may have.
fn truncate(reports: &mut Vec<LineReport>) {
    let mut left = MAX_SUMS;
    for report in reports.iter_mut() {
        report.ranks.truncate(left);
        report.ranks.shrink_to_fit();
        left -= report.ranks.len();
    }
    reports.retain(|report| !report.ranks.is_empty());
}

fn is_fresh(now: Millis, at: Millis) -> bool {
    now.since(at) < REPORT_TTL_MS
}
