//! Model of a site: hosts with limiters exchange use and levels through relays with the orderer,
//! connections are cut, processes are killed, and callers send requests.

use crate::desired::{LimitUnit, RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::UpstreamLimits;
use crate::rate_limit::limiter::{Coverage, Limiter, Scope};
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Number of relays in a large site; the first hosts are relays.
const RELAYS: usize = 8;
/// Length of a simulated step.
const STEP_MS: Millis = Millis(25);
/// Interval of a host's exchanges with its parent.
const SYNC_INTERVAL_MS: u64 = 250;
/// How long after its last message a host counts as present.
const PRESENCE_MS: Millis = Millis(1_500);
/// The window over which use is bounded, and the factor and amount by which use may exceed the
/// limit in it.
const WINDOW_MS: Millis = Millis(8_000);
const EXCESS_FACTOR: f64 = 1.1;
pub const TOLERANCE: f64 = 72_000.0;

/// The window for limits that upstreams state.
const UPSTREAM_WINDOW_MS: Millis = Millis(4_000);

pub const START: Millis = Millis(10_000_000);

struct ModelHost {
    limiter: Limiter,
    relay: usize,
    /// For each child, when it last sent a message and how many hosts report through it.
    reports: IndexMap<usize, (Millis, usize)>,
    /// Partition of the network; hosts in different partitions cannot reach each other.
    partition_id: u32,
    phase_ms: u64,
    /// Whether the host has use to report at once.
    is_urgent: bool,
}

/// A site with requests that count against one limit.
pub struct Model {
    pub now: Millis,
    pub orderer: Option<usize>,
    pub admitted: f64,
    pub requests: u32,
    pub refused: u32,
    /// Requests that cost more than the mean, and how many of them were admitted.
    pub large_requests: u32,
    pub large_admitted: u32,
    hosts: Vec<ModelHost>,
    limit: RateLimit,
    table: RateLimitTable,
    uses: VecDeque<(Millis, f64)>,
    used_in_window: f64,
    /// The highest use in any window.
    max_used: f64,
    random: fastrand::Rng,
    next_at_ms: f64,
    relays: usize,
    tolerance: f64,
    costs: RangeInclusive<u64>,
    window_ms: Millis,
    bound: f64,
}

fn name() -> Name {
    "o".into()
}

impl Model {
    /// Creates a site of 68 hosts, eight of them relays, that has run for some time, with an
    /// organisation whose requests have 1,000 to 18,000 tokens.
    pub fn new(per_s: f64, seed: u64) -> Self {
        let limit = RateLimit {
            unit: LimitUnit::Tokens { uncounted: 200 },
            per_s,
            burst: per_s,
        };
        let window_s = WINDOW_MS.0 as f64 / 1_000.0;
        let mut model = Self::with(68, RELAYS, limit, TOLERANCE, seed);
        model.costs = 1_000..=18_000;
        model.window_ms = WINDOW_MS;
        model.bound = (per_s * window_s + limit.burst) * EXCESS_FACTOR + TOLERANCE;
        model.run(12_000, 0.0);
        model
    }

    /// Creates a site with an upstream that states a limit of `per_s` requests per second.
    pub fn of_upstream(hosts: usize, per_s: f64, seed: u64) -> Self {
        let mut limits = UpstreamLimits::new(START);
        limits.note_answer(START, &name(), Some(per_s));
        let limit = limits.limit(&name()).expect("the upstream stated a limit");
        let relays = if hosts > 24 { RELAYS } else { 0 };
        let mut model = Self::with(hosts, relays, limit, 0.0, seed);
        model.bound = per_s * 1.5 * UPSTREAM_WINDOW_MS.0 as f64 / 1_000.0 + 5.0;
        model.run(12_000, 0.0);
        model
    }

    fn with(hosts: usize, relays: usize, limit: RateLimit, tolerance: f64, seed: u64) -> Self {
        let table = [(name(), limit)].into_iter().collect();
        let host = |n: usize| ModelHost {
            limiter: Limiter::new(START, tolerance),
            relay: n % relays.max(1),
            reports: IndexMap::new(),
            partition_id: 0,
            phase_ms: (n as u64 * 37) % SYNC_INTERVAL_MS,
            is_urgent: false,
        };
        Self {
            now: START,
            orderer: Some(hosts - 8),
            admitted: 0.0,
            requests: 0,
            refused: 0,
            large_requests: 0,
            large_admitted: 0,
            hosts: (0..hosts).map(host).collect(),
            limit,
            table,
            uses: VecDeque::new(),
            used_in_window: 0.0,
            max_used: 0.0,
            random: fastrand::Rng::with_seed(seed),
            next_at_ms: 0.0,
            relays,
            tolerance,
            costs: 1..=1,
            window_ms: UPSTREAM_WINDOW_MS,
            bound: 0.0,
        }
    }

    /// Checks that use in no window exceeded the bound.
    pub fn check(&self, case: &str) {
        let (most, bound) = (self.max_used, self.bound);
        assert!(most <= bound, "{case}: used {most}, allowed {bound}");
    }

    /// Returns the limit per second.
    pub fn limit_per_s(&self) -> f64 {
        self.limit.per_s
    }

    /// Disconnects each host whose number is a multiple of `each` from all others.
    pub fn disconnect(&mut self, each: usize) {
        for (n, host) in self.hosts.iter_mut().enumerate() {
            host.partition_id = if n % each == 0 { n as u32 + 1 } else { 0 };
        }
    }

    /// Splits the site into two partitions: the hosts whose number is a multiple of `each`, and the
    /// rest.
    pub fn split(&mut self, each: usize) {
        for (n, host) in self.hosts.iter_mut().enumerate() {
            host.partition_id = u32::from(n % each == 0);
        }
    }

    /// Restores all connections between hosts.
    pub fn reconnect(&mut self) {
        for host in &mut self.hosts {
            host.partition_id = 0;
        }
    }

    /// Restarts every process; there is no orderer until [`Self::orderer`] is set.
    pub fn kill_all(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            host.limiter = Limiter::new(now, self.tolerance);
            host.reports.clear();
        }
        self.orderer = None;
    }

    /// Simulates `ms` milliseconds in which callers request `times` times the limit.
    pub fn run(&mut self, ms: u64, times: f64) {
        let until = self.now + Millis(ms);
        self.next_at_ms = self.now.0 as f64;
        while self.now < until {
            self.sync();
            self.send_requests(times);
            self.now += STEP_MS;
        }
    }

    fn sync(&mut self) {
        let due = |model: &Self, n: usize| {
            let host = &model.hosts[n];
            host.is_urgent || (model.now.0 + host.phase_ms) % SYNC_INTERVAL_MS < STEP_MS.0
        };
        // Children go before relays, so that urgent use reaches the orderer within one step.
        for n in (0..self.hosts.len()).rev() {
            if !due(self, n) {
                continue;
            }
            let Some(peer) = self.parent(n) else { continue };
            self.hosts[peer].is_urgent |= self.hosts[n].is_urgent;
            self.hosts[n].is_urgent = false;
            self.exchange(n, peer);
        }
    }

    fn exchange(&mut self, child: usize, parent: usize) {
        let now = self.now;
        self.update_coverage(child);
        self.update_coverage(parent);
        let through = self.reporting_hosts(child) - 1;
        let usage = self.hosts[child].limiter.report(now);
        let table = &self.table;
        let host = &mut self.hosts[parent];
        host.reports.insert(child, (now, through));
        host.limiter.record_usage(now, &usage, table);
        let update = host.limiter.build_update(now, table);
        let host = &mut self.hosts[child];
        host.limiter.confirm_report();
        host.limiter.apply_update(now, update);
    }

    fn reporting_hosts(&self, n: usize) -> usize {
        let reports = self.hosts[n].reports.values();
        let recent = reports.filter(|(at, _)| self.now.since(*at) < PRESENCE_MS);
        1 + recent.map(|(_, through)| 1 + through).sum::<usize>()
    }

    fn update_coverage(&mut self, n: usize) {
        let scope = match self.orderer == Some(n) {
            true => Scope::Site,
            false => Scope::Group,
        };
        let coverage = Coverage {
            scope,
            reporting_hosts: self.reporting_hosts(n),
            expected: match scope {
                Scope::Site => self.hosts.len(),
                Scope::Group if n < self.relays => self.hosts.len() / self.relays,
                Scope::Group => 1,
            },
            members: Some(self.hosts.len()),
        };
        self.hosts[n]
            .limiter
            .set_coverage(self.now, coverage, &self.table);
    }

    /// Sends requests of callers to random hosts.
    fn send_requests(&mut self, times: f64) {
        if times <= 0.0 {
            return;
        }
        let step_end_ms = (self.now + STEP_MS).0 as f64;
        while self.next_at_ms < step_end_ms {
            let cost = self.random.u64(self.costs.clone());
            let mean_cost = (self.costs.start() + self.costs.end()) / 2;
            let per_ms = self.limit.per_s * times / mean_cost as f64 / 1_000.0;
            self.next_at_ms += -self.random.f64().max(1e-9).ln() / per_ms;
            let host = self.random.usize(0..self.hosts.len());
            self.update_coverage(host);
            self.wait_for_newer_levels(host);
            let random_unit = self.random.f64();
            let is_large = cost > mean_cost;
            self.requests += 1;
            self.large_requests += u32::from(is_large);
            let limiter = &mut self.hosts[host].limiter;
            let admitted = limiter.admit(self.now, &name(), &self.limit, cost, random_unit);
            let is_scarce = limiter.is_scarce(self.now, &name(), &self.limit);
            self.hosts[host].is_urgent |= is_scarce;
            if admitted.is_err() {
                self.refused += 1;
                continue;
            }
            self.large_admitted += u32::from(is_large);
            self.note_use(cost as f64);
        }
    }

    /// Exchanges messages first between the relay and the orderer, then between the host and the
    /// relay, if the host's request waits for newer levels.
    fn wait_for_newer_levels(&mut self, n: usize) {
        let wants = self.hosts[n]
            .limiter
            .wants_newer_levels(self.now, &name(), &self.limit);
        let Some(relay) = self.parent(n).filter(|_| wants) else {
            return;
        };
        if let Some(orderer) = self.parent(relay) {
            self.exchange(relay, orderer);
        }
        self.exchange(n, relay);
    }

    /// Returns the parent of a host: its relay, the next relay if that is unreachable, else the
    /// orderer. The parent of a relay is the orderer or, if that is unreachable, the first
    /// reachable relay.
    fn parent(&self, n: usize) -> Option<usize> {
        let can_reach =
            |parent: &usize| self.hosts[n].partition_id == self.hosts[*parent].partition_id;
        if self.orderer == Some(n) {
            return None;
        }
        let orderer = self.orderer.filter(can_reach);
        if self.relays == 0 {
            return orderer;
        }
        if n < self.relays {
            let first = (0..self.relays).find(can_reach).filter(|first| *first != n);
            return orderer.or(first);
        }
        let relay = self.hosts[n].relay;
        let relays = [relay, (relay + 1) % self.relays];
        relays.into_iter().find(can_reach).or(orderer)
    }

    fn note_use(&mut self, cost: f64) {
        self.admitted += cost;
        self.uses.push_back((self.now, cost));
        self.used_in_window += cost;
        while let Some((at, cost)) = self.uses.front().copied()
            && self.now.since(at) > self.window_ms
        {
            self.uses.pop_front();
            self.used_in_window -= cost;
        }
        self.max_used = self.max_used.max(self.used_in_window);
    }
}
