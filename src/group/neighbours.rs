//! The few hosts with which a host exchanges versions of the desired state while no recent state of
//! the orderer reaches it.
//!
//! Each host has a fixed few, which it derives from the list of hosts by rendezvous hashing. The
//! graph of these pairs connects all hosts over a small number of hops, and the connections between
//! them are made once instead of for each exchange.

use crate::group::Member;
use crate::prelude::*;
use crate::rendezvous;
use std::cmp::Reverse;

/// The number of neighbours that a host chooses.
pub const NEIGHBOURS: usize = 3;
/// How long a neighbour that did not answer is replaced by the next host.
const NEIGHBOUR_RETRY_MS: Millis = Millis(3_000);

/// The choice of neighbours of one host.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// When hosts that did not answer are asked again, by incarnation.
    failed_until: IndexMap<u64, Millis>,
    turns: usize,
}

impl Neighbours {
    /// Returns the present neighbours of a host.
    pub fn all<'a>(
        &self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
        me: &Member,
    ) -> Vec<Member> {
        let own_name = me.incarnation.to_le_bytes();
        let mut others: Vec<&Member> = members
            .filter(|other| other.incarnation != me.incarnation)
            .filter(|other| !self.has_failed(now, other))
            .collect();
        others.sort_by_cached_key(|other| Reverse(rendezvous::score(&own_name, other.incarnation)));
        others.into_iter().take(NEIGHBOURS).cloned().collect()
    }

    /// Returns the neighbour whose turn it is.
    pub fn next<'a>(
        &mut self,
        now: Millis,
        members: impl Iterator<Item = &'a Member>,
        me: &Member,
    ) -> Option<Member> {
        let mut all = self.all(now, members, me);
        self.turns = self.turns.wrapping_add(1);
        let count = all.len();
        (count > 0).then(|| all.swap_remove(self.turns % count))
    }

    /// Records whether a host answered.
    pub fn note_answer(&mut self, now: Millis, other: &Member, has_answered: bool) {
        self.failed_until.retain(|_, until| now < *until);
        match has_answered {
            true => self.failed_until.swap_remove(&other.incarnation),
            false => {
                let until = now + NEIGHBOUR_RETRY_MS;
                self.failed_until.insert(other.incarnation, until)
            }
        };
    }

    fn has_failed(&self, now: Millis, other: &Member) -> bool {
        let until = self.failed_until.get(&other.incarnation);
        until.is_some_and(|until| now < *until)
    }
}
