//! Choice of the parent of a host in the relay tree: a relay or the orderer itself.

use crate::group::{Member, RelayTree};
use crate::prelude::*;

/// Most relays that a host tries before it syncs with the orderer itself.
pub const MAX_RELAYS: usize = 2;
/// How long a relay is skipped after it did not answer, or another one preferred after its state
/// was stale. The group removes a host that is down within that time.
const RELAY_RETRY_MS: Millis = Millis(3_000);
/// The age from which the orderer's state at a relay counts as stale, so that another relay is
/// preferred: several intervals between syncs of a relay with the orderer.
pub const ORDERER_STALE_MS: Millis = Millis(1_200);

/// The host to sync with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// A relay of this host's data centre.
    Relay(Member),
    /// The orderer, without a relay.
    Orderer,
}

/// Recent results of this host's syncs with its relays.
#[derive(Clone, Debug, Default)]
pub struct ParentSelector {
    /// When relays that did not answer are tried again, by incarnation.
    failed_until: IndexMap<u64, Millis>,
    /// Until when relays whose state was stale come after others, by incarnation.
    stale_until: IndexMap<u64, Millis>,
    answered_at: Option<Millis>,
}

impl ParentSelector {
    /// Chooses the host to sync with. A relay with stale state is preferred to the orderer: while
    /// no host acts as orderer the state of all relays is stale, and hundreds of hosts would
    /// otherwise connect to an orderer that is down.
    pub fn choose(&self, now: Millis, tree: &RelayTree, me: &Member) -> Parent {
        let relays = tree.relays_of(me).into_iter().take(MAX_RELAYS);
        let is_pending = |times: &IndexMap<u64, Millis>, relay: &Member| {
            times
                .get(&relay.incarnation)
                .is_some_and(|until| now < *until)
        };
        let candidates: Vec<&Member> = relays
            .filter(|relay| !is_pending(&self.failed_until, relay))
            .collect();
        let current = candidates
            .iter()
            .find(|relay| !is_pending(&self.stale_until, relay));
        match current.or(candidates.first()) {
            Some(relay) => Parent::Relay((*relay).clone()),
            None => Parent::Orderer,
        }
    }

    /// Returns whether a relay recently failed to answer and has not answered since.
    pub fn failed_recently(&self, now: Millis, relay: &Member) -> bool {
        let until = self.failed_until.get(&relay.incarnation);
        until.is_some_and(|until| now < *until)
    }

    /// Records that a relay did not answer, or answered that it is not a relay.
    pub fn note_failed(&mut self, now: Millis, relay: &Member) {
        self.failed_until.retain(|_, until| now < *until);
        self.failed_until
            .insert(relay.incarnation, now + RELAY_RETRY_MS);
    }

    /// Records an answer of a relay. `age_ms` is the age of the orderer's state in it; `None` if
    /// the relay has none.
    pub fn note_answered(&mut self, now: Millis, relay: &Member, age_ms: Option<Millis>) {
        self.answered_at = Some(now);
        self.failed_until.swap_remove(&relay.incarnation);
        self.stale_until.retain(|_, until| now < *until);
        if age_ms.is_none_or(|age_ms| age_ms >= ORDERER_STALE_MS) {
            self.stale_until
                .insert(relay.incarnation, now + RELAY_RETRY_MS);
        }
    }

    /// Returns whether a relay answered within [`ORDERER_STALE_MS`]. If so, the relay looks for the
    /// orderer on this host's behalf.
    pub fn answered_recently(&self, now: Millis) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) < ORDERER_STALE_MS)
    }
}
