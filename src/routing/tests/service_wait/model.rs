//! A model of hosts that send short requests to three upstreams with six slots each. Hosts exchange
//! statements at intervals, so those of other hosts are up to some hundred milliseconds old. It
//! compares ways to choose.

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
#[derive(Clone, Copy)]
pub enum Choice {
    /// By their own requests only.
    OwnCount,
    /// By the predicted time.
    Predicted(Draw),
}

/// The conditions of a run.
#[derive(Clone, Copy)]
pub struct Conditions {
    pub hosts: usize,
    pub load_percent: u64,
    pub has_slow_spells: bool,
    pub choice: Choice,
}

/// A request of a host, and when it arrived.
type Request = (usize, u64);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request ends at this upstream.
    End(usize, Request),
    /// This host exchanges what it knows.
    Sync(usize),
    /// What hosts reported becomes visible to all.
    Publish,
}

/// What a host knows of an upstream.
#[derive(Clone, Copy, Default)]
struct Known {
    own: u32,
    /// A statement, its time, and this host's own requests then.
    statement: Option<(StatedLoad, u64, u32)>,
}

/// The newest statement that hosts get from each other of an upstream, and its time.
type Shared = Option<(StatedLoad, u64)>;

struct Model {
    conditions: Conditions,
    random: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<[Known; UPSTREAMS]>,
    running: [u32; UPSTREAMS],
    waiting: [VecDeque<Request>; UPSTREAMS],
    reported: [Shared; UPSTREAMS],
    visible: [Shared; UPSTREAMS],
    requests: u32,
    late: u32,
}

/// Runs the model for a minute, and returns the share of requests that were late.
pub fn late_percent(conditions: Conditions, seed: u64) -> f64 {
    let mut model = Model {
        conditions,
        random: fastrand::Rng::with_seed(seed),
        now_ms: 0,
        events: BinaryHeap::new(),
        sequence: 0,
        hosts: vec![Default::default(); conditions.hosts],
        running: [0; UPSTREAMS],
        waiting: Default::default(),
        reported: Default::default(),
        visible: Default::default(),
        requests: 0,
        late: 0,
    };
    for host in 0..conditions.hosts {
        let at_ms = model.random.u64(0..model.interval_ms());
        model.schedule(at_ms, Event::Sync(host));
    }
    model.schedule(0, Event::Arrival);
    model.schedule(0, Event::Publish);
    while let Some(Reverse((at_ms, _, event))) = model.events.pop()
        && at_ms < RUN_MS
    {
        model.now_ms = at_ms;
        match event {
            Event::Arrival => model.arrive(),
            Event::End(upstream, request) => model.end(upstream, request),
            Event::Sync(host) => model.sync(host),
            Event::Publish => {
                model.visible = model.reported;
                model.schedule(model.relay_ms(), Event::Publish);
            }
        }
    }
    f64::from(model.late) * 100.0 / f64::from(model.requests)
}

impl Model {
    /// Returns how often a host exchanges what it knows.
    fn interval_ms(&self) -> u64 {
        if self.hosts.len() < 500 { 250 } else { 500 }
    }

    /// Returns how long relays hold what hosts report.
    fn relay_ms(&self) -> u64 {
        match self.hosts.len() {
            0..=24 => 1,
            _ => self.interval_ms(),
        }
    }

    fn schedule(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + in_ms;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    /// Returns an exponentially distributed time in whole milliseconds, rounded at random so that
    /// the mean is kept.
    fn exponential(&mut self, mean_ms: f64) -> u64 {
        let exact_ms = -mean_ms * (1.0 - self.random.f64()).ln();
        (exact_ms + self.random.f64()) as u64
    }

    fn arrive(&mut self) {
        let per_ms = f64::from(SLOTS) * UPSTREAMS as f64 / WORK_MS;
        let gap_ms = self.exponential(100.0 / (per_ms * self.conditions.load_percent as f64));
        self.schedule(gap_ms, Event::Arrival);
        let host = self.random.usize(0..self.hosts.len());
        let upstream = self.choose(host);
        self.hosts[host][upstream].own += 1;
        self.waiting[upstream].push_back((host, self.now_ms));
        self.start_waiting(upstream);
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
        while self.running[upstream] < SLOTS
            && let Some(request) = self.waiting[upstream].pop_front()
        {
            self.running[upstream] += 1;
            let pace = f64::from(self.pace_percent(upstream)) / 100.0;
            let took_ms = self.exponential(WORK_MS * pace);
            self.schedule(took_ms, Event::End(upstream, request));
        }
    }

    fn end(&mut self, upstream: usize, (host, arrived_ms): Request) {
        self.requests += 1;
        self.late += u32::from(self.now_ms - arrived_ms > GOAL_MS);
        self.running[upstream] -= 1;
        self.start_waiting(upstream);
        let load = StatedLoad {
            running: self.running[upstream],
            waiting: self.waiting[upstream].len() as u32,
            slots: SLOTS,
            pace_percent: Some(self.pace_percent(upstream)),
        };
        let known = &mut self.hosts[host][upstream];
        known.own -= 1;
        known.statement = Some((load, self.now_ms, known.own));
    }

    fn sync(&mut self, host: usize) {
        self.schedule(self.interval_ms(), Event::Sync(host));
        for (upstream, known) in self.hosts[host].iter_mut().enumerate() {
            let newest = &mut self.reported[upstream];
            if let Some((load, at_ms, _)) = known.statement
                && newest.is_none_or(|(_, newest_ms)| newest_ms < at_ms)
            {
                *newest = Some((load, at_ms));
            }
            if let Some((load, at_ms)) = self.visible[upstream]
                && known.statement.is_none_or(|(_, own_ms, _)| own_ms < at_ms)
            {
                known.statement = Some((load, at_ms, known.own));
            }
        }
    }

    fn choose(&mut self, host: usize) -> usize {
        let choice = self.conditions.choice;
        let loads = self.hosts[host].map(|known| ServiceLoad {
            slots: SLOTS,
            own: known.own,
            statement: known.statement.map(|(load, at_ms, own_then)| Statement {
                load,
                age_ms: Millis(self.now_ms - at_ms),
                begun_since: known.own.saturating_sub(own_then),
            }),
        });
        let suited = Draw::suited_to(loads.iter().map(|load| load.statement));
        let candidates = loads.map(|load| Candidate {
            slots: SLOTS,
            cost: match choice {
                Choice::OwnCount => f64::from(load.own),
                Choice::Predicted(_) => load.predicted_time(),
            },
        });
        let draw = match (choice, suited) {
            (Choice::Predicted(draw), Draw::BetterOfTwo) => draw,
            (Choice::Predicted(_), Draw::Best) | (Choice::OwnCount, _) => Draw::Best,
        };
        choose(&candidates, draw, &mut self.random).expect("there are upstreams")
    }
}
