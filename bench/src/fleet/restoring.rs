//! A store that is restored from an older copy: what hosts read from it until all of them follow the
//! restored tables, and how long a change made at its return takes to them.
//!
//! Compares two ways. In the one that is built, hosts learn of the new era with the messages that they
//! get anyway, and fetch the tables from their relays. In the other, each host reads both tables anew
//! when its next renewal of its membership shows the new era.

use crate::fleet::exchange::{WAY_MS, bytes, interval_ms};
use crate::fleet::world::World;
use mangovale::entry::list_copy::part_entries;
use mangovale::entry::platform::Table;
use mangovale::entry::replication::{NextStep, ReplicationState, TablesUpdate};
use mangovale::group::Member;
use mangovale::prelude::*;
use serde::Serialize;

const TICK_MS: Millis = Millis(5);
/// How long a read of the orderer waits for a change.
const ORDERER_WAIT_MS: Millis = Millis(400);
/// How often a host renews its membership, which shows the era to it.
const JOIN_EACH_MS: Millis = Millis(1_000);
/// The rows of a page of the store.
const PAGE_ROWS: usize = 500;
/// How many calls a second the store answers.
const CALLS_PER_S: u64 = 2_000;
/// For how long a host goes by what the orderer said.
const WITHIN_MS: Millis = Millis(1_500);
/// When hosts that do not know the restored tables are given up.
const GIVE_UP_MS: Millis = Millis(20_000);

/// What it takes until all hosts follow the restored tables, in one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Way {
    /// Calls of the store.
    pub calls: usize,
    /// The most calls within 100 ms.
    pub most_calls_in_100_ms: usize,
    /// Bytes that the store sends.
    pub store_bytes: usize,
    /// Bytes that the busiest relay sends.
    pub relay_bytes: usize,
    /// When the last host has the restored tables.
    pub in_force_ms: Millis,
}

/// Both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Restoring {
    /// Over relays.
    pub over_relays: Way,
    /// Each host by itself.
    pub each_by_itself: Way,
}

/// Measures a restoration; `seed` draws when hosts speak.
pub fn measure(world: &World, seed: u64) -> Restoring {
    Restoring {
        over_relays: Site::new(world, seed).run(),
        each_by_itself: each_by_itself(world, seed),
    }
}

/// The calls that read both tables anew: the end of each waiting read, the desired state, and the
/// pages of the list.
fn reload_calls(world: &World) -> usize {
    2 + 1 + list_pages(world)
}

fn list_pages(world: &World) -> usize {
    world.upstreams.count().div_ceil(PAGE_ROWS).max(1)
}

fn list_bytes(world: &World) -> usize {
    bytes(&part_entries(&world.upstreams, 0, 1))
}

fn each_by_itself(world: &World, seed: u64) -> Way {
    let mut random = fastrand::Rng::with_seed(seed);
    let hosts = world.hosts.len();
    let list_bytes = list_bytes(world);
    let calls = hosts * reload_calls(world);
    let mut asks_at: Vec<u64> = (0..hosts).map(|_| random.u64(0..JOIN_EACH_MS.0)).collect();
    asks_at.sort_unstable();
    let in_100_ms = |from: u64| {
        asks_at
            .iter()
            .filter(|at| (from..from + 100).contains(*at))
            .count()
    };
    let most = (0..JOIN_EACH_MS.0).map(in_100_ms).max().unwrap_or(0);
    // The store answers no more calls a second, whatever hosts send.
    let answered_ms = Millis(calls as u64 * 1_000 / CALLS_PER_S);
    let last_asked_ms = asks_at.last().copied().map_or(Millis::ZERO, Millis);
    Way {
        calls,
        most_calls_in_100_ms: most * reload_calls(world),
        store_bytes: hosts * list_bytes,
        relay_bytes: 0,
        in_force_ms: last_asked_ms.max(answered_ms) + WAY_MS + WAY_MS,
    }
}

/// A host other than the orderer.
struct Asking {
    followed: ReplicationState,
    relay: Option<usize>,
    asks_at: Millis,
    interval_ms: Millis,
    sent_bytes: usize,
}

struct Site<'a> {
    world: &'a World,
    orderer: ReplicationState,
    orderer_reads_at: Millis,
    relays: Vec<Asking>,
    others: Vec<Asking>,
    /// When calls reach the store.
    calls_at: Vec<Millis>,
    store_bytes: usize,
    list_bytes: usize,
}

impl<'a> Site<'a> {
    fn new(world: &'a World, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let relays: Vec<u64> = world.relays().map(|relay| relay.incarnation).collect();
        let mut asking = |relay: Option<usize>| {
            let interval_ms = interval_ms(world, relay.is_none());
            Asking {
                followed: copy_of_former_store(),
                relay,
                asks_at: Millis(random.u64(0..interval_ms.0)),
                interval_ms,
                sent_bytes: 0,
            }
        };
        let first_relay = |host: &Member| {
            let first = *world.relays_of(host).first()?;
            relays.iter().position(|own| *own == first.incarnation)
        };
        let is_other = |host: &&Member| !world.tree.is_relay(host.incarnation);
        let others = world.hosts.iter().filter(is_other);
        let others = others.map(|host| asking(first_relay(host))).collect();
        Self {
            relays: relays.iter().map(|_| asking(None)).collect(),
            others,
            world,
            orderer: copy_of_former_store(),
            orderer_reads_at: Millis(fastrand::Rng::with_seed(seed).u64(0..ORDERER_WAIT_MS.0)),
            calls_at: Vec::new(),
            store_bytes: 0,
            list_bytes: list_bytes(world),
        }
    }

    /// Runs from the return of the store until all hosts follow the restored list.
    fn run(mut self) -> Way {
        let mut now = Millis::ZERO;
        while !self.is_restored() && now < GIVE_UP_MS {
            now += TICK_MS;
            self.step(now);
        }
        let in_100_ms = |from: &Millis| {
            let later = self.calls_at.iter();
            later
                .filter(|at| *from <= **at && **at < *from + Millis(100))
                .count()
        };
        Way {
            calls: self.calls_at.len(),
            most_calls_in_100_ms: self.calls_at.iter().map(in_100_ms).max().unwrap_or(0),
            store_bytes: self.store_bytes,
            relay_bytes: self
                .relays
                .iter()
                .map(|relay| relay.sent_bytes)
                .max()
                .unwrap_or(0),
            in_force_ms: now + WAY_MS + WAY_MS,
        }
    }

    fn is_restored(&self) -> bool {
        let mut hosts = self.relays.iter().chain(&self.others);
        hosts.all(|host| {
            host.followed
                .next_position()
                .is_some_and(|next| next.era == RESTORED)
        })
    }

    fn step(&mut self, now: Millis) {
        if now >= self.orderer_reads_at
            && self
                .orderer
                .next_position()
                .is_some_and(|at| at.era < RESTORED)
        {
            read_anew(&self.orderer, now);
            self.note_reload(now);
        }
        for at in 0..self.relays.len() {
            if self.relays[at].is_due(now) {
                let told = self
                    .orderer
                    .update_for(now, self.relays[at].followed.next_position());
                if self.relays[at].must_reload(now, told) {
                    read_anew(&self.relays[at].followed, now);
                    self.note_reload(now);
                }
            }
        }
        for at in 0..self.others.len() {
            if !self.others[at].is_due(now) {
                continue;
            }
            let wants_from = self.others[at].followed.next_position();
            let relay = self.others[at].relay;
            let told = match relay {
                Some(relay) => self.relays[relay].followed.update_for(now, wants_from),
                None => self.orderer.update_for(now, wants_from),
            };
            if self.others[at].must_reload(now, told) {
                read_anew(&self.others[at].followed, now);
                match relay {
                    Some(relay) => self.relays[relay].sent_bytes += self.list_bytes,
                    None => self.note_reload(now),
                }
            }
        }
    }

    fn note_reload(&mut self, now: Millis) {
        let calls = reload_calls(self.world);
        self.calls_at.extend(std::iter::repeat_n(now, calls));
        self.store_bytes += self.list_bytes;
    }
}

/// The era of the restored store.
const RESTORED: Era = Era(2);

impl Asking {
    fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.asks_at;
        if is_due {
            self.asks_at += self.interval_ms;
        }
        is_due
    }

    /// Applies what it is told, and tells whether it has to read or fetch the tables anew.
    fn must_reload(&self, now: Millis, told: TablesUpdate) -> bool {
        self.followed.apply_update(now, told);
        let next = self.followed.next(now, Table::Upstreams, WITHIN_MS);
        matches!(next, NextStep::CatchUp)
    }
}

fn copy_of_former_store() -> ReplicationState {
    let followed = ReplicationState::default();
    let end = Position::new(Era(RESTORED.0 - 1), 1_000_000);
    followed.note_read(Table::Upstreams, Millis::ZERO, end);
    followed
}

fn read_anew(followed: &ReplicationState, now: Millis) {
    let end = Position::new(RESTORED, 900_000);
    followed.note_read(Table::Upstreams, now, end);
    followed.clear_buffered_rows();
}
