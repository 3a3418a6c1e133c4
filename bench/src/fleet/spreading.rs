//! How a desired state spreads while the store answers some hosts only: who fetches it from whom, in
//! which time, and with how many calls.
//!
//! Compares four ways. Each host decides with the parts that `mangovale-entry` runs: the relay tree,
//! the neighbours, and the choice from whom to fetch.

use crate::fleet::desired::state;
use crate::fleet::exchange::{WAY_MS, bytes, interval_ms};
use crate::fleet::world::World;
use mangovale::entry::desired_copy::DesiredCopy;
use mangovale::group::Member;
use mangovale::group::desired_versions::{NewerVersions, NextFetch};
use mangovale::group::neighbours::Neighbours;
use mangovale::ordering::message::PeerCall;
use mangovale::prelude::*;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// How long a caller waits for a host that does not answer.
const CALL_TIMEOUT_MS: Millis = Millis(700);
/// How long a host that reaches the store waits for its own read.
const STORE_HEAD_START_MS: Millis = Millis(150);
/// A read of the store, with the way there and back.
const STORE_READ_MS: Millis = Millis(6);
/// The most time between two reads of a host that goes by what an orderer says which cannot read.
const POLL_MS: u64 = 1_500;
/// The intervals without a state of the orderer after which hosts speak with their neighbours.
const STALE_INTERVALS: u64 = 3;
/// When the version is published, some intervals after the start.
const PUBLISHED_AT: Millis = Millis(5_000);
/// How long after that the run ends.
const RUN_MS: Millis = Millis(5_000);
/// Megabits a second of the links of hosts that are no relays.
const HOST_LINK_MBPS: u64 = 20;
/// Bytes that a small call and its reply take beside their contents.
const CALL_OVERHEAD_BYTES: usize = 170;
const VERSION: u64 = 2;

/// How hosts learn of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Way {
    /// From the store; behind a relay from that.
    StoreAndRelays,
    /// Also from the orderer or the relay that announces the version.
    FromAnnouncer,
    /// Versions travel with reports and replies, up and down; without a state of the orderer also
    /// between neighbours.
    BothWays,
    /// Each host asks a random one at each interval.
    RandomHosts,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 4] = [
        Self::StoreAndRelays,
        Self::FromAnnouncer,
        Self::BothWays,
        Self::RandomHosts,
    ];
}

/// Which hosts are impaired, by their number; the orderer is host 0.
#[derive(Clone, Debug, Default)]
pub struct Impaired {
    /// Hosts that the store turns away.
    pub refused: IndexSet<usize>,
    /// Hosts that stand still from the moment of the publication on.
    pub frozen: IndexSet<usize>,
    /// Hosts that reach each other only, and that the others do not reach, from the start on.
    pub apart: IndexSet<usize>,
}

impl Impaired {
    fn reach(&self, one: usize, other: usize) -> bool {
        self.apart.contains(&one) == self.apart.contains(&other)
    }

    /// Tells whether a host runs and reaches one that reads the version, itself included.
    pub fn must_get(&self, hosts: usize, host: usize) -> bool {
        let reads = |other: usize| !self.refused.contains(&other) && !self.frozen.contains(&other);
        let mut others = (0..hosts).filter(|other| self.reach(host, *other));
        !self.frozen.contains(&host) && others.any(reads)
    }
}

/// What it takes in one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Hosts that run, reach one that reads the version, and do not have it at the end.
    pub lacking: usize,
    /// The time from the first host that has it to the last one that gets it.
    pub last_ms: Millis,
    /// Calls between hosts from the publication on, beside their reports.
    pub calls: usize,
    /// Bytes of these calls.
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host reads the version in the store.
    Reads(usize),
    /// A host reports to its parent, which is the one with this rank.
    Reports(usize, usize),
    /// A host looks whether to fetch the state.
    Looks(usize),
    /// A host gets the state.
    Gets(usize),
    /// A host could not get it from another.
    Fails(usize, usize),
    /// A host speaks with its next neighbour, or with a random host.
    Asks(usize),
    /// A host gets another's version, and the other one its own.
    Meets(usize, usize),
    /// A host gets the answer of a neighbour.
    Answers(usize, usize),
    /// A host gets no answer of a neighbour.
    Misses(usize, usize),
}

struct Host {
    version: u64,
    newer: NewerVersions,
    neighbours: Neighbours,
    is_fetching: bool,
    answered_at: Millis,
}

/// The result of one way in one scenario.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// The number of hosts.
    pub hosts: usize,
    /// Who is impaired.
    pub scenario: &'static str,
    /// How hosts learn of the version.
    pub way: Way,
    /// What it takes.
    #[serde(flatten)]
    pub spread: Spread,
}

/// Measures all ways in all scenarios.
pub fn measure_all(world: &World, seed: u64) -> Vec<Measured> {
    let scenarios = scenarios(world);
    let runs = scenarios.iter().flat_map(|(scenario, impaired)| {
        Way::ALL.map(|way| Measured {
            hosts: world.hosts.len(),
            scenario,
            way,
            spread: measure(world, impaired, way, seed),
        })
    });
    runs.collect()
}

/// Returns the scenarios that are compared, with their names.
fn scenarios(world: &World) -> [(&'static str, Impaired); 6] {
    let hosts = world.hosts.len();
    let is_relay = |host: &usize| world.tree.is_relay(world.hosts[*host].incarnation);
    let half = || (0..hosts).filter(|host| host % 2 == 1);
    let refused = |refused: IndexSet<usize>| Impaired {
        refused,
        ..Impaired::default()
    };
    [
        ("none", Impaired::default()),
        (
            "every second data centre refused",
            refused(half().collect()),
        ),
        (
            "every second data centre and the orderer refused",
            refused(half().chain([0]).collect()),
        ),
        (
            "every second data centre and all relays refused",
            refused(half().chain((1..hosts).filter(is_relay)).collect()),
        ),
        ("all but one refused", refused((0..hosts - 1).collect())),
        (
            "every second data centre refused, orderer frozen",
            Impaired {
                frozen: [0].into_iter().collect(),
                ..refused(half().collect())
            },
        ),
    ]
}

/// A run of one way.
struct Run<'a> {
    world: &'a World,
    impaired: &'a Impaired,
    way: Way,
    random: fastrand::Rng,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, Event)>>,
    hosts: Vec<Host>,
    numbers: IndexMap<u64, usize>,
    state_bytes: usize,
    /// When the first host had the version.
    first_at: Option<Millis>,
    spread: Spread,
}

/// Measures how a version spreads; `seed` draws when hosts speak.
pub fn measure(world: &World, impaired: &Impaired, way: Way, seed: u64) -> Spread {
    let hosts = world.hosts.iter().map(|_| Host {
        version: VERSION - 1,
        newer: NewerVersions::default(),
        neighbours: Neighbours::default(),
        is_fetching: false,
        answered_at: Millis::ZERO,
    });
    let numbers = world.hosts.iter().enumerate();
    let copy = DesiredCopy {
        state: Arc::new(state(world)),
        end: Position::new(Era::default(), u64::from(u32::MAX)),
        age_ms: Millis(200),
    };
    let run = Run {
        hosts: hosts.collect(),
        numbers: numbers.map(|(at, host)| (host.incarnation, at)).collect(),
        world,
        impaired,
        way,
        random: fastrand::Rng::with_seed(seed),
        now: Millis::ZERO,
        queue: BinaryHeap::new(),
        state_bytes: bytes(&copy),
        first_at: None,
        spread: Spread::default(),
    };
    run.run()
}

impl Run<'_> {
    fn run(mut self) -> Spread {
        for host in 0..self.hosts.len() {
            let interval_ms = self.interval_ms(host).0;
            let report_at = Millis(self.random.u64(0..interval_ms));
            let ask_at = Millis(self.random.u64(0..interval_ms));
            self.add(report_at, Event::Reports(host, 0));
            self.add(ask_at, Event::Asks(host));
        }
        self.add_reads();
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > PUBLISHED_AT + RUN_MS {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let hosts = self.hosts.iter().enumerate();
        let count = self.hosts.len();
        let lacking =
            hosts.filter(|(at, host)| host.version < VERSION && self.impaired.must_get(count, *at));
        self.spread.lacking = lacking.count();
        self.spread
    }

    /// Lets the hosts that the store answers read the version. The others go by the orderer, so they
    /// read it when that announces it, or cannot.
    fn add_reads(&mut self) {
        let orderer_reads =
            !self.impaired.refused.contains(&0) && !self.impaired.frozen.contains(&0);
        for host in 0..self.hosts.len() {
            if self.impaired.refused.contains(&host) || self.is_frozen(host) {
                continue;
            }
            let wait_ms = match (host, orderer_reads) {
                (0, _) => Millis::ZERO,
                (_, true) if self.impaired.reach(0, host) => continue,
                (_, true) => Millis::ZERO,
                // An orderer that stops confirms nothing after a while, as in each other way.
                (_, false) if self.impaired.frozen.contains(&0) => Millis(POLL_MS),
                (_, false) if self.way == Way::BothWays => Millis::ZERO,
                (_, false) => Millis(self.random.u64(0..POLL_MS)),
            };
            self.add(PUBLISHED_AT + wait_ms + STORE_READ_MS, Event::Reads(host));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Reads(host) | Event::Gets(host) => self.take(host),
            Event::Reports(host, rank) => self.report(host, rank),
            Event::Looks(host) => self.look(host),
            Event::Fails(host, other) => {
                let member = self.world.hosts[other].clone();
                self.hosts[host].newer.note_failed(self.now, &member);
                self.hosts[host].is_fetching = false;
                self.look(host);
            }
            Event::Asks(host) => self.ask_others(host),
            Event::Meets(host, other) => {
                self.tell(host, other);
                self.tell(other, host);
            }
            Event::Answers(host, other) => {
                self.note_answer(host, other, true);
                self.handle(Event::Meets(host, other));
            }
            Event::Misses(host, other) => self.note_answer(host, other, false),
        }
    }

    fn add(&mut self, at: Millis, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    /// Tells whether a host answers another.
    fn answers(&self, host: usize, other: usize) -> bool {
        !self.is_frozen(host) && self.impaired.reach(host, other)
    }

    fn is_frozen(&self, host: usize) -> bool {
        self.now >= PUBLISHED_AT && self.impaired.frozen.contains(&host)
    }

    fn interval_ms(&self, host: usize) -> Millis {
        let is_direct = host == 0 || self.parents(host).len() == 1;
        interval_ms(self.world, is_direct)
    }

    /// Returns the hosts to which a host reports: its relays, then the orderer.
    fn parents(&self, host: usize) -> Vec<usize> {
        let relays = self.world.relays_of(&self.world.hosts[host]);
        let relays = relays.iter().map(|relay| self.numbers[&relay.incarnation]);
        relays.chain([0]).collect()
    }

    /// Records at one host that another has the version, if that is how hosts learn it.
    fn tell(&mut self, host: usize, holder: usize) {
        let version = self.hosts[holder].version;
        let member = self.world.hosts[holder].clone();
        let own = &mut self.hosts[host];
        if own
            .newer
            .note(self.now, Some(own.version), &member, Some(version))
        {
            self.look(host);
        }
    }

    fn take(&mut self, host: usize) {
        self.hosts[host].is_fetching = false;
        if self.is_frozen(host) || self.hosts[host].version == VERSION {
            return;
        }
        self.hosts[host].version = VERSION;
        self.hosts[host].newer.note_taken(VERSION);
        let first_at = *self.first_at.get_or_insert(self.now);
        self.spread.last_ms = self.now.since(first_at);
        if self.way != Way::BothWays || host == 0 {
            return;
        }
        // The parent is told at once unless it said that it has the version.
        let parent = self.parents(host)[0];
        if self.hosts[parent].version < VERSION {
            self.call(host, parent);
        }
        if self.is_stale(host) {
            for other in self.neighbours(host) {
                self.call(host, other);
            }
        }
    }

    fn neighbours(&self, host: usize) -> Vec<usize> {
        let me = &self.world.hosts[host];
        let neighbours = &self.hosts[host].neighbours;
        let all = neighbours.all(self.now, self.world.hosts.iter(), me);
        all.iter()
            .map(|other| self.numbers[&other.incarnation])
            .collect()
    }

    fn is_stale(&self, host: usize) -> bool {
        let stale_ms = Millis(self.interval_ms(host).0 * STALE_INTERVALS);
        self.now.since(self.hosts[host].answered_at) >= stale_ms
    }

    /// Lets one host state its version to another, and get the other's.
    fn call(&mut self, host: usize, other: usize) {
        let call = PeerCall::Version {
            from: self.world.hosts[host].incarnation,
            version: Some(VERSION),
        };
        self.count_call(bytes(&call) + CALL_OVERHEAD_BYTES);
        let member = self.world.hosts[other].clone();
        self.hosts[host].neighbours.note_asked(&member);
        match self.answers(other, host) {
            true => self.add(self.now + WAY_MS + WAY_MS, Event::Answers(host, other)),
            false => self.add(self.now + CALL_TIMEOUT_MS, Event::Misses(host, other)),
        }
    }

    fn note_answer(&mut self, host: usize, other: usize, has_answered: bool) {
        let member = self.world.hosts[other].clone();
        let neighbours = &mut self.hosts[host].neighbours;
        neighbours.note_answer(self.now, &member, has_answered);
    }

    fn count_call(&mut self, bytes: usize) {
        if self.now >= PUBLISHED_AT {
            self.spread.calls += 1;
            self.spread.bytes += bytes;
        }
    }

    fn report(&mut self, host: usize, rank: usize) {
        if self.is_frozen(host) {
            return;
        }
        let interval_ms = self.interval_ms(host);
        if host == 0 {
            self.hosts[0].answered_at = self.now;
            return self.add(self.now + interval_ms, Event::Reports(0, 0));
        }
        let parents = self.parents(host);
        let parent = parents[rank];
        if !self.answers(parent, host) {
            let next = if rank + 1 < parents.len() {
                rank + 1
            } else {
                0
            };
            return self.add(self.now + CALL_TIMEOUT_MS, Event::Reports(host, next));
        }
        self.add(self.now + interval_ms, Event::Reports(host, rank));
        let parent_answered_at = match parent {
            0 => self.now,
            _ => self.hosts[parent].answered_at,
        };
        self.hosts[host].answered_at = parent_answered_at;
        match self.way {
            Way::BothWays => self.add(self.now + WAY_MS + WAY_MS, Event::Meets(host, parent)),
            Way::FromAnnouncer => self.tell(host, parent),
            Way::StoreAndRelays if parent != 0 => self.tell(host, parent),
            // A host that the store answers reads what the orderer announces.
            Way::StoreAndRelays => self.read_announced(host),
            Way::RandomHosts => {}
        }
    }

    fn read_announced(&mut self, host: usize) {
        let is_told = self.hosts[0].version == VERSION && self.answers(0, host);
        if is_told && !self.impaired.refused.contains(&host) {
            self.add(self.now + STORE_READ_MS, Event::Reads(host));
        }
    }

    fn look(&mut self, host: usize) {
        if self.is_frozen(host) || self.hosts[host].is_fetching {
            return;
        }
        let is_refused = self.impaired.refused.contains(&host);
        let patience_ms = if is_refused {
            Millis::ZERO
        } else {
            STORE_HEAD_START_MS
        };
        match self.hosts[host].newer.next_fetch(self.now, patience_ms) {
            NextFetch::Nothing => {}
            NextFetch::At(at) => {
                // The store is asked meanwhile.
                if !is_refused {
                    self.add(self.now + STORE_READ_MS, Event::Reads(host));
                }
                self.add(at, Event::Looks(host));
            }
            NextFetch::From(holder) => self.fetch(host, &holder),
        }
    }

    fn fetch(&mut self, host: usize, holder: &Member) {
        let other = self.numbers[&holder.incarnation];
        self.hosts[host].is_fetching = true;
        if !self.answers(other, host) {
            return self.add(self.now + CALL_TIMEOUT_MS, Event::Fails(host, other));
        }
        self.count_call(self.state_bytes + CALL_OVERHEAD_BYTES);
        let sent_ms = Millis(self.state_bytes as u64 * 8 / HOST_LINK_MBPS / 1_000);
        let at = self.now + WAY_MS + WAY_MS + sent_ms;
        self.add(at, Event::Gets(host));
    }

    fn ask_others(&mut self, host: usize) {
        if self.is_frozen(host) {
            return;
        }
        self.add(self.now + self.interval_ms(host), Event::Asks(host));
        let asked = match self.way {
            Way::RandomHosts => vec![self.random.usize(0..self.hosts.len())],
            Way::BothWays if self.is_stale(host) => {
                let me = &self.world.hosts[host];
                let neighbours = &mut self.hosts[host].neighbours;
                let next = neighbours.next(self.now, self.world.hosts.iter(), me);
                let next = next.iter().map(|other| self.numbers[&other.incarnation]);
                next.collect()
            }
            _ => Vec::new(),
        };
        for other in asked.into_iter().filter(|other| *other != host) {
            self.call(host, other);
        }
    }
}
