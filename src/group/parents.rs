//! Which host a host asks: a relay, or the orderer itself.

use crate::group::{Member, Tree};
use crate::prelude::*;

/// Most relays that a host tries before it asks the orderer itself.
pub const MAX_RELAYS: usize = 2;
/// How long a relay that did not answer is passed over: the group drops a host that is gone within that time.
const FAILED_MS: Millis = Millis(3_000);
/// How old the orderer's word may be at a relay before another one is asked: several of the intervals at which relays
/// speak with the orderer.
pub const STALE_MS: Millis = Millis(1_200);

/// Which host is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// A relay.
    Relay(Member),
    /// The orderer.
    Orderer,
}

/// What this host knows of its relays.
#[derive(Clone, Debug, Default)]
pub struct Parents {
    /// Until when relays are passed over that did not answer.
    failed_until: IndexMap<u64, Millis>,
    /// Until when others are preferred to relays of which the word was old.
    stale_until: IndexMap<u64, Millis>,
    answered_at: Option<Millis>,
}

impl Parents {
    /// Chooses the host to ask. A relay with an old word is still better than the orderer itself: while no host orders,
    /// all relays' words are old, and hundreds of hosts would turn to one that is lost.
    pub fn choose(&self, now: Millis, tree: &Tree, me: &Member) -> Parent {
        let relays = tree.relays_of(me).into_iter().take(MAX_RELAYS);
        let is_until = |times: &IndexMap<u64, Millis>, relay: &Member| {
            times
                .get(&relay.incarnation)
                .is_some_and(|until| now < *until)
        };
        let alive: Vec<&Member> = relays
            .filter(|relay| !is_until(&self.failed_until, relay))
            .collect();
        let fresh = alive
            .iter()
            .find(|relay| !is_until(&self.stale_until, relay));
        match fresh.or(alive.first()) {
            Some(relay) => Parent::Relay((*relay).clone()),
            None => Parent::Orderer,
        }
    }

    /// Tells whether a relay did not answer a moment ago.
    pub fn has_failed(&self, now: Millis, relay: &Member) -> bool {
        let until = self.failed_until.get(&relay.incarnation);
        until.is_some_and(|until| now < *until)
    }

    /// Takes note that a relay did not answer, or said that it is none.
    pub fn note_failed(&mut self, now: Millis, relay: &Member) {
        self.failed_until.retain(|_, until| now < *until);
        self.failed_until.insert(relay.incarnation, now + FAILED_MS);
    }

    /// Takes note of a relay's answer with a word of the orderer of this age, or without any.
    pub fn note_answered(&mut self, now: Millis, relay: &Member, age_ms: Option<Millis>) {
        self.answered_at = Some(now);
        self.failed_until.swap_remove(&relay.incarnation);
        self.stale_until.retain(|_, until| now < *until);
        if age_ms.is_none_or(|age_ms| age_ms >= STALE_MS) {
            self.stale_until.insert(relay.incarnation, now + FAILED_MS);
        }
    }

    /// Tells whether a relay answered a moment ago: it looks for the orderer in this host's place.
    pub fn has_answered(&self, now: Millis) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < STALE_MS)
    }
}
