//! The load that upstreams state in their answers, and how hosts tell each other the newest
//! statements.
//!
//! Handles many hosts that send short requests to a few upstreams: each host alone counts almost
//! none of an upstream's requests, but every answer can state all of them.

use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry, Upstream};

/// The largest number of requests or slots that a statement may have.
const MAX_COUNT: u32 = 1_000_000;
/// The slowest pace that a statement may have.
const MAX_PACE_PERCENT: u32 = 10_000;
/// The most statements in one message between hosts.
pub const MAX_TOLD: usize = 16;
/// The age from which a statement is not told to other hosts.
pub const MAX_TOLD_AGE_MS: Millis = Millis(1_000);
/// The most upstreams of which statements are kept to be told to other hosts.
const MAX_STATING: usize = 512;

/// The load of an upstream as one of its answers states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoad {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Most requests that run at once.
    pub slots: u32,
    /// How long work takes now, in percent of the usual time; none if it is not stated.
    pub pace_percent: Option<u32>,
}

impl StatedLoad {
    /// Returns the statement if its values are plausible: no count above 1,000,000, at least one
    /// slot, and a pace from 1 to 10,000 percent.
    pub fn checked(self) -> Option<Self> {
        let counts = [self.running, self.waiting, self.slots];
        let has_plausible_counts = counts.iter().all(|count| *count <= MAX_COUNT);
        let has_plausible_pace = self
            .pace_percent
            .is_none_or(|pace| (1..=MAX_PACE_PERCENT).contains(&pace));
        (has_plausible_counts && has_plausible_pace && self.slots > 0).then_some(self)
    }
}

/// The newest statement of an upstream's load that this host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLoad {
    /// The stated load.
    pub load: StatedLoad,
    /// When it was stated.
    pub stated_at: Millis,
    /// Whether an answer to another host stated it.
    pub is_told: bool,
    /// Number of this host's requests there when this host learned of the statement.
    in_flight: u32,
    /// Whether the orderer or relay that this host reports to knows the statement.
    is_reported: bool,
}

impl KnownLoad {
    /// Returns how many more requests of this host are at the upstream than when this host learned
    /// of the statement.
    pub fn begun_since(&self, in_flight: u32) -> u32 {
        in_flight.saturating_sub(self.in_flight)
    }

    fn may_be_told(&self, now: Millis) -> bool {
        now.since(self.stated_at) < MAX_TOLD_AGE_MS
    }
}

/// A statement of an upstream's load as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLoad {
    /// The upstream that stated it.
    pub upstream: Lifetime,
    /// The stated load.
    pub load: StatedLoad,
    /// How long ago it was stated.
    pub age_ms: Millis,
}

impl Registry {
    /// Records the load that an answer of an upstream states, if the given lifetime is the known
    /// one.
    pub fn note_stated_load(&mut self, now: Millis, lifetime: &Lifetime, load: StatedLoad) {
        self.put_load(lifetime, now, |in_flight| KnownLoad {
            load,
            stated_at: now,
            is_told: false,
            in_flight,
            is_reported: false,
        });
    }

    /// Adds the statements that another host told this one, unless a newer one is known.
    /// `from_parent` is whether it is the orderer or relay that this host reports to.
    pub fn merge_told_loads(&mut self, now: Millis, told: &[ToldLoad], from_parent: bool) {
        for told in told.iter().take(MAX_TOLD) {
            let Some(load) = told.load.checked() else {
                continue;
            };
            if told.age_ms >= MAX_TOLD_AGE_MS {
                continue;
            }
            let stated_at = now - told.age_ms;
            self.put_load(&told.upstream, now, |in_flight| KnownLoad {
                load,
                stated_at,
                is_told: true,
                in_flight,
                is_reported: from_parent,
            });
        }
    }

    /// Returns the newest statements for a host that reports to this one, the newest first, without
    /// those that it has just `reported`. Only services for which `is_plain` returns true count.
    pub fn loads_to_tell(
        &self,
        now: Millis,
        reported: &[ToldLoad],
        is_plain: impl Fn(&str) -> bool,
    ) -> Vec<ToldLoad> {
        let mut loads = self.tellable_loads(now, is_plain, |_| true);
        loads.retain(|load| {
            let is_same = |own: &ToldLoad| own.upstream == load.upstream && own.load == load.load;
            !reported.iter().any(is_same)
        });
        loads
    }

    /// Returns the newest statements that the orderer or relay which this host reports to does not
    /// know, the newest first, and counts them as known there. Only services for which `is_plain`
    /// returns true count.
    pub fn loads_to_report(
        &mut self,
        now: Millis,
        is_plain: impl Fn(&str) -> bool,
    ) -> Vec<ToldLoad> {
        let loads = self.tellable_loads(now, is_plain, |known| !known.is_reported);
        for told in &loads {
            let upstream = self.get_lifetime_mut(&told.upstream);
            if let Some(known) = upstream.and_then(|upstream| upstream.known_load.as_mut()) {
                known.is_reported = true;
            }
        }
        loads
    }

    fn tellable_loads(
        &self,
        now: Millis,
        is_plain: impl Fn(&str) -> bool,
        is_wanted: impl Fn(&KnownLoad) -> bool,
    ) -> Vec<ToldLoad> {
        let stating = self.stating.iter().filter_map(|id| self.upstreams.get(id));
        let known = stating.filter_map(|upstream| Some((upstream, upstream.known_load?)));
        let mut tellable: Vec<(&Upstream, KnownLoad)> = known
            .filter(|(_, known)| known.may_be_told(now) && is_wanted(known))
            .filter(|(upstream, _)| is_plain(&upstream.entry.service))
            .collect();
        tellable.sort_by_key(|(_, known)| std::cmp::Reverse(known.stated_at));
        let told = tellable.into_iter().take(MAX_TOLD);
        told.map(|(upstream, known)| ToldLoad {
            upstream: upstream.lifetime(),
            load: known.load,
            age_ms: now.since(known.stated_at),
        })
        .collect()
    }

    /// Keeps a statement if it is newer than the known one.
    fn put_load(&mut self, lifetime: &Lifetime, now: Millis, known: impl FnOnce(u32) -> KnownLoad) {
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return;
        };
        let new = known(upstream.in_flight);
        let former = upstream.known_load;
        // Several answers may come in one millisecond; the last of this host's own counts.
        let is_newer = former.is_none_or(|former| match new.is_told {
            true => former.stated_at < new.stated_at,
            false => former.stated_at <= new.stated_at,
        });
        if !is_newer {
            return;
        }
        upstream.known_load = Some(new);
        self.note_stating(now, &lifetime.id);
    }

    fn note_stating(&mut self, now: Millis, id: &Name) {
        if self.stating.contains(id) {
            return;
        }
        if self.stating.len() >= MAX_STATING {
            let upstreams = &self.upstreams;
            self.stating.retain(|id| {
                let known = upstreams.get(id).and_then(|upstream| upstream.known_load);
                known.is_some_and(|known| known.may_be_told(now))
            });
        }
        if self.stating.len() < MAX_STATING {
            self.stating.insert(id.clone());
        }
    }
}
