//! A model of hosts that hear from upstreams that they leave or want rest: without network, in steps, with random
//! faults. Each host has a registry of its own, which gets the rows of the list late or not at all
//! and the answers of upstreams after some steps.

use super::*;
use fastrand::Rng;

/// The length of a step.
const STEP_MS: u64 = 20;
/// How many steps a run has with faults, and then without.
const STEPS: u64 = 1_000;
const CALM_STEPS: u64 = 400;
/// The most steps that a row, a connection, a request or an answer takes.
const MAX_DELAY_STEPS: u64 = 12;
/// The longest rest that an upstream asks for.
const MAX_REST_MS: u64 = 2_000;
const HOSTS: usize = 3;
const UPSTREAMS: usize = 4;

/// An upstream under its name: its present lifetime.
#[derive(Clone)]
struct FakeUpstream {
    lifetime: Lifetime,
    says_leaving: bool,
    /// Whether it turns requests away and asks for rest.
    is_overloaded: bool,
}

/// What reaches a host in a later step.
#[derive(Clone)]
enum Event {
    /// The newest entry of an upstream's list entry, written at this time.
    Row(UpstreamEntry),
    /// The entry of an upstream lapsed.
    Lapsed(Name),
    /// A connection for a request is open.
    Connected(Lifetime),
    /// An answer.
    Answer(Lifetime, Notice),
}

/// A host, with what a process that hears every answer must know.
#[derive(Default)]
struct FakeHost {
    registry: Registry,
    /// Events by the step in which they arrive.
    events: Vec<(u64, Event)>,
    /// The lifetimes that told this process that they leave.
    told: IndexSet<Lifetime>,
    /// Until when lifetimes that asked this process for rest get nothing.
    rests: IndexMap<Lifetime, Millis>,
    frozen_until: u64,
    cut_until: u64,
}

/// A site, and what its upstreams wrote into the list.
struct Model {
    rng: Rng,
    step: u64,
    hosts: Vec<FakeHost>,
    upstreams: Vec<FakeUpstream>,
    /// The newest row of each upstream that the store has.
    rows: Vec<UpstreamEntry>,
    store_away_until: u64,
    /// Until when no orderer passes rows on, so that hosts read them by themselves, later.
    orderer_lost_until: u64,
    sends: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
            .map(|n| FakeUpstream {
                lifetime: lifetime(&format!("u{n}"), 1),
                says_leaving: false,
                is_overloaded: false,
            })
            .collect();
        let rows = upstreams.iter().map(row_of).collect();
        let mut model = Self {
            rng: Rng::with_seed(seed),
            step: 0,
            hosts: (0..HOSTS).map(|_| FakeHost::default()).collect(),
            upstreams,
            rows,
            store_away_until: 0,
            orderer_lost_until: 0,
            sends: 0,
        };
        for host in 0..HOSTS {
            model.start_host(host);
        }
        model
    }

    fn now(&self) -> Millis {
        Millis(self.step * STEP_MS)
    }

    /// Starts a process, which reads the whole list.
    fn start_host(&mut self, host: usize) {
        self.hosts[host] = FakeHost::default();
        for row in &self.rows {
            self.hosts[host].registry.put(row.clone());
        }
    }

    fn delay(&mut self) -> u64 {
        self.step + 1 + self.rng.u64(0..MAX_DELAY_STEPS)
    }

    /// Sends the newest row of an upstream to all hosts, also repeatedly and late.
    fn publish(&mut self, upstream: usize) {
        if self.step < self.store_away_until {
            return;
        }
        self.rows[upstream] = row_of(&self.upstreams[upstream]);
        for host in 0..HOSTS {
            let lost_steps = self.orderer_lost_until.saturating_sub(self.step);
            let at = self.delay() + lost_steps;
            let row = self.rows[upstream].clone();
            self.hosts[host].events.push((at, Event::Row(row)));
        }
    }

    fn inject_fault(&mut self) {
        let until = self.step + self.rng.u64(10..150);
        let host = self.rng.usize(0..HOSTS);
        let upstream = self.rng.usize(0..UPSTREAMS);
        match self.rng.u8(0..11) {
            0 => self.start_host(host),
            1 => self.hosts[host].frozen_until = until,
            2 => self.hosts[host].cut_until = until,
            3 => self.store_away_until = until,
            4 => self.orderer_lost_until = until,
            5 | 6 => self.upstreams[upstream].says_leaving = true,
            7 => self.upstreams[upstream].is_overloaded = true,
            8 => self.upstreams[upstream].is_overloaded = false,
            9 => {
                let id = self.upstreams[upstream].lifetime.id.clone();
                let at = self.delay();
                self.hosts[host].events.push((at, Event::Lapsed(id)));
            }
            _ => {
                let known = &mut self.upstreams[upstream];
                known.lifetime.born_at += Millis(1);
                known.says_leaving = false;
                known.is_overloaded = false;
            }
        }
    }

    fn step(&mut self, with_faults: bool) {
        self.step += 1;
        if with_faults && self.rng.u8(0..20) == 0 {
            self.inject_fault();
        }
        let upstream = self.rng.usize(0..UPSTREAMS);
        self.publish(upstream);
        for host in 0..HOSTS {
            self.run_host(host);
        }
    }

    fn run_host(&mut self, host: usize) {
        if self.step < self.hosts[host].frozen_until {
            return;
        }
        let now = self.now();
        self.hosts[host].registry.note_list_reached(now);
        let (due, later) = std::mem::take(&mut self.hosts[host].events)
            .into_iter()
            .partition(|(at, _)| *at <= self.step);
        self.hosts[host].events = later;
        let is_cut = self.step < self.hosts[host].cut_until;
        for (_, event) in due {
            match event {
                Event::Row(_) | Event::Lapsed(_) | Event::Answer(..) if is_cut => {}
                Event::Lapsed(id) => drop(self.hosts[host].registry.remove(now, &id)),
                Event::Row(row) => drop(self.hosts[host].registry.put(row)),
                Event::Answer(lifetime, notice) => self.hear(host, &lifetime, notice),
                Event::Connected(lifetime) => self.send(host, lifetime),
            }
        }
        let usable: Vec<Lifetime> = {
            let usable = self.hosts[host].registry.usable("service");
            let available = usable.filter(|upstream| upstream.accepts_requests(now));
            available.map(Upstream::lifetime).collect()
        };
        if let Some(chosen) = self.rng.choice(usable) {
            let at = self.delay();
            self.hosts[host].events.push((at, Event::Connected(chosen)));
        }
    }

    fn hear(&mut self, host: usize, lifetime: &Lifetime, notice: Notice) {
        let now = self.now();
        let host = &mut self.hosts[host];
        host.registry.record_notice(now, lifetime, notice);
        if notice.is_leaving {
            host.told.insert(lifetime.clone());
        }
        if let Some(rest_ms) = notice.rest_ms {
            let until = host.rests.entry(lifetime.clone()).or_default();
            *until = (*until).max(now + rest_ms);
        }
    }

    /// Sends a request if the upstream still accepts one, and lets the answer follow.
    fn send(&mut self, host: usize, lifetime: Lifetime) {
        let now = self.now();
        if !self.hosts[host].registry.accepts_requests(now, &lifetime) {
            return;
        }
        let rests_until = self.hosts[host].rests.get(&lifetime);
        assert!(
            rests_until.is_none_or(|until| now >= *until),
            "step {}: host {host} sends to {lifetime:?}, which asked it for rest",
            self.step
        );
        assert!(
            !self.hosts[host].told.contains(&lifetime),
            "step {}: host {host} sends to {lifetime:?}, which told it that it leaves",
            self.step
        );
        self.sends += 1;
        let answering = self
            .upstreams
            .iter()
            .find(|upstream| upstream.lifetime == lifetime);
        let Some(answering) = answering.cloned() else {
            return;
        };
        let rest_ms = Millis(self.rng.u64(1..MAX_REST_MS));
        let notice = Notice {
            is_leaving: answering.says_leaving,
            rest_ms: answering.is_overloaded.then_some(rest_ms),
        };
        let at = self.delay();
        let answer = Event::Answer(lifetime, notice);
        self.hosts[host].events.push((at, answer));
    }

    /// Checks that every host uses the upstreams that are there and told nobody that they leave.
    fn check_usable(&self) {
        for (number, host) in self.hosts.iter().enumerate() {
            for upstream in self.upstreams.iter().filter(|one| !one.says_leaving) {
                assert!(
                    host.registry
                        .accepts_requests(self.now(), &upstream.lifetime),
                    "host {number} does not use {:?}",
                    upstream.lifetime
                );
            }
        }
    }
}

fn row_of(upstream: &FakeUpstream) -> UpstreamEntry {
    UpstreamEntry {
        born_at: upstream.lifetime.born_at,
        leaving: upstream.says_leaving,
        ..entry(&upstream.lifetime.id)
    }
}

// Guards against requests to an upstream after it told the host in an answer that it leaves, or
// within the rest that it asked for, in any order of answers, rows, connections and faults; and
// against not using it after its rest, or not using its next lifetime.
#[test]
fn no_host_sends_to_a_lifetime_that_told_it_that_it_leaves_or_rests() {
    for seed in 0..200 {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step(true);
        }
        for upstream in &mut model.upstreams {
            upstream.is_overloaded = false;
        }
        model.store_away_until = 0;
        model.orderer_lost_until = 0;
        for _ in 0..CALM_STEPS {
            model.step(false);
        }
        model.check_usable();
        assert!(model.sends > 100, "seed {seed}: {} sends", model.sends);
    }
}

// Guards against losing a rest with the entry of the upstream that asked for it.
#[test]
fn a_rest_outlives_an_entry_that_lapses_and_comes_back() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    let notice = Notice {
        is_leaving: false,
        rest_ms: Some(Millis(3_000)),
    };
    let first = lifetime("a", 0);
    registry.record_notice(Millis(0), &first, notice);
    registry.remove(Millis(500), "a");
    registry.put(entry("a"));
    assert!(!registry.accepts_requests(Millis(2_999), &first));
    assert!(registry.accepts_requests(Millis(3_000), &first));
}

// Guards against using a lifetime again that stated that it leaves while its entry had lapsed.
#[test]
fn a_lifetime_that_says_that_it_leaves_while_its_entry_has_lapsed_is_not_used_again() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    registry.remove(Millis(0), "a");
    let notice = Notice {
        is_leaving: true,
        rest_ms: None,
    };
    registry.record_notice(Millis(1), &lifetime("a", 0), notice);
    registry.put(entry("a"));
    assert_eq!(usable(&registry), [""; 0]);
}

#[test]
fn a_statement_outlives_the_entry_of_its_lifetime_but_not_the_lifetime() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    let first = lifetime("a", 0);
    let notice = Notice {
        is_leaving: true,
        rest_ms: None,
    };
    let change = registry.record_notice(Millis(0), &first, notice);
    assert_eq!(change, Some(NoticeChange::Leaving));
    assert_eq!(registry.record_notice(Millis(0), &first, notice), None);
    registry.remove(Millis(0), "a");
    registry.put(entry("a"));
    assert_eq!(usable(&registry), [""; 0]);
    let next = UpstreamEntry {
        born_at: Millis(1),
        ..entry("a")
    };
    registry.put(next);
    assert_eq!(registry.record_notice(Millis(0), &first, notice), None);
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn a_rest_lasts_for_the_longest_time_asked_for_and_ends_with_the_lifetime() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    let first = lifetime("a", 0);
    let rest = |rest_ms| Notice {
        is_leaving: false,
        rest_ms: Some(Millis(rest_ms)),
    };
    let change = registry.record_notice(Millis(1_000), &first, rest(3_000));
    assert_eq!(change, Some(NoticeChange::Resting(Millis(4_000))));
    assert_eq!(
        registry.record_notice(Millis(1_500), &first, rest(500)),
        None
    );
    assert_eq!(registry.record_notice(Millis(1_500), &first, rest(0)), None);
    assert!(!registry.accepts_requests(Millis(3_999), &first));
    assert!(registry.accepts_requests(Millis(4_000), &first));
    registry.record_notice(Millis(5_000), &first, rest(u64::MAX));
    assert!(!registry.accepts_requests(Millis(6_000), &first));
    assert!(registry.accepts_requests(Millis(5_000 + 24 * 3_600 * 1_000), &first));
    registry.put(UpstreamEntry {
        born_at: Millis(1),
        ..entry("a")
    });
    assert!(registry.accepts_requests(Millis(6_000), &lifetime("a", 1)));
}
