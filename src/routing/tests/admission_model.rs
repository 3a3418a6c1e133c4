//! Model of hosts and of the engines of one overloaded model, which read prompts in the order of
//! their arrival. Hosts know each other's prompts with a delay.

use crate::desired::UrgentRank;
use crate::prelude::*;
use crate::routing::engine_admission::{CHECK_MS, Candidate, UrgentDemand};
use crate::routing::engine_line::EngineLine;
use crate::routing::first_event::EngineBacklog;
use crate::routing::pick::PREFILL_TOKENS_PER_MS;
use std::collections::VecDeque;

const ENGINES: usize = 4;
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 20_000;
/// The age of what a host knows of others when it receives it, and how long it uses that.
const NEWS_AGE_MS: u64 = 250;
const NEWS_INTERVAL_MS: u64 = 250;
const URGENT: UrgentRank = UrgentRank {
    rank: 0,
    goal_ms: Millis(400),
};

/// What callers of one rank ask for.
#[derive(Clone, Copy)]
pub struct Kind {
    pub tokens: u64,
    pub goal_ms: u64,
    pub leaves_ms: u64,
    /// The share of what the engines can read.
    pub load: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub refused: u32,
    pub longest_held_ms: u64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Copy)]
struct Request {
    host: usize,
    rank: usize,
    candidate: Candidate,
    left_tokens: f64,
}

struct HeldRequest {
    request: Request,
    id: u64,
}

/// What the hosts do.
#[derive(Clone, Copy)]
pub struct Rules {
    /// Whether they admit by rank; otherwise they only refuse what comes too late.
    pub admits: bool,
    /// Among how many engines, drawn at random, they choose the best.
    pub drawn: usize,
}

/// The model of a site.
pub struct Model {
    pub outcomes: [Outcome; 2],
    now: u64,
    rules: Rules,
    kinds: [Kind; 2],
    engines: Vec<VecDeque<Request>>,
    own: Vec<[u64; ENGINES]>,
    of_others: Vec<[u64; ENGINES]>,
    past: VecDeque<Vec<[u64; ENGINES]>>,
    lines: Vec<EngineLine>,
    demands: Vec<UrgentDemand>,
    held: Vec<Vec<HeldRequest>>,
    model: Name,
    random: fastrand::Rng,
}

impl Model {
    pub fn run(hosts: usize, kinds: [Kind; 2], rules: Rules, seed: u64) -> [Outcome; 2] {
        let mut model = Self {
            outcomes: Default::default(),
            now: 0,
            rules,
            kinds,
            engines: vec![VecDeque::new(); ENGINES],
            own: vec![[0; ENGINES]; hosts],
            of_others: vec![[0; ENGINES]; hosts],
            past: VecDeque::new(),
            lines: vec![EngineLine::default(); hosts],
            demands: vec![UrgentDemand::default(); hosts],
            held: (0..hosts).map(|_| Vec::new()).collect(),
            model: "m".into(),
            random: fastrand::Rng::with_seed(seed),
        };
        while model.now < DURATION_MS {
            model.step();
            model.now += STEP_MS;
        }
        assert!(model.lines.iter().all(|line| line.waiting() <= 256));
        model.outcomes
    }

    fn step(&mut self) {
        self.read();
        self.exchange();
        for rank in 0..2 {
            let kind = self.kinds[rank];
            let capacity = PREFILL_TOKENS_PER_MS * (ENGINES as u64 * STEP_MS) as f64;
            let expected = kind.load * capacity / kind.tokens as f64;
            let extra = self.random.f64() < expected.fract();
            (0..expected as u32 + u32::from(extra)).for_each(|_| self.arrive(rank));
        }
        if self.now.is_multiple_of(CHECK_MS.0) {
            (0..self.held.len()).for_each(|host| self.check(host));
        }
    }

    fn read(&mut self) {
        for engine in 0..ENGINES {
            let mut budget = PREFILL_TOKENS_PER_MS * STEP_MS as f64;
            while let Some(first) = self.engines[engine].front_mut() {
                let read = budget.min(first.left_tokens);
                first.left_tokens -= read;
                budget -= read;
                let has_left = Millis(self.now) >= first.candidate.caller_leaves_at;
                if first.left_tokens > 0.0 && !has_left {
                    break;
                }
                let Request {
                    host,
                    rank,
                    candidate,
                    ..
                } = *first;
                self.engines[engine].pop_front();
                self.own[host][engine] -= self.kinds[rank].tokens;
                let is_in_time = Millis(self.now) <= candidate.goal_at;
                self.outcomes[rank].in_time += u32::from(is_in_time);
            }
        }
    }

    fn exchange(&mut self) {
        self.past.push_back(self.own.clone());
        if self.past.len() as u64 <= NEWS_AGE_MS / STEP_MS {
            return;
        }
        let Some(past) = self.past.pop_front() else {
            return;
        };
        let sum = |engine: usize| past.iter().map(|own| own[engine]).sum::<u64>();
        let sums: [u64; ENGINES] = std::array::from_fn(sum);
        for (host, of_others) in self.of_others.iter_mut().enumerate() {
            let phase_ms = host as u64 * STEP_MS;
            if (self.now + phase_ms).is_multiple_of(NEWS_INTERVAL_MS) {
                *of_others = std::array::from_fn(|engine| sums[engine] - past[host][engine]);
            }
        }
    }

    fn backlog(&self, host: usize, engine: usize) -> EngineBacklog {
        EngineBacklog {
            waiting_tokens: self.own[host][engine] + self.of_others[host][engine],
            ..EngineBacklog::default()
        }
    }

    /// Returns the engine that a host would choose, its wait and the time to the first event.
    fn predict(&mut self, host: usize, rank: usize) -> (usize, Millis, Millis) {
        let mut engines: [usize; ENGINES] = std::array::from_fn(|engine| engine);
        self.random.shuffle(&mut engines);
        let engines = engines.into_iter().take(self.rules.drawn);
        let waiting = |engine: &usize| self.backlog(host, *engine).waiting_tokens;
        let engine = engines.min_by_key(waiting).expect("there are engines");
        let backlog = self.backlog(host, engine);
        let tokens = self.kinds[rank].tokens as f64;
        (
            engine,
            backlog.wait_ms(1.0),
            backlog.first_event_ms(tokens, 1.0),
        )
    }

    fn arrive(&mut self, rank: usize) {
        let now = Millis(self.now);
        let kind = self.kinds[rank];
        let host = self.random.usize(..self.own.len());
        let request = Request {
            host,
            rank,
            candidate: Candidate {
                rank: rank as u8,
                arrived_at: now,
                goal_at: now + Millis(kind.goal_ms),
                caller_leaves_at: now + Millis(kind.leaves_ms),
            },
            left_tokens: kind.tokens as f64,
        };
        self.outcomes[rank].asked += 1;
        self.demands[host].note(now, &self.model, rank == 0);
        let (engine, wait_ms, first_event_ms) = self.predict(host, rank);
        if now + first_event_ms > request.candidate.caller_leaves_at {
            self.outcomes[rank].refused += 1;
        } else if rank == 0 || !self.rules.admits || !self.demands[host].is_expected(now, "m") {
            self.send(engine, request);
        } else {
            let id = self.lines[host].join(&self.model, request.candidate);
            let id = id.expect("the line is not full");
            if wait_ms <= request.candidate.longest_wait_ms(now, URGENT) {
                self.lines[host].let_first_begin(now, &self.model);
            }
            self.held[host].push(HeldRequest { request, id });
            self.check(host);
        }
    }

    fn send(&mut self, engine: usize, request: Request) {
        self.own[request.host][engine] += self.kinds[request.rank].tokens;
        self.engines[engine].push_back(request);
    }

    /// Checks the requests that wait at a host.
    fn check(&mut self, host: usize) {
        let now = Millis(self.now);
        let draws = self.now.is_multiple_of(CHECK_MS.0);
        for held in std::mem::take(&mut self.held[host]) {
            let Request {
                rank, candidate, ..
            } = held.request;
            let (engine, wait_ms, first_event_ms) = self.predict(host, rank);
            let is_late = candidate.excess_ms(now, first_event_ms) > Millis::ZERO;
            let line = &self.lines[host];
            let has_room = wait_ms <= candidate.longest_wait_ms(now, URGENT);
            let is_drawn = draws
                && has_room
                && line.is_first(now, "m", held.id)
                && self.random.f64() < candidate.begin_chance(now, first_event_ms);
            let begins = line.may_begin("m", held.id) || is_drawn;
            if !is_late && !begins {
                self.held[host].push(held);
                continue;
            }
            self.lines[host].leave(&self.model, held.id);
            let outcome = &mut self.outcomes[rank];
            let held_ms = now.since(candidate.arrived_at).0;
            outcome.longest_held_ms = outcome.longest_held_ms.max(held_ms);
            match is_late {
                true => outcome.refused += 1,
                false => self.send(engine, held.request),
            }
        }
    }
}
