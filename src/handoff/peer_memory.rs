//! What this host remembers of other hosts' answers to its offers, and which hosts it asks next.

use crate::group::Member;
use crate::handoff::{DeclineReason, MAX_OFFERS};
use crate::prelude::*;

/// How long a host is not asked again after it did not answer.
const SILENT_MS: Millis = Millis(1_500);
/// How long a host is not asked for an upstream again after it said that it does not reach it.
const OUT_OF_REACH_MS: Millis = Millis(1_000);
/// How long a host is not asked again after it was full, stopping or behind.
const BUSY_MS: Millis = Millis(200);
/// How long a host that served a request is preferred.
const SERVED_MS: Millis = Millis(5_000);
/// One request in this many is offered to a host without a recent service first while only one
/// host with a recent one is known, so that one host does not serve all of them.
const EXPLORE_ONE_IN: u32 = 4;
/// Most remembered answers.
const MAX_REMEMBERED: usize = 1_024;

/// How likely a host is to take a request, most likely first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Served,
    Unknown,
    OutOfReach,
}

/// Answers of other hosts, each for a bounded time.
#[derive(Clone, Debug, Default)]
pub struct PeerMemory {
    /// Until when a host is not asked, by its incarnation.
    paused_until: IndexMap<u64, Millis>,
    /// Until when a host is not asked for an upstream.
    out_of_reach_until: IndexMap<(u64, Name), Millis>,
    served_at: IndexMap<u64, Millis>,
    /// When a host said last that it does not reach an upstream.
    out_of_reach_at: IndexMap<u64, Millis>,
}

impl PeerMemory {
    /// Returns the hosts to offer a request to, best first: hosts that served one recently, then
    /// those of which nothing is known, then those that did not reach an upstream lately; each in
    /// random order. `wanted` is an upstream that could serve the request.
    pub fn choose<'a>(
        &self,
        now: Millis,
        hosts: impl Iterator<Item = &'a Member>,
        wanted: &Name,
        random: &mut fastrand::Rng,
    ) -> Vec<Member> {
        let mut hosts: Vec<&Member> = hosts
            .filter(|host| self.may_ask(now, host.incarnation, wanted))
            .collect();
        random.shuffle(&mut hosts);
        hosts.sort_by_key(|host| self.rank(now, host.incarnation));
        let serving = hosts
            .iter()
            .filter(|host| self.rank(now, host.incarnation) == Rank::Served);
        if serving.count() == 1 && hosts.len() > 1 && random.u32(..EXPLORE_ONE_IN) == 0 {
            hosts.swap(0, 1);
        }
        hosts.into_iter().take(MAX_OFFERS).cloned().collect()
    }

    /// Records that a host served a request.
    pub fn note_served(&mut self, now: Millis, incarnation: u64) {
        remember(&mut self.served_at, now, SERVED_MS, incarnation, now);
    }

    /// Tells whether any host served a request lately.
    pub fn has_recent_service(&self, now: Millis) -> bool {
        let mut served = self.served_at.values();
        served.any(|at| now.since(*at) < SERVED_MS)
    }

    /// Records that a host did not answer, or that the connection to it was lost.
    pub fn note_silent(&mut self, now: Millis, incarnation: u64) {
        self.pause(now, incarnation, SILENT_MS);
        self.served_at.swap_remove(&incarnation);
    }

    /// Records that a host declined a request that `wanted` could have served.
    pub fn note_declined(
        &mut self,
        now: Millis,
        incarnation: u64,
        wanted: &Name,
        reason: DeclineReason,
    ) {
        match reason {
            DeclineReason::OutOfReach => {
                let key = (incarnation, wanted.clone());
                let until = now + OUT_OF_REACH_MS;
                let at = &mut self.out_of_reach_at;
                remember(at, now, OUT_OF_REACH_MS, incarnation, now);
                self.served_at.swap_remove(&incarnation);
                remember(&mut self.out_of_reach_until, now, Millis::ZERO, key, until);
            }
            DeclineReason::Full | DeclineReason::Behind | DeclineReason::Stopping => {
                self.pause(now, incarnation, BUSY_MS);
            }
        }
    }

    fn pause(&mut self, now: Millis, incarnation: u64, for_ms: Millis) {
        let until = now + for_ms;
        remember(
            &mut self.paused_until,
            now,
            Millis::ZERO,
            incarnation,
            until,
        );
    }

    fn may_ask(&self, now: Millis, incarnation: u64, wanted: &Name) -> bool {
        let is_over = |until: Option<&Millis>| until.is_none_or(|until| now >= *until);
        is_over(self.paused_until.get(&incarnation))
            && is_over(self.out_of_reach_until.get(&(incarnation, wanted.clone())))
    }

    fn rank(&self, now: Millis, incarnation: u64) -> Rank {
        let is_recent =
            |at: Option<&Millis>, lasts_ms| at.is_some_and(|at| now.since(*at) < lasts_ms);
        if is_recent(self.served_at.get(&incarnation), SERVED_MS) {
            Rank::Served
        } else if is_recent(self.out_of_reach_at.get(&incarnation), OUT_OF_REACH_MS) {
            Rank::OutOfReach
        } else {
            Rank::Unknown
        }
    }
}

/// Inserts an entry. When the map is full, entries that ended before `now` are dropped first, then
/// the oldest one.
fn remember<K: std::hash::Hash + Eq>(
    map: &mut IndexMap<K, Millis>,
    now: Millis,
    lasts_ms: Millis,
    key: K,
    at: Millis,
) {
    if map.len() >= MAX_REMEMBERED {
        map.retain(|_, at| *at + lasts_ms > now);
    }
    if map.len() >= MAX_REMEMBERED {
        map.shift_remove_index(0);
    }
    map.insert(key, at);
}
