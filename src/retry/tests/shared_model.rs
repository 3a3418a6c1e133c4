//! Model of a site whose engines run dozens of requests each, of which some have a part that crashes
//! the engine at the beginning of the answer, while hosts are killed, frozen and disconnected.

use super::digest;
use super::network::{Network, SETTLE_MS, STEP_MS};
use crate::prelude::*;
use crate::retry::interrupted_requests::{BEGINNING_MS, InterruptedRun};
use crate::retry::quarantine::SharedHold;
use crate::retry::{RequestCauses, RequestDigest, SharedCause, VersionTag};
use crate::upstreams::Lifetime;

pub const START: Millis = Millis(10_000_000);
/// The crash from which on the users' rule counts.
const COUNTED_CRASH: usize = 5;
/// How long an engine is unavailable after a crash.
const ENGINE_DOWN_MS: Millis = Millis(2_000);
/// First parts that the sound requests of the route share.
const FIRST_PARTS: u64 = 3;
/// Second parts of sound requests.
const SECOND_PARTS: u64 = 69;
/// A first part that only requests with crashing parts use, unless [`Traffic::sound_with_rare`].
const RARE_FIRST_PART: u64 = 900;
/// The first of the crashing parts.
const CRASHING_PART: u64 = 1_000;
/// Maximum number of engines that one request runs at.
const MAX_ATTEMPTS: u32 = 2;

/// What callers send.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// How many crashing parts there are.
    pub crashing_parts: u64,
    /// Whether requests with them use the first part that no other requests use.
    pub crashing_with_rare: bool,
    /// Whether sound requests use that first part too.
    pub sound_with_rare: bool,
    /// Whether engines also crash for other reasons, one every 300 ms.
    pub other_crashes: bool,
    /// Whether hosts send requests with a suspected part on like others, to compare.
    pub resend_suspected: bool,
}

/// How many requests had which fate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Sound requests that callers sent.
    pub offered: usize,
    /// Those that began at their first attempt.
    pub begun: usize,
    /// Those that hosts refused for a part.
    pub refused: usize,
}

struct Engine {
    lifetime: Lifetime,
    down_until: Millis,
}

#[derive(Clone)]
struct Run {
    causes: Arc<RequestCauses>,
    crashing_part: Option<usize>,
    first_part: u64,
    host: usize,
    engine: usize,
    sent_at: Millis,
    begins_at: Millis,
    ends_at: Millis,
    attempt: u32,
    has_begun: bool,
    goes_on: bool,
}

/// The site.
pub struct SharedModel {
    pub network: Network,
    pub traffic: Traffic,
    /// Crashes by each crashing part.
    pub crashes: Vec<usize>,
    /// Sends of each crashing part by hosts in touch more than [`SETTLE_MS`] after its fifth crash.
    pub late_sends: Vec<usize>,
    /// Sound requests with a first part that crashing requests use.
    pub sound: Counts,
    counted_since: Vec<Option<Millis>>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    starts: usize,
    requests: usize,
    random: fastrand::Rng,
    crashing_at: Millis,
    other_crash_at: Millis,
}

impl SharedModel {
    /// Creates a site of `hosts` hosts, of which the first `relays` are relays.
    pub fn new(hosts: usize, relays: usize, traffic: Traffic, seed: u64) -> Self {
        let parts = traffic.crashing_parts as usize;
        let mut model = Self {
            network: Network::new(START, hosts, relays),
            traffic,
            crashes: vec![0; parts],
            late_sends: vec![0; parts],
            sound: Counts::default(),
            counted_since: vec![None; parts],
            engines: Vec::new(),
            runs: Vec::new(),
            starts: 0,
            requests: 0,
            random: fastrand::Rng::with_seed(seed),
            crashing_at: START,
            other_crash_at: START,
        };
        for _ in 0..hosts.min(24) + 3 {
            let engine = model.next_engine();
            model.engines.push(engine);
        }
        model
    }

    fn next_engine(&mut self) -> Engine {
        self.starts += 1;
        Engine {
            lifetime: super::engine(self.starts),
            down_until: self.network.now,
        }
    }

    /// Simulates `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.network.now + Millis(ms);
        while self.network.now < until {
            self.advance_runs();
            self.network.step();
            self.send_requests();
            self.crash_for_other_reasons();
            self.network.now += STEP_MS;
        }
    }

    /// Kills a host, which restarts at once.
    pub fn kill(&mut self, host: usize) {
        self.network.kill(host);
        self.runs.retain(|run| run.host != host);
    }

    /// Kills all hosts; each reads the stored evidence when it restarts.
    pub fn kill_all(&mut self) {
        for host in 0..self.network.len() {
            self.kill(host);
            self.network.restore(host);
        }
    }

    /// Returns the parts of sound requests that hosts in touch hold back.
    pub fn held_sound_parts(&mut self) -> IndexSet<u64> {
        let now = self.network.now;
        let second_parts = 100..100 + SECOND_PARTS;
        let parts: Vec<u64> = (0..FIRST_PARTS).chain(second_parts).collect();
        let mut held = IndexSet::new();
        for host in 0..self.network.len() {
            if !self.network.is_in_touch(host) {
                continue;
            }
            for part in &parts {
                let sound = causes(digest("sound"), &[*part]);
                let hold = self.network.quarantine(host).hold(now, &sound, None);
                held.extend(hold.map(|_| *part));
            }
        }
        held
    }

    /// Returns how many causes the hosts hold back, at most at any of them.
    pub fn held_count(&mut self) -> usize {
        let hosts = 0..self.network.len();
        let held = hosts.map(|host| self.network.quarantine(host).held_count());
        held.max().unwrap_or(0)
    }

    fn advance_runs(&mut self) {
        let now = self.network.now;
        let mut n = 0;
        while n < self.runs.len() {
            let run = &mut self.runs[n];
            if self.network.is_frozen(run.host) {
                n += 1;
                continue;
            }
            if now >= run.begins_at && run.crashing_part.is_some() {
                let engine = run.engine;
                self.crash_engine(engine);
                n = 0;
                continue;
            }
            if now >= run.begins_at && !std::mem::replace(&mut run.has_begun, true) {
                let is_counted = run.attempt == 1 && is_shared_first(&self.traffic, run.first_part);
                self.sound.begun += usize::from(is_counted);
            }
            let quarantine = self.network.quarantine(run.host);
            if now >= run.begins_at + BEGINNING_MS && !std::mem::replace(&mut run.goes_on, true) {
                quarantine.note_answered(now, &run.causes, VersionTag::of(None));
            }
            if now < run.ends_at {
                n += 1;
                continue;
            }
            quarantine.note_completed(now, run.causes.digest);
            quarantine.note_answered(now, &run.causes, VersionTag::of(None));
            self.runs.swap_remove(n);
        }
    }

    /// Crashes an engine, whatever requests it runs.
    pub fn crash_engine(&mut self, engine: usize) {
        let now = self.network.now;
        if now < self.engines[engine].down_until {
            return;
        }
        let (here, others): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.engine == engine);
        self.runs = others;
        self.note_crash(engine, &here);
        for run in &here {
            if let Some(part) = run.crashing_part.filter(|_| now >= run.begins_at) {
                self.crashes[part] += 1;
                if self.crashes[part] == COUNTED_CRASH {
                    self.counted_since[part] = Some(now);
                }
            }
        }
        let mut next = self.next_engine();
        next.down_until = now + ENGINE_DOWN_MS;
        self.engines[engine] = next;
        for run in here {
            self.send_on(run);
        }
    }

    fn note_crash(&mut self, engine: usize, here: &[Run]) {
        let now = self.network.now;
        let lifetime = self.engines[engine].lifetime.clone();
        for run in here {
            let has_begun = now >= run.begins_at && run.crashing_part.is_none();
            let interrupted = InterruptedRun {
                causes: run.causes.clone(),
                version: VersionTag::of(None),
                sent_at: run.sent_at,
                answered_ms: has_begun.then(|| now.since(run.begins_at)),
            };
            let quarantine = self.network.quarantine(run.host);
            quarantine.note_connection_lost(now, &lifetime, &interrupted);
        }
        for run in here {
            self.network
                .quarantine(run.host)
                .note_crashed(now, &lifetime);
        }
    }

    /// Sends a request of a crashed engine once more, or lets its caller repeat it at another host.
    fn send_on(&mut self, run: Run) {
        let is_suspected = self
            .network
            .quarantine(run.host)
            .is_suspected(&run.causes, None);
        let may_resend = self.traffic.resend_suspected || !is_suspected;
        let (host, attempt) = match run.attempt < MAX_ATTEMPTS && may_resend {
            true => (run.host, run.attempt + 1),
            false if run.attempt <= MAX_ATTEMPTS && self.random.bool() => {
                (self.random.usize(0..self.network.len()), MAX_ATTEMPTS + 1)
            }
            false => return,
        };
        self.send(run.causes, run.first_part, run.crashing_part, host, attempt);
    }

    fn crash_for_other_reasons(&mut self) {
        if self.traffic.other_crashes && self.network.now >= self.other_crash_at {
            self.other_crash_at = self.network.now + Millis(300);
            let engine = self.random.usize(0..self.engines.len());
            self.crash_engine(engine);
        }
    }

    fn send_requests(&mut self) {
        for _ in 0..self.engines.len() / 3 {
            let is_rare = self.traffic.sound_with_rare && self.random.u32(0..4) == 0;
            let first_part = match is_rare {
                true => RARE_FIRST_PART,
                false => self.random.u64(0..FIRST_PARTS),
            };
            let second_part = 100 + self.random.u64(0..SECOND_PARTS);
            self.send_new(first_part, second_part, None);
        }
        if self.traffic.crashing_parts > 0 && self.network.now >= self.crashing_at {
            let pause_ms = self.random.u64(100..1_200);
            self.crashing_at = self.network.now + Millis(pause_ms / self.traffic.crashing_parts);
            let part = self.random.u64(0..self.traffic.crashing_parts);
            let first_part = match self.traffic.crashing_with_rare {
                true => RARE_FIRST_PART,
                false => self.random.u64(0..FIRST_PARTS),
            };
            self.send_new(first_part, CRASHING_PART + part, Some(part as usize));
        }
    }

    fn send_new(&mut self, first_part: u64, second_part: u64, crashing_part: Option<usize>) {
        self.requests += 1;
        let digest = digest(&format!("request {}", self.requests));
        let causes = Arc::new(causes(digest, &[first_part, second_part]));
        let host = self.random.usize(0..self.network.len());
        self.send(causes, first_part, crashing_part, host, 1);
    }

    fn send(
        &mut self,
        causes: Arc<RequestCauses>,
        first_part: u64,
        crashing_part: Option<usize>,
        host: usize,
        attempt: u32,
    ) {
        if self.network.is_frozen(host) {
            return;
        }
        let now = self.network.now;
        let is_counted =
            attempt == 1 && crashing_part.is_none() && is_shared_first(&self.traffic, first_part);
        self.sound.offered += usize::from(is_counted);
        let is_orderer = self.network.orderer == Some(host);
        let quarantine = self.network.quarantine(host);
        quarantine.take_held_changes(now);
        let hold = quarantine.hold(now, &causes, None);
        let is_trial =
            |shared: &SharedHold| is_orderer && quarantine.take_early_trial(now, shared.cause);
        if let Some(hold) = hold
            && !hold.shared.as_ref().is_some_and(is_trial)
        {
            self.sound.refused += usize::from(crashing_part.is_none());
            return;
        }
        let ready: Vec<usize> = (0..self.engines.len())
            .filter(|engine| now >= self.engines[*engine].down_until)
            .collect();
        let Some(engine) = self.random.choice(ready) else {
            return;
        };
        if let Some(part) = crashing_part {
            let is_late = self.counted_since[part].is_some_and(|at| now.since(at) > SETTLE_MS);
            self.late_sends[part] += usize::from(is_late && self.network.is_in_touch(host));
        }
        let begins_at = now + Millis(self.random.u64(20..250));
        self.runs.push(Run {
            causes,
            crashing_part,
            first_part,
            host,
            engine,
            sent_at: now,
            begins_at,
            ends_at: begins_at + Millis(self.random.u64(50..3_000)),
            attempt,
            has_begun: false,
            goes_on: false,
        });
    }
}

/// Returns the causes of a request for the site's only model.
fn causes(digest: RequestDigest, parts: &[u64]) -> RequestCauses {
    let parts = parts.iter().map(|part| SharedCause::part("s", *part));
    RequestCauses {
        digest,
        shared: parts.chain([SharedCause::model("s", "m")]).collect(),
    }
}

/// Tells whether crashing requests use a first part.
fn is_shared_first(traffic: &Traffic, first_part: u64) -> bool {
    (first_part == RARE_FIRST_PART) == traffic.crashing_with_rare
}
