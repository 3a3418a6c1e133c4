//! A model of hosts that send short requests to three upstreams with six slots each. Hosts exchange
//! counts and statements at intervals, so what one knows of the others is up to some hundred
//! milliseconds old. It compares ways to choose.

use crate::prelude::*;
use crate::routing::service_wait::{Candidate, Draw, ServiceLoad, Statement, choose};
use crate::upstreams::StatedLoad;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const UPSTREAMS: usize = 3;
const SLOTS: u32 = 6;
/// The mean time of a request at the usual pace.
const WORK_MS: f64 = 100.0;
/// A request that takes longer is late.
const GOAL_MS: u64 = 400;
const RUN_MS: u64 = 60_000;
const SLOW_PACE_PERCENT: u32 = 250;
/// Every so long, an upstream is slow for `SLOW_MS`; the three are slow one after the other.
const SLOW_EVERY_MS: u64 = 12_000;
const SLOW_MS: u64 = 4_000;

/// How hosts choose in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// By their own requests only.
    OwnCount,
    /// By the predicted time.
    Predicted(Draw),
    /// By the predicted time, with the counts of other hosts added to this host's own.
    WithOthers,
}

/// The conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub hosts: usize,
    pub load_percent: u64,
    pub has_slow_spells: bool,
    pub choice: Choice,
}

/// What a run gave.
pub struct Figures {
    pub late_percent: f64,
    pub mean_ms: f64,
    pub p99_ms: u64,
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            late_percent,
            mean_ms,
            p99_ms,
        } = self;
        write!(
            f,
            "{late_percent:.1}% late, mean {mean_ms:.0} ms, 99th percentile {p99_ms} ms"
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request of this host ends at this upstream.
    End {
        upstream: usize,
        host: usize,
        arrived_ms: u64,
    },
    /// This host exchanges what it knows.
    Sync(usize),
    /// What hosts reported becomes visible to all.
    Publish,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    statement: Option<(StatedLoad, u64, u32)>,
    others: u32,
}

#[derive(Clone, Debug, Default)]
struct ModelHost {
    own: [u32; UPSTREAMS],
    reported: [u32; UPSTREAMS],
    known: [Known; UPSTREAMS],
}

#[derive(Clone, Debug, Default)]
struct ModelUpstream {
    running: u32,
    waiting: VecDeque<(usize, u64)>,
}

/// The sums and newest statements that hosts get from each other.
#[derive(Clone, Copy, Debug, Default)]
struct Shared {
    counts: [u32; UPSTREAMS],
    statements: [Option<(StatedLoad, u64)>; UPSTREAMS],
}

struct Model {
    conditions: Conditions,
    random: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<ModelHost>,
    upstreams: Vec<ModelUpstream>,
    reported: Shared,
    visible: Shared,
    times_ms: Vec<u64>,
}

/// The seeds of the runs whose mean is returned.
const SEEDS: [u64; 4] = [11, 12, 13, 14];

/// Runs the model for a minute with each of the seeds, and returns the mean of the figures.
pub fn run_all(conditions: Conditions) -> Figures {
    let runs = SEEDS.map(|seed| run(conditions, seed));
    let count = runs.len() as f64;
    Figures {
        late_percent: runs.iter().map(|run| run.late_percent).sum::<f64>() / count,
        mean_ms: runs.iter().map(|run| run.mean_ms).sum::<f64>() / count,
        p99_ms: runs.iter().map(|run| run.p99_ms).sum::<u64>() / runs.len() as u64,
    }
}

fn run(conditions: Conditions, seed: u64) -> Figures {
    let mut model = Model {
        conditions,
        random: fastrand::Rng::with_seed(seed),
        now_ms: 0,
        events: BinaryHeap::new(),
        sequence: 0,
        hosts: vec![ModelHost::default(); conditions.hosts],
        upstreams: vec![ModelUpstream::default(); UPSTREAMS],
        reported: Shared::default(),
        visible: Shared::default(),
        times_ms: Vec::new(),
    };
    for host in 0..conditions.hosts {
        let at_ms = model.random.u64(0..model.interval_ms());
        model.schedule(at_ms, Event::Sync(host));
    }
    model.schedule(0, Event::Arrival);
    model.schedule(0, Event::Publish);
    while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
        if at_ms >= RUN_MS && event == Event::Arrival {
            break;
        }
        model.now_ms = at_ms;
        model.handle(event);
    }
    model.figures()
}

impl Model {
    /// Returns how often a host exchanges what it knows.
    fn interval_ms(&self) -> u64 {
        match self.conditions.hosts {
            0..500 => 250,
            _ => 500,
        }
    }

    /// Returns how long relays hold what hosts report.
    fn relay_ms(&self) -> u64 {
        match self.conditions.hosts {
            0..=24 => 1,
            25..500 => 250,
            _ => 500,
        }
    }

    fn schedule(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + in_ms;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::End {
                upstream,
                host,
                arrived_ms,
            } => self.end(upstream, host, arrived_ms),
            Event::Sync(host) => self.sync(host),
            Event::Publish => {
                self.visible = self.reported;
                self.schedule(self.relay_ms(), Event::Publish);
            }
        }
    }

    fn arrive(&mut self) {
        let per_ms = f64::from(SLOTS) * UPSTREAMS as f64 / WORK_MS;
        let gap_ms = self.exponential(100.0 / (per_ms * self.conditions.load_percent as f64));
        self.schedule(gap_ms, Event::Arrival);
        let host = self.random.usize(0..self.hosts.len());
        let upstream = self.choose(host);
        self.hosts[host].own[upstream] += 1;
        let arrived_ms = self.now_ms;
        self.upstreams[upstream]
            .waiting
            .push_back((host, arrived_ms));
        self.start_waiting(upstream);
    }

    /// Returns an exponentially distributed time in whole milliseconds, rounded at random so that
    /// the mean is kept.
    fn exponential(&mut self, mean_ms: f64) -> u64 {
        let exact_ms = -mean_ms * (1.0 - self.random.f64()).ln();
        (exact_ms + self.random.f64()) as u64
    }

    fn pace_percent(&self, upstream: usize) -> u32 {
        let offset_ms = upstream as u64 * SLOW_MS;
        let is_slow = (self.now_ms + offset_ms) % SLOW_EVERY_MS < SLOW_MS;
        match is_slow && self.conditions.has_slow_spells {
            true => SLOW_PACE_PERCENT,
            false => 100,
        }
    }

    fn start_waiting(&mut self, upstream: usize) {
        while self.upstreams[upstream].running < SLOTS
            && let Some((host, arrived_ms)) = self.upstreams[upstream].waiting.pop_front()
        {
            self.upstreams[upstream].running += 1;
            let pace = f64::from(self.pace_percent(upstream)) / 100.0;
            let took_ms = self.exponential(WORK_MS * pace);
            let end = Event::End {
                upstream,
                host,
                arrived_ms,
            };
            self.schedule(took_ms, end);
        }
    }

    fn end(&mut self, upstream: usize, host: usize, arrived_ms: u64) {
        self.times_ms.push(self.now_ms - arrived_ms);
        self.upstreams[upstream].running -= 1;
        self.start_waiting(upstream);
        let load = StatedLoad {
            running: self.upstreams[upstream].running,
            waiting: self.upstreams[upstream].waiting.len() as u32,
            slots: SLOTS,
            pace_percent: Some(self.pace_percent(upstream)),
        };
        let own = &mut self.hosts[host].own[upstream];
        *own -= 1;
        self.hosts[host].known[upstream].statement = Some((load, self.now_ms, *own));
    }

    fn sync(&mut self, host: usize) {
        self.schedule(self.interval_ms(), Event::Sync(host));
        let Self {
            hosts,
            reported,
            visible,
            ..
        } = self;
        let host = &mut hosts[host];
        for upstream in 0..UPSTREAMS {
            let own = host.own[upstream];
            let known = &mut host.known[upstream];
            known.others = visible.counts[upstream].saturating_sub(host.reported[upstream]);
            reported.counts[upstream] += own;
            reported.counts[upstream] -= host.reported[upstream];
            host.reported[upstream] = own;
            if let Some((load, at_ms, _)) = known.statement
                && reported.statements[upstream].is_none_or(|(_, newest_ms)| newest_ms < at_ms)
            {
                reported.statements[upstream] = Some((load, at_ms));
            }
            if let Some((load, at_ms)) = visible.statements[upstream]
                && known
                    .statement
                    .is_none_or(|(_, newest_ms, _)| newest_ms < at_ms)
            {
                known.statement = Some((load, at_ms, own));
            }
        }
    }

    fn choose(&mut self, host: usize) -> usize {
        let now_ms = self.now_ms;
        let host = &self.hosts[host];
        let statements = host.known.iter().enumerate().map(|(upstream, known)| {
            known.statement.map(|(load, at_ms, own_then)| Statement {
                load,
                age_ms: Millis(now_ms - at_ms),
                begun_since: host.own[upstream].saturating_sub(own_then),
            })
        });
        let statements: Vec<Option<Statement>> = statements.collect();
        let suited = Draw::suited_to(statements.iter().copied());
        let loads = statements.into_iter().enumerate();
        let candidates: Vec<Candidate> = loads
            .map(|(upstream, statement)| {
                let load = ServiceLoad {
                    slots: SLOTS,
                    own: host.own[upstream] + self.counted_others(&host.known[upstream]),
                    statement,
                };
                let cost = match self.conditions.choice {
                    Choice::OwnCount => f64::from(host.own[upstream]),
                    Choice::Predicted(_) | Choice::WithOthers => load.predicted_time(),
                };
                Candidate { slots: SLOTS, cost }
            })
            .collect();
        let draw = match (self.conditions.choice, suited) {
            (Choice::Predicted(draw), Draw::BetterOfTwo) => draw,
            (Choice::WithOthers, suited) => suited,
            (Choice::Predicted(_), Draw::Best) | (Choice::OwnCount, _) => Draw::Best,
        };
        choose(&candidates, draw, &mut self.random).expect("there are upstreams")
    }

    fn counted_others(&self, known: &Known) -> u32 {
        match self.conditions.choice {
            Choice::WithOthers => known.others,
            Choice::OwnCount | Choice::Predicted(_) => 0,
        }
    }

    fn figures(mut self) -> Figures {
        self.times_ms.sort_unstable();
        let count = self.times_ms.len();
        let late = self.times_ms.iter().filter(|time| **time > GOAL_MS).count();
        Figures {
            late_percent: late as f64 * 100.0 / count as f64,
            mean_ms: self.times_ms.iter().sum::<u64>() as f64 / count as f64,
            p99_ms: self.times_ms[count * 99 / 100],
        }
    }
}
