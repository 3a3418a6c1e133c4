//! When a host reads the group itself.
//!
//! Answers the pattern of hundreds of hosts that start at once: each of them changes the group, and each read returns the names of
//! all. A host that the group does not list yet is accepted by none of the others, whatever it reads; and one that hears the
//! orderer is told.

use crate::prelude::*;

/// How soon after its last read the orderer reads a group that has changed, since the others get the changes from it, and
/// how soon hosts of a small group do that refused one which is not listed yet, or that start.
pub const SOON_READ_MS: Millis = Millis(500);
/// How often a host reads that hears of no orderer.
const READ_MS: Millis = Millis(1_800);
/// How often a host reads that hears of no orderer and is not listed.
const UNLISTED_READ_MS: Millis = Millis(4_000);
/// How long a host that hears the orderer waits for news of a change.
const TOLD_WITHIN_MS: Millis = Millis(4_000);
/// The same for a relay, so that its hosts hear of it.
const RELAY_TOLD_WITHIN_MS: Millis = Millis(2_500);
/// For how many listed hosts a read may come after [`SOON_READ_MS`]; with more it waits longer in proportion, up to the time
/// after which processes before the listed ones have lapsed.
const SOON_READ_HOSTS: usize = 100;
/// Up to so many listed hosts, those that are not listed do no harm when all of them ask others and read the group.
const FEW_HOSTS: usize = 200;

/// What decides about a read of a group that has changed.
#[derive(Clone, Copy, Debug)]
pub struct ReadCase {
    /// How long ago the list known here was read, told or confirmed.
    pub known_ms: Option<Millis>,
    /// For how long it has been older than the group.
    pub behind_ms: Millis,
    /// How many hosts it has.
    pub listed: usize,
    /// Whether the group lists this host.
    pub is_listed: bool,
    /// Whether this host started a moment ago.
    pub is_new: bool,
    /// Whether this host refused one that it does not list.
    pub has_refused: bool,
    /// What this host is to the others.
    pub role: Role,
}

/// What a host is to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It orders.
    Orderer,
    /// It hears the orderer and relays.
    Relay,
    /// It hears the orderer.
    Follower,
    /// It hears of no orderer.
    Alone,
}

impl ReadCase {
    /// Tells whether to read now.
    pub fn is_due(&self) -> bool {
        let Some(known_ms) = self.known_ms else {
            return true;
        };
        if self.has_refused && known_ms >= soon_read_ms(self.listed) {
            return true;
        }
        match self.role {
            Role::Orderer => known_ms >= SOON_READ_MS,
            Role::Relay => self.behind_ms >= RELAY_TOLD_WITHIN_MS,
            Role::Follower => self.behind_ms >= TOLD_WITHIN_MS,
            Role::Alone => known_ms >= self.alone_read_ms(),
        }
    }

    fn alone_read_ms(&self) -> Millis {
        let holds_back = !self.is_listed && is_begun_or_large(self.listed);
        match (holds_back, self.is_new) {
            (true, _) => UNLISTED_READ_MS,
            (false, true) => soon_read_ms(self.listed),
            (false, false) => READ_MS,
        }
    }
}

/// Tells whether hundreds of hosts may not be listed yet beside these: the group has just its first host, or is large.
pub fn is_begun_or_large(listed: usize) -> bool {
    listed <= 1 || listed > FEW_HOSTS
}

/// Returns how soon after its last read a host reads a group of so many hosts that it wants soon.
pub fn soon_read_ms(listed: usize) -> Millis {
    let hundreds = listed.div_ceil(SOON_READ_HOSTS).max(1) as u64;
    Millis(SOON_READ_MS.0 * hundreds).min(READ_MS)
}
