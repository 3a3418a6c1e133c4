//! The simulation: a clock, a queue of events, and the hosts, engines and store that they reach.

use super::check::{Finding, SenderState, Timeline};
use super::engine::{CountedUnloads, SimEngine};
use super::faults::{Fault, Moments, schedule};
use super::host::SimHost;
use super::network::{Direction, Flight, Network, Target};
use super::store::{SimStore, StoreOp, StoreReply};
use crate::desired::EngineSpec;
use crate::ordering::message::{EngineReport, Order, OrderAnswer};
use crate::ordering::tests::fake_engine::spec;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::collections::BTreeMap;

/// When a run begins.
pub const START: Millis = Millis(1_000_000);
const RUN_MS: u64 = 34_000;
const SIZES_MB: [f64; 4] = [100.0, 60.0, 60.0, 40.0];
const CAPACITY_MB: f64 = 170.0;

/// What a host is to do.
#[derive(Clone, Debug)]
pub enum Step {
    /// A step of the lease task.
    LeaseTick,
    /// A step of the planning task.
    Plan,
    /// The next message to the orderer.
    Sync,
    /// An answer of the store to the call with this number.
    StoreReplied(u64, StoreReply),
    /// The call with this number took too long.
    StoreTimedOut(u64),
    /// A renewal is to be sent through another host.
    RenewThroughPeer(u64),
    /// Another host asks to append a renewal: its number, its process and its call.
    AppendForPeer(usize, u64, u64, StoreOp),
    /// The store's answer to a call on behalf of another host.
    ForwardReply(usize, u64, u64, StoreReply),
    /// The bytes of an order are to be written.
    WriteOrder(Box<Flight>),
    /// An engine answered an order.
    OrderAnswered(u64, Name, Order, OrderAnswer),
    /// A report, or none.
    ReportRead(u64, Name, Option<EngineReport>),
    /// A message of another host to the orderer.
    SyncAsked(usize, u64),
    /// The orderer's reply: the end of its stream.
    OrdererReplied(Position),
    /// The reply of a host that is not the orderer.
    NotOrderer(Option<crate::ordering::lease::Resignation>),
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A step of a process of a host. The flag is whether a slow host has delayed it.
    Step(usize, u64, Step, bool),
    /// A call reaches the store: from a host, its process, its call, and for which other host's
    /// process.
    Store(usize, u64, u64, Option<(usize, u64)>, StoreOp),
    /// An order reaches an address.
    Order(Box<Flight>),
    /// A read of a report reaches an address: from a host, its process, its call, the engine.
    Report(usize, u64, u64, Name),
    /// A fault begins.
    Fault(Fault),
    /// A host starts again.
    Start(usize),
    /// The process of a host ends.
    End(usize, u64),
    /// The list of engines shows the present state.
    List,
    /// The store works as usual again.
    StoreRecovers,
}

/// The results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The broken rules.
    pub findings: Vec<Finding>,
    /// The orders that took effect.
    pub effects: usize,
    /// How often the next order to an engine came from another host.
    pub takeovers: usize,
    /// The time from each loss of the orderer to the next host that may order.
    pub gaps_ms: Vec<u64>,
}

/// The simulated site.
pub struct World {
    pub now: Millis,
    pub random: fastrand::Rng,
    pub faults: Vec<Fault>,
    pub hosts: Vec<SimHost>,
    pub engines: Vec<SimEngine>,
    pub store: SimStore,
    pub network: Network,
    pub spec: EngineSpec,
    pub listed: Vec<(Lifetime, Name)>,
    pub store_mode: Option<Fault>,
    pub timelines: Vec<Timeline>,
    pub outcome: Outcome,
    pub thaws: Vec<(usize, Millis)>,
    pub lost_at: Option<Millis>,
    pub last_orderer: Option<usize>,
    pub calls: u64,
    queue: BTreeMap<(Millis, u64), Event>,
    events: u64,
}

impl World {
    /// Creates a site at its first start.
    pub fn new(
        seed: u64,
        hosts: usize,
        engines: usize,
        faults: &[Fault],
        moments: Moments,
    ) -> Self {
        let spec = spec(CAPACITY_MB, &SIZES_MB);
        let counts = CountedUnloads {
            absent: !faults.contains(&Fault::UncountedUnloads),
            held: !faults.contains(&Fault::UncountedHeldUnloads),
        };
        let engine = |n: usize| {
            let id = Name::from(format!("e{n}-0"));
            SimEngine::new(START, id, Millis::ZERO, spec.clone(), counts, &["m0"])
        };
        let mut world = Self {
            now: START,
            random: fastrand::Rng::with_seed(seed),
            faults: faults.to_vec(),
            hosts: (0..hosts).map(|host| SimHost::new(host, 0)).collect(),
            engines: (0..engines).map(engine).collect(),
            store: SimStore::new(),
            network: Network::new(faults),
            spec: spec.clone(),
            listed: Vec::new(),
            store_mode: None,
            timelines: (0..engines).map(|_| Timeline::default()).collect(),
            outcome: Outcome::default(),
            thaws: Vec::new(),
            lost_at: None,
            last_orderer: None,
            calls: 0,
            queue: BTreeMap::new(),
            events: 0,
        };
        world.list_engines();
        for host in 0..hosts {
            world.start_tasks(host);
        }
        let (from, until) = (START + Millis(3_000), START + Millis(24_000));
        for (at, fault) in schedule(&mut world.random, faults, moments, from, until) {
            world.at(at, Event::Fault(fault));
        }
        world
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > START + Millis(RUN_MS) {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let takeovers = self.timelines.iter().map(|timeline| timeline.takeovers);
        self.outcome.takeovers = takeovers.sum();
        self.outcome
    }

    /// Returns whether a fault is part of the run.
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Returns a random span.
    pub fn span(&mut self, range: std::ops::RangeInclusive<u64>) -> Millis {
        Millis(self.random.u64(range))
    }

    /// Schedules an event.
    pub fn at(&mut self, at: Millis, event: Event) {
        self.events += 1;
        self.queue.insert((at.max(self.now), self.events), event);
    }

    /// Schedules a step of a host's present process.
    pub fn step_in(&mut self, host: usize, in_ms: Millis, step: Step) {
        let process = self.hosts[host].process;
        self.at(self.now + in_ms, Event::Step(host, process, step, false));
    }

    /// Sends a message to a process of a host.
    pub fn send_to(&mut self, host: usize, process: u64, target: Target, step: Step) {
        if let Some((at, _)) = self.travel(host, target, Direction::In) {
            self.at(at, Event::Step(host, process, step, false));
        }
    }

    /// Returns when a message that is sent now arrives.
    pub fn travel(
        &mut self,
        host: usize,
        target: Target,
        direction: Direction,
    ) -> Option<(Millis, bool)> {
        self.network
            .arrival(&mut self.random, self.now, host, target, direction)
    }

    /// Returns the number of the next call.
    pub fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    /// Starts the tasks of a host's process.
    pub fn start_tasks(&mut self, host: usize) {
        for step in [Step::LeaseTick, Step::Plan, Step::Sync] {
            let in_ms = self.span(0..=100);
            self.step_in(host, in_ms, step);
        }
    }

    /// Makes the list of engines show the present ones.
    pub fn list_engines(&mut self) {
        let lifetime = |engine: &SimEngine| Lifetime {
            id: engine.id.clone(),
            born_at: engine.born_at,
        };
        let engines = self.engines.iter();
        let listed = engines.map(|engine| (lifetime(engine), "s".into()));
        self.listed = listed.collect();
        let running = self.hosts.iter_mut().filter(|host| host.is_alive);
        for host in running {
            let listed = self.listed.iter().map(|(lifetime, _)| lifetime);
            host.note_list(self.now, listed);
        }
    }

    /// Returns the address of an engine by its name.
    pub fn slot_of(id: &str) -> usize {
        let digits = id[1..].split('-').next().unwrap_or_default();
        digits.parse().expect("a name with the address")
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(host, process, step, is_delayed) => {
                self.gate(host, process, step, is_delayed);
            }
            Event::Store(host, process, call, on_behalf, op) => {
                self.store_called(host, process, call, on_behalf, op);
            }
            Event::Order(flight) => self.order_arrives(*flight),
            Event::Report(host, process, call, id) => {
                self.report_asked(host, process, call, &id);
            }
            Event::Fault(fault) => self.begin_fault(fault),
            Event::Start(host) => {
                self.hosts[host] = SimHost::new(host, self.hosts[host].process + 1);
                let listed = self.listed.iter().map(|(lifetime, _)| lifetime);
                self.hosts[host].note_list(self.now, listed);
                self.start_tasks(host);
            }
            Event::End(host, process) => {
                if self.hosts[host].process == process && self.hosts[host].is_alive {
                    self.end_process(host);
                }
            }
            Event::List => self.list_engines(),
            Event::StoreRecovers => self.store_mode = None,
        }
    }

    /// Lets a process do a step, unless it has ended, stands still or is slow.
    fn gate(&mut self, index: usize, process: u64, step: Step, is_delayed: bool) {
        let host = &self.hosts[index];
        if host.process != process || !host.is_alive {
            return;
        }
        if self.now < host.frozen_until {
            let until = host.frozen_until;
            self.at(until, Event::Step(index, process, step, true));
        } else if self.now < host.slow_until && !is_delayed {
            let at = self.now + self.span(5..=180);
            self.at(at, Event::Step(index, process, step, true));
        } else {
            self.do_step(index, step);
        }
    }

    /// Ends the process of a host; it starts again after some time.
    pub fn end_process(&mut self, host: usize) {
        self.note_loss(host);
        self.hosts[host].is_alive = false;
        let pause = self.span(500..=9_000);
        self.at(self.now + pause, Event::Start(host));
    }

    /// Records that a host can no longer order.
    pub fn note_loss(&mut self, host: usize) {
        if self.last_orderer == Some(host) && self.lost_at.is_none() {
            self.lost_at = Some(self.now);
            self.last_orderer = None;
        }
    }

    /// Records that a host may order.
    pub fn note_orderer(&mut self, host: usize) {
        if let Some(lost_at) = self.lost_at.take() {
            self.outcome.gaps_ms.push(self.now.since(lost_at).0);
        }
        self.last_orderer = Some(host);
    }

    /// Returns when the sender of an order was thawed and its link healed.
    pub fn sender_state(&self, host: usize) -> SenderState {
        let thaws = self.thaws.iter().filter(|(thawed, _)| *thawed == host);
        let thawed_at = thaws.map(|(_, at)| *at).filter(|at| *at <= self.now).max();
        SenderState {
            thawed_at,
            healed_at: self.network.healed_at(self.now, host),
        }
    }
}
