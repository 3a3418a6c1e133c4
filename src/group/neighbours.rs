//! The few hosts with which a host exchanges versions of the desired state while no recent state of
//! the orderer reaches it.
//!
//! Each host has a fixed few, which it derives from the list of hosts by rendezvous hashing. The
//! graph of these pairs connects all hosts over a small number of hops, and the connections between
//! them are made once instead of for each exchange. A host that does not answer is replaced by the
//! next one.

use crate::group::Member;
use crate::prelude::*;
use crate::rendezvous;
use std::cmp::Reverse;

/// The number of neighbours that a host chooses.
pub const NEIGHBOURS: usize = 3;
/// How long a host that did not answer is replaced.
const NEIGHBOUR_RETRY_MS: Millis = Millis(30_000);
/// The number of hosts without an answer in a row after which a host looks for neighbours more slowly:
/// it is cut off from most of the others.
const MAX_EAGER_FAILURES: u32 = 64;
/// The most hosts that are asked for the first time in one turn.
const MAX_NEW_A_TURN: usize = 8;

/// The choice of neighbours of one host.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// The hosts that answered last time, by incarnation.
    answered: IndexSet<u64>,
    /// The hosts whose first answer is awaited.
    tried: IndexSet<u64>,
    /// When hosts that did not answer are asked again.
    failed_until: IndexMap<u64, Millis>,
    failures_in_a_row: u32,
    turns: usize,
}

impl Neighbours {
    /// Returns the present neighbours of a host; those whose first answer it awaits are left out.
    pub fn all<'a>(
        &self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
        me: &Member,
    ) -> Vec<Member> {
        let mut all = self.in_order(now, members, me);
        all.truncate(NEIGHBOURS);
        all
    }

    /// Returns the hosts that may be asked, the neighbours first.
    fn in_order<'a>(
        &self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
        me: &Member,
    ) -> Vec<Member> {
        let own_name = me.incarnation.to_le_bytes();
        let mut others: Vec<&Member> = members
            .filter(|other| other.incarnation != me.incarnation)
            .filter(|other| !self.tried.contains(&other.incarnation))
            .filter(|other| !self.has_failed(now, other))
            .collect();
        let score = |other: &&Member| rendezvous::score(&own_name, other.incarnation);
        others.sort_by_cached_key(|other| Reverse(score(other)));
        others.truncate(NEIGHBOURS + MAX_NEW_A_TURN);
        others.into_iter().cloned().collect()
    }

    /// Returns the hosts to ask in this turn: one neighbour after the other, or several hosts while
    /// some neighbours have not answered yet.
    pub fn next<'a>(
        &mut self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
        me: &Member,
    ) -> Vec<Member> {
        let mut all = self.in_order(now, members, me);
        let is_new = |other: &Member| !self.answered.contains(&other.incarnation);
        let lacks_some = all.iter().take(NEIGHBOURS).any(is_new);
        if self.failures_in_a_row < MAX_EAGER_FAILURES && lacks_some {
            all.retain(is_new);
            let count = match self.failures_in_a_row {
                0 => NEIGHBOURS,
                _ => MAX_NEW_A_TURN,
            };
            all.truncate(count);
            return all;
        }
        all.truncate(NEIGHBOURS);
        self.turns = self.turns.wrapping_add(1);
        let count = all.len();
        match count {
            0 => all,
            _ => vec![all.swap_remove(self.turns % count)],
        }
    }

    /// Records that a host is asked.
    pub fn note_asked(&mut self, other: &Member) {
        if !self.answered.contains(&other.incarnation) {
            self.tried.insert(other.incarnation);
        }
    }

    /// Records whether a host answered.
    pub fn note_answer(&mut self, now: Millis, other: &Member, has_answered: bool) {
        self.failed_until.retain(|_, until| now < *until);
        self.tried.swap_remove(&other.incarnation);
        if has_answered {
            self.failures_in_a_row = 0;
            self.answered.insert(other.incarnation);
        } else {
            self.failures_in_a_row += 1;
            self.answered.swap_remove(&other.incarnation);
            let until = now + NEIGHBOUR_RETRY_MS;
            self.failed_until.insert(other.incarnation, until);
        }
    }

    /// Forgets the hosts that are no longer listed.
    pub fn retain_listed<'a>(&mut self, members: impl Iterator<Item = &'a Member>) {
        let listed: IndexSet<u64> = members.map(|member| member.incarnation).collect();
        self.answered
            .retain(|incarnation| listed.contains(incarnation));
    }

    fn has_failed(&self, now: Millis, other: &Member) -> bool {
        let until = self.failed_until.get(&other.incarnation);
        until.is_some_and(|until| now < *until)
    }
}
