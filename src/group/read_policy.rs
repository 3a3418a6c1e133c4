//! Decides when a host reads the member list from the store itself.
//!
//! When hundreds of hosts start at once, each of them changes the list, and each read returns the
//! names of all hosts, so reads are kept rare. A host that is not listed yet gains little from a
//! read, since no other host accepts its calls. A host in contact with the orderer gets the changes
//! from it.

use crate::prelude::*;

/// Shortest time between two reads of a changed list. It applies to the orderer, from which the
/// other hosts get the changes, and in a small group also to hosts that are starting, and to hosts
/// that refused a host because it was not listed yet.
pub const MIN_READ_INTERVAL_MS: Millis = Millis(500);
/// Interval between reads of a host without contact with an orderer.
const READ_INTERVAL_MS: Millis = Millis(1_800);
/// The same for a host that is not listed while hundreds of others may not be listed either.
const UNLISTED_READ_INTERVAL_MS: Millis = Millis(4_000);
/// How long a host in contact with the orderer waits to be sent a change before it reads the list.
const MAX_UPDATE_WAIT_MS: Millis = Millis(4_000);
/// The same for a relay; shorter, so that it can pass the change on to its hosts.
const RELAY_MAX_UPDATE_WAIT_MS: Millis = Millis(2_500);
/// Number of listed hosts up to which reads may follow each other after [`MIN_READ_INTERVAL_MS`].
/// With more hosts the interval grows in proportion, up to [`READ_INTERVAL_MS`], by which time the
/// entries of the processes that ran before a restart have lapsed.
const MIN_READ_INTERVAL_HOSTS: usize = 100;
/// Number of listed hosts up to which all hosts that are not listed yet may call other hosts and
/// read the list without causing overload.
const SMALL_GROUP_HOSTS: usize = 200;

/// The conditions on which a read of a changed list depends.
#[derive(Clone, Copy, Debug)]
pub struct ReadConditions {
    /// Time since this host's list was read, updated or confirmed; `None` if it has none yet.
    pub list_age_ms: Option<Millis>,
    /// For how long this host's list has been older than the one on the store.
    pub outdated_ms: Millis,
    /// Number of hosts in this host's list.
    pub listed: usize,
    /// Whether the list on the store has this host.
    pub is_listed: bool,
    /// Whether this host started within the last few seconds.
    pub started_recently: bool,
    /// Whether this host refused a call since the last check because its list lacks the caller.
    pub refused_unlisted_peer: bool,
    /// This host's role in the relay tree.
    pub role: Role,
}

/// The role of a host in the relay tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is the orderer.
    Orderer,
    /// It is in contact with an orderer that cannot read the store, and reads for all hosts.
    Collector,
    /// It is in contact with the orderer and relays for other hosts.
    Relay,
    /// It is in contact with the orderer, directly or through a relay, and relays for none.
    Follower,
    /// It has no contact with an orderer.
    WithoutOrderer,
}

impl ReadConditions {
    /// Returns whether the host reads the list now.
    pub fn is_due(&self) -> bool {
        let Some(list_age_ms) = self.list_age_ms else {
            return true;
        };
        if self.refused_unlisted_peer && list_age_ms >= min_read_interval_ms(self.listed) {
            return true;
        }
        match self.role {
            Role::Orderer => list_age_ms >= MIN_READ_INTERVAL_MS,
            Role::Collector => true,
            Role::Relay => self.outdated_ms >= RELAY_MAX_UPDATE_WAIT_MS,
            Role::Follower => self.outdated_ms >= MAX_UPDATE_WAIT_MS,
            Role::WithoutOrderer => list_age_ms >= self.read_interval_without_orderer(),
        }
    }

    fn read_interval_without_orderer(&self) -> Millis {
        let is_deferred = !self.is_listed && may_have_many_unlisted(self.listed);
        match (is_deferred, self.started_recently) {
            (true, _) => UNLISTED_READ_INTERVAL_MS,
            (false, true) => min_read_interval_ms(self.listed),
            (false, false) => READ_INTERVAL_MS,
        }
    }
}

/// Returns whether hundreds of running hosts may not be listed yet: either the list has at most one
/// host, so the group is just forming, or it is large.
pub fn may_have_many_unlisted(listed: usize) -> bool {
    listed <= 1 || listed > SMALL_GROUP_HOSTS
}

/// Returns the shortest time between two reads of a list with `listed` hosts, for hosts that are
/// starting or that refused a host because it was not listed yet.
pub fn min_read_interval_ms(listed: usize) -> Millis {
    let hundreds = listed.div_ceil(MIN_READ_INTERVAL_HOSTS).max(1) as u64;
    Millis(MIN_READ_INTERVAL_MS.0 * hundreds).min(READ_INTERVAL_MS)
}
