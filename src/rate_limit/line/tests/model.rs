//! Model of a site: hosts with limiters and queues exchange the real messages through relays with
//! the orderer, while callers of one organisation send requests of three ranks to random hosts.

use super::kinds::{KINDS, Tally};
use crate::desired::{LimitUnit, RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::limiter::{Coverage, Limiter, Scope};
use crate::rate_limit::line::{Entered, Lines, Outcome, Turn, WaitingRequest};
use std::collections::VecDeque;

pub const START: Millis = Millis(10_000_000);
const STEP_MS: Millis = Millis(25);
const PRESENCE_MS: Millis = Millis(1_500);
const WINDOW_MS: Millis = Millis(8_000);
const EXCESS_FACTOR: f64 = 1.1;
const TOLERANCE: f64 = 72_000.0;

/// Whether requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// First come, first served.
    Admit,
    /// Requests wait in queues.
    Queue,
}

struct ModelHost {
    limiter: Limiter,
    lines: Lines,
    /// The ids, ranks and requests that wait here.
    waiting: Vec<(u64, usize, WaitingRequest)>,
    reports: IndexMap<usize, (Millis, usize)>,
    incarnation: u64,
    is_urgent: bool,
}

pub struct Model {
    pub now: Millis,
    pub orderer: Option<usize>,
    pub tallies: [Tally; 3],
    pub used: f64,
    /// The most tokens that waiting requests began with in one step.
    pub most_released: f64,
    pub most_in_window: f64,
    /// The part of each rank in the tokens asked for.
    pub weights: [f64; 3],
    rule: Rule,
    hosts: Vec<ModelHost>,
    relays: usize,
    interval_ms: u64,
    limit: RateLimit,
    table: RateLimitTable,
    uses: VecDeque<(Millis, f64)>,
    random: fastrand::Rng,
    incarnations: u64,
}

fn name() -> Name {
    "o".into()
}

impl Model {
    /// Creates a site that has run for some time without requests.
    pub fn new(hosts: usize, per_s: f64, rule: Rule, seed: u64) -> Self {
        let limit = RateLimit {
            unit: LimitUnit::Tokens { uncounted: 200 },
            per_s,
            burst: per_s,
        };
        let mut model = Self {
            now: START,
            orderer: Some(hosts - 1),
            tallies: [Tally::default(); 3],
            used: 0.0,
            most_released: 0.0,
            most_in_window: 0.0,
            weights: [0.04, 0.48, 0.48],
            rule,
            hosts: Vec::new(),
            relays: match hosts {
                0..=24 => 0,
                25..=200 => 8,
                _ => 32,
            },
            interval_ms: if hosts > 200 { 500 } else { 250 },
            limit,
            table: [(name(), limit)].into_iter().collect(),
            uses: VecDeque::new(),
            random: fastrand::Rng::with_seed(seed),
            incarnations: 0,
        };
        model.hosts = (0..hosts).map(|_| model.new_host()).collect();
        model.run(12_000, 0.0);
        model
    }

    fn new_host(&mut self) -> ModelHost {
        self.incarnations += 1;
        ModelHost {
            limiter: Limiter::new(self.now, TOLERANCE),
            lines: Lines::default(),
            waiting: Vec::new(),
            reports: IndexMap::new(),
            incarnation: self.incarnations,
            is_urgent: false,
        }
    }

    /// Restarts every process; there is no orderer until [`Self::orderer`] is set.
    pub fn kill_all(&mut self) {
        for n in 0..self.hosts.len() {
            self.kill(n);
        }
        self.orderer = None;
    }

    /// Restarts one process; its callers see a closed connection.
    pub fn kill(&mut self, n: usize) {
        self.hosts[n] = self.new_host();
    }

    /// Simulates `ms` milliseconds in which callers ask for `times` times the limit.
    pub fn run(&mut self, ms: u64, times: f64) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.sync();
            self.arrive(times);
            self.step_queues();
            self.now += STEP_MS;
        }
    }

    /// Checks that the use in no window exceeded what is tolerated.
    pub fn check(&self, case: &str) {
        let window_s = WINDOW_MS.0 as f64 / 1_000.0;
        let allowed = self.limit.per_s * window_s + self.limit.burst;
        let bound = allowed * EXCESS_FACTOR + TOLERANCE;
        let most = self.most_in_window;
        assert!(most <= bound, "{case}: used {most}, allowed {bound}");
    }

    /// Forgets what was counted so far, except for the use in the present window.
    pub fn reset_counts(&mut self) {
        self.tallies = [Tally::default(); 3];
        self.used = 0.0;
    }

    fn arrive(&mut self, times: f64) {
        for (rank, kind) in KINDS.iter().enumerate() {
            let per_step = self.limit.per_s * times * self.weights[rank] / kind.cost as f64
                * (STEP_MS.0 as f64 / 1_000.0);
            let mut count = per_step as u32;
            if self.random.f64() < per_step.fract() {
                count += 1;
            }
            for _ in 0..count {
                let host = self.random.usize(0..self.hosts.len());
                self.ask(host, rank);
            }
        }
    }

    fn ask(&mut self, n: usize, rank: usize) {
        self.update_coverage(n);
        self.wait_for_newer_levels(n);
        let kind = &KINDS[rank];
        let request = WaitingRequest {
            rank: rank as u8,
            arrived_at: self.now,
            on_time_until: self.now + Millis(kind.on_time_ms),
            leave_by: self.now + Millis(kind.leave_ms),
            cost: kind.cost,
            is_promoted: false,
        };
        self.tallies[rank].asked += 1;
        let organisation = name();
        let turn = Turn {
            now: self.now,
            name: &organisation,
            limit: &self.limit,
            random_unit: self.random.f64(),
        };
        let ModelHost {
            limiter,
            lines,
            waiting,
            ..
        } = &mut self.hosts[n];
        let outcome = match self.rule {
            Rule::Admit => {
                let point = turn.random_unit;
                match limiter.admit(self.now, &organisation, &self.limit, kind.cost, point) {
                    Ok(()) => Outcome::Began,
                    Err(refused) => Outcome::Refused(refused),
                }
            }
            Rule::Queue => match lines.try_begin(&turn, limiter, &request) {
                Ok(()) => Outcome::Began,
                Err(drawn) => match lines.enter(&turn, limiter, &request, drawn) {
                    Entered::Decided(outcome) => outcome,
                    Entered::Waits(id) => {
                        waiting.push((id, rank, request));
                        self.hosts[n].is_urgent = true;
                        return;
                    }
                },
            },
        };
        let is_scarce = limiter.is_scarce(self.now, &organisation, &self.limit);
        self.hosts[n].is_urgent |= is_scarce;
        self.note(rank, &request, outcome);
    }

    fn note(&mut self, rank: usize, request: &WaitingRequest, outcome: Outcome) {
        let tally = &mut self.tallies[rank];
        match outcome {
            Outcome::Refused(_) => tally.refused += 1,
            Outcome::Began => {
                if self.now <= request.on_time_until {
                    tally.in_time += 1;
                } else {
                    tally.late += 1;
                }
                self.note_use(request.cost as f64);
            }
        }
    }

    fn note_use(&mut self, cost: f64) {
        self.used += cost;
        self.uses.push_back((self.now, cost));
        while let Some((at, _)) = self.uses.front()
            && self.now.since(*at) > WINDOW_MS
        {
            self.uses.pop_front();
        }
        let in_window: f64 = self.uses.iter().map(|(_, cost)| cost).sum();
        self.most_in_window = self.most_in_window.max(in_window);
    }

    fn step_queues(&mut self) {
        let organisation = name();
        let mut released = 0.0;
        for n in 0..self.hosts.len() {
            if self.hosts[n].waiting.is_empty() {
                continue;
            }
            self.update_coverage(n);
            let mut decided = 1;
            while decided > 0 {
                let turn = Turn {
                    now: self.now,
                    name: &organisation,
                    limit: &self.limit,
                    random_unit: self.random.f64(),
                };
                let host = &mut self.hosts[n];
                decided = host.lines.step(&turn, &mut host.limiter);
            }
            let host = &mut self.hosts[n];
            let lines = &mut host.lines;
            let mut outcomes = Vec::new();
            host.waiting.retain(|(id, rank, request)| {
                let outcome = lines.take_outcome(*id);
                outcomes.extend(outcome.map(|outcome| (*rank, *request, outcome)));
                outcome.is_none()
            });
            host.is_urgent = true;
            for (rank, request, outcome) in outcomes {
                if outcome == Outcome::Began {
                    released += request.cost as f64;
                }
                self.note(rank, &request, outcome);
            }
        }
        self.most_released = self.most_released.max(released);
    }

    fn sync(&mut self) {
        // Children go before relays, so that urgent reports reach the orderer within one step.
        for n in (0..self.hosts.len()).rev() {
            let phase = (n as u64 * 37) % self.interval_ms;
            let is_due = (self.now.0 + phase) % self.interval_ms < STEP_MS.0;
            // A host does not send more than every 100 ms, as a host with waiting requests does.
            let is_urgent =
                self.hosts[n].is_urgent && (self.now.0 / STEP_MS.0 + n as u64).is_multiple_of(4);
            let Some(parent) = self.parent(n).filter(|_| is_due || is_urgent) else {
                continue;
            };
            self.hosts[parent].is_urgent |= self.hosts[n].is_urgent;
            self.hosts[n].is_urgent = false;
            self.exchange(n, parent);
        }
    }

    fn wait_for_newer_levels(&mut self, n: usize) {
        let limiter = &self.hosts[n].limiter;
        let wants = limiter.wants_newer_levels(self.now, &name(), &self.limit);
        let Some(parent) = self.parent(n).filter(|_| wants) else {
            return;
        };
        if let Some(orderer) = self.parent(parent) {
            self.exchange(parent, orderer);
        }
        self.exchange(n, parent);
    }

    fn exchange(&mut self, child: usize, parent: usize) {
        let now = self.now;
        self.update_coverage(child);
        self.update_coverage(parent);
        let through = self.reporting_hosts(child) - 1;
        let ModelHost {
            limiter,
            lines,
            incarnation,
            ..
        } = &mut self.hosts[child];
        let (usage, sums, incarnation) = (
            limiter.report(now),
            lines.report(now, limiter),
            *incarnation,
        );
        let host = &mut self.hosts[parent];
        host.reports.insert(child, (now, through));
        host.limiter.record_usage(now, &usage, &self.table);
        host.lines.record(now, incarnation, sums);
        let levels = host.limiter.build_update(now, &self.table);
        let sums = host.lines.build_update(now, &host.limiter);
        let host = &mut self.hosts[child];
        host.limiter.apply_reply(now, Some(levels));
        host.lines.apply_update(now, &sums);
    }

    fn parent(&self, n: usize) -> Option<usize> {
        match (self.orderer, n < self.relays) {
            (Some(orderer), _) if orderer == n => None,
            (Some(orderer), true) => Some(orderer),
            (Some(orderer), false) if self.relays == 0 => Some(orderer),
            (_, false) if self.relays > 0 => Some(n % self.relays),
            (None, true) => Some(0).filter(|first| *first != n),
            (_, false) => None,
        }
    }

    fn reporting_hosts(&self, n: usize) -> usize {
        let reports = self.hosts[n].reports.values();
        let recent = reports.filter(|(at, _)| self.now.since(*at) < PRESENCE_MS);
        1 + recent.map(|(_, through)| 1 + through).sum::<usize>()
    }

    fn update_coverage(&mut self, n: usize) {
        let is_relay = n < self.relays;
        let coverage = Coverage {
            scope: match self.orderer == Some(n) {
                true => Scope::Site,
                false => Scope::Group,
            },
            reporting_hosts: self.reporting_hosts(n),
            expected: match (self.orderer == Some(n), is_relay) {
                (true, _) => self.hosts.len(),
                (false, true) => self.hosts.len() / self.relays,
                (false, false) => 1,
            },
            members: Some(self.hosts.len()),
        };
        self.hosts[n]
            .limiter
            .set_coverage(self.now, coverage, &self.table);
    }
}
