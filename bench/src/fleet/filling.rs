//! A list of upstreams that is empty when all hosts start, and written by some thousand rows a second: what passes
//! through relays, what hosts ask for beyond it, and how long the last row takes to all of them.
//!
//! Answers the pattern of a site whose upstreams all write their first entry after the hosts started: the larger the
//! site is, the longer rows come.

use crate::fleet::exchange::{bytes, interval_ms};
use crate::fleet::world::World;
use mangovale::entry::peers::CALL_TIMEOUT_MS;
use mangovale::entry::platform::{RowValue, Table, TableRow};
use mangovale::entry::replication::{NextStep, ReplicationState, TablesUpdate};
use mangovale::group::Member;
use mangovale::prelude::*;
use mangovale::upstreams::Upstream;
use serde::Serialize;

/// How many rows upstreams write in a second while all of them do, whatever their number.
const ROWS_PER_S: u64 = 1_300;
/// The pause between two reads of the orderer.
const READ_EACH_MS: Millis = Millis(100);
const TICK_MS: Millis = Millis(10);
/// For how long a host goes by what the orderer said.
const WITHIN_MS: Millis = Millis(3_000);
/// How long after the last row was written hosts that do not know it are given up.
const GIVE_UP_MS: Millis = Millis(20_000);

/// What it takes until all hosts know such a list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Filling {
    /// Reads of the store by other hosts than the orderer.
    pub store_reads: usize,
    /// How often a host that was behind took the whole list from its relay.
    pub whole_lists: usize,
    /// Rows of the longest message.
    pub longest_message_rows: usize,
    /// Bytes a second that the busiest relay sends.
    pub relay_bytes_per_s: f64,
    /// Bytes a second that any other host gets.
    pub host_bytes_per_s: f64,
    /// How long after it was written the last row was known to all hosts.
    pub last_row_ms: Millis,
    /// What hosts asked for beyond their relays when the busiest of these was lost while the list was written.
    pub beyond_after_loss: usize,
}

/// Measures the writing of a list; `seed` draws when hosts speak.
pub fn measure(world: &World, seed: u64) -> Filling {
    let mut site = Site::new(world, seed);
    let now = site.run(None);
    let mut disturbed = Site::new(world, seed);
    disturbed.run(site.busiest_relay());
    let per_s = |bytes: usize| bytes as f64 * 1_000.0 / now.0 as f64;
    Filling {
        store_reads: site.count(|host| host.store_reads),
        whole_lists: site.count(|host| host.whole_lists),
        longest_message_rows: site.longest_message_rows,
        relay_bytes_per_s: per_s(
            site.busiest_relay()
                .map_or(0, |at| site.relays[at].sent_bytes),
        ),
        host_bytes_per_s: per_s(site.sent_to_hosts_bytes) / site.others.len().max(1) as f64,
        last_row_ms: now.since(site.written_at()),
        beyond_after_loss: disturbed.count(|host| host.store_reads + host.whole_lists),
    }
}

/// A host other than the orderer.
struct Asking {
    followed: ReplicationState,
    /// The relays that it asks in turn; none when it asks the orderer.
    relays: Vec<usize>,
    asks_at: Millis,
    interval_ms: Millis,
    store_reads: usize,
    whole_lists: usize,
    sent_bytes: usize,
}

impl Asking {
    fn new(world: &World, relays: Vec<usize>, random: &mut fastrand::Rng) -> Self {
        let interval_ms = interval_ms(world, relays.is_empty());
        Self {
            followed: empty_list(),
            relays,
            asks_at: Millis(random.u64(0..interval_ms.0)),
            interval_ms,
            store_reads: 0,
            whole_lists: 0,
            sent_bytes: 0,
        }
    }

    fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.asks_at;
        if is_due {
            self.asks_at += self.interval_ms;
        }
        is_due
    }

    /// Takes what it is told, and whatever else it needs to know as much as the one that told it.
    fn take(&mut self, now: Millis, told: TablesUpdate) {
        let end = told.upstreams.map(|list| list.end);
        let from = self.followed.next_position();
        self.followed.apply_update(now, told);
        match self.followed.next(now, Table::Upstreams, WITHIN_MS) {
            NextStep::WaitUntil(_) => {}
            NextStep::Apply(rows, end) => {
                self.followed.note_applied(Table::Upstreams, end);
                self.keep(from, &rows, end);
            }
            NextStep::CatchUp => {
                self.whole_lists += 1;
                self.jump(now, end);
            }
            NextStep::Read => {
                self.store_reads += 1;
                self.jump(now, end);
            }
        }
    }

    fn keep(&self, from: Option<Position>, rows: &[TableRow], end: Position) {
        let Some(from) = from else { return };
        let known = rows.partition_point(|row| row.position < from);
        let listed = end.offset.0 as usize;
        self.followed.buffer_rows(from, &rows[known..], end, listed);
    }

    fn jump(&self, now: Millis, end: Option<Position>) {
        if let Some(end) = end {
            self.followed.note_read(Table::Upstreams, now, end);
            self.followed.clear_buffered_rows();
        }
    }
}

/// The hosts, and the list as it will be.
struct Site {
    rows: Vec<TableRow>,
    orderer: ReplicationState,
    read_rows: usize,
    relays: Vec<Asking>,
    others: Vec<Asking>,
    sent_to_hosts_bytes: usize,
    longest_message_rows: usize,
}

impl Site {
    fn new(world: &World, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let relays: Vec<u64> = world.relays().map(|relay| relay.incarnation).collect();
        let places = |host: &Member| -> Vec<usize> {
            let asked = world.relays_of(host).into_iter();
            asked
                .filter_map(|relay| relays.iter().position(|own| *own == relay.incarnation))
                .collect()
        };
        let is_other = |host: &&Member| !world.tree.is_relay(host.incarnation);
        let others = world.hosts.iter().filter(is_other);
        Self {
            rows: rows(world),
            orderer: empty_list(),
            read_rows: 0,
            others: others
                .map(|host| Asking::new(world, places(host), &mut random))
                .collect(),
            relays: relays
                .iter()
                .map(|_| Asking::new(world, Vec::new(), &mut random))
                .collect(),
            sent_to_hosts_bytes: 0,
            longest_message_rows: 0,
        }
    }

    /// Runs until all hosts know the list. A relay is lost when half of it is written. Returns when it ended.
    fn run(&mut self, lost: Option<usize>) -> Millis {
        let written_at = self.written_at();
        let lost_at = Millis(written_at.0 / 2);
        let mut now = Millis::ZERO;
        while !self.is_known() && now < written_at + GIVE_UP_MS {
            now += TICK_MS;
            let lost = lost.filter(|_| now >= lost_at);
            if let Some(lost) = lost {
                self.lose(lost);
            }
            self.step(now);
        }
        now
    }

    fn written_at(&self) -> Millis {
        Millis(self.rows.len() as u64 * 1_000 / ROWS_PER_S)
    }

    fn busiest_relay(&self) -> Option<usize> {
        (0..self.relays.len()).max_by_key(|at| self.relays[*at].sent_bytes)
    }

    /// Hosts find that a relay is lost when a call of it ends without an answer, and go on to the next.
    fn lose(&mut self, lost: usize) {
        for host in &mut self.others {
            if host.relays.first() == Some(&lost) {
                host.relays.remove(0);
                host.asks_at += CALL_TIMEOUT_MS;
            }
        }
        // Nobody waits for the lost relay itself.
        let end = at(self.rows.len() as u64);
        let followed = &self.relays[lost].followed;
        followed.note_read(Table::Upstreams, Millis::ZERO, end);
    }

    fn hosts(&self) -> impl Iterator<Item = &Asking> {
        self.relays.iter().chain(&self.others)
    }

    fn count(&self, figure: impl Fn(&Asking) -> usize) -> usize {
        self.hosts().map(figure).sum()
    }

    fn is_known(&self) -> bool {
        let end = Some(at(self.rows.len() as u64));
        self.hosts()
            .all(|host| host.followed.next_position() == end)
    }

    fn step(&mut self, now: Millis) {
        if now.0.is_multiple_of(READ_EACH_MS.0) {
            self.read(now);
        }
        for relay in &mut self.relays {
            if relay.is_due(now) {
                let told = self.orderer.update_for(now, relay.followed.next_position());
                relay.take(now, told);
            }
        }
        for host in &mut self.others {
            if !host.is_due(now) {
                continue;
            }
            let wants_from = host.followed.next_position();
            let told = match host.relays.first() {
                Some(relay) => self.relays[*relay].followed.update_for(now, wants_from),
                None => self.orderer.update_for(now, wants_from),
            };
            let told_bytes = bytes(&told);
            if let Some(relay) = host.relays.first() {
                self.relays[*relay].sent_bytes += told_bytes;
            }
            self.sent_to_hosts_bytes += told_bytes;
            self.longest_message_rows = self.longest_message_rows.max(told.rows.len());
            host.take(now, told);
        }
    }

    /// The orderer reads what was written since its last read.
    fn read(&mut self, now: Millis) {
        let written = (now.0 * ROWS_PER_S / 1_000) as usize;
        let end = written.min(self.rows.len());
        let (from, to) = (at(self.read_rows as u64), at(end as u64));
        self.orderer.note_read(Table::Upstreams, now, to);
        self.orderer
            .buffer_rows(from, &self.rows[self.read_rows..end], to, end);
        self.read_rows = end;
    }
}

fn at(offset: u64) -> Position {
    Position::new(Era::default(), offset)
}

fn empty_list() -> ReplicationState {
    let followed = ReplicationState::default();
    followed.note_read(Table::Upstreams, Millis::ZERO, at(0));
    followed
}

fn rows(world: &World) -> Vec<TableRow> {
    let upstreams = world.upstreams.iter().enumerate();
    let row = |(n, upstream): (usize, &Upstream)| TableRow {
        key: upstream.entry.id.clone(),
        position: at(n as u64),
        value: RowValue::Upstream(upstream.entry.clone()),
    };
    upstreams.map(row).collect()
}
