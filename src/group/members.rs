//! The list of hosts in the group, and incremental updates for hosts with an older list.
//!
//! In a group of hundreds of hosts, one host or another restarts every second and so changes the
//! list. If every host read the list after each change, the store would have to answer one call a
//! second per host, each with the whole list. Instead one host reads the list, and the others get
//! the changes with the sync messages that they receive anyway. In a site of 195 hosts a restart
//! costs two reads of the list instead of 195.

use crate::group::departed::{Departed, ISOLATED_ADMIT_MS};
use crate::group::{Generation, Member};
use crate::prelude::*;
use crate::retry::budget::SlackShare;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Most changes kept for hosts with an older list; a host with a list older than these gets the
/// full list. Hosts get updates at least every 0.5 s, and the list is read once a second.
const MAX_CHANGES: usize = 32;
/// The difference between two successive reads of the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersChange {
    /// The generation of the earlier list.
    pub from: Generation,
    /// The generation of the later list.
    pub to: Generation,
    /// Hosts that only the later list has.
    pub joined: Vec<Member>,
    /// Hosts that only the earlier list has.
    pub left: Vec<Member>,
}

impl MembersChange {
    /// Returns whether no host joined or left.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty()
    }
}

/// An update of the member list for a host whose list may be older.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// The generation of the sender's list.
    pub generation: Generation,
    /// The digest of the sender's list, with which the receiver verifies its list after the update.
    pub digest: u64,
    /// The changes since the receiver's generation, oldest first; empty with a full list.
    pub changes: Vec<MembersChange>,
    /// The full list, if the sender no longer keeps the changes since the receiver's generation, or
    /// if the receiver requested it.
    pub whole: Option<Vec<Member>>,
}

/// The member list as last read from the store or received from another host.
#[derive(Clone, Debug, Default)]
pub struct Members {
    generation: Generation,
    list: IndexSet<Member>,
    changes: VecDeque<MembersChange>,
    confirmed_at: Option<Millis>,
    /// The generation of the list on the store, as last stated to this host.
    store_generation: Generation,
    /// Since when a list is known.
    known_since: Option<Millis>,
    /// Whether the last update failed verification, so that the full list is needed.
    needs_full_list: bool,
    /// The generation of the list at the orderer or the relay, as last stated.
    parent_generation: Option<Generation>,
    /// When the store or the orderer last answered.
    contact_at: Option<Millis>,
    /// The caller addresses of the listed hosts, without duplicates: after a restart both processes
    /// of a host may be listed for a moment.
    addresses: IndexSet<SocketAddr>,
    departed: Departed,
}

impl Members {
    /// Returns the number of listed hosts; at least 1, also before the list is known.
    pub fn count(&self) -> usize {
        self.list.len().max(1)
    }

    /// Iterates over the listed hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.list.iter()
    }

    /// Returns whether the list has a host.
    pub fn contains(&self, host: &Member) -> bool {
        self.list.contains(host)
    }

    /// Iterates over the listed hosts and those that left the list within some minutes, whose
    /// connections are accepted.
    pub fn accepted(&self) -> impl Iterator<Item = &Member> + Clone {
        self.list.iter().chain(self.departed.iter())
    }

    /// Returns the accepted host whose process has this incarnation.
    pub fn find(&self, incarnation: u64) -> Option<&Member> {
        self.accepted().find(|host| host.incarnation == incarnation)
    }

    /// Returns the number of hosts that may admit requests under their share of a rate limit: the
    /// listed ones and those that left recently. Returns `None` if the list is not known yet, or if
    /// this host had no contact for so long that the others may no longer count it.
    pub fn count_serving(&self, now: Millis) -> Option<usize> {
        let contact_at = self.confirmed_at.and(self.contact_at)?;
        let is_counted = now.since(contact_at) < ISOLATED_ADMIT_MS;
        is_counted.then(|| self.addresses.len() + self.departed.count(now, &self.addresses))
    }

    /// Returns how this host divides the slack of a retry budget: among the hosts that may serve, also
    /// while the list lacks some of them because their memberships lapsed. Returns `None` if these
    /// are not known, as in [`Self::count_serving`].
    pub fn slack_share(&self, now: Millis) -> Option<SlackShare> {
        Some(SlackShare {
            hosts: self.count_serving(now)?,
            known_ms: now.since(self.known_since?),
        })
    }

    /// Records that the store or the orderer answered this host. For [`ISOLATED_ADMIT_MS`] after
    /// that, the other hosts still count this host among those that admit requests.
    pub fn note_contact(&mut self, now: Millis) {
        self.contact_at = Some(now);
    }

    /// Returns the generation of the list; the default before it is known.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the generation after which this host requests changes; the default requests the full
    /// list.
    pub fn update_base_generation(&self) -> Generation {
        match self.needs_full_list || self.confirmed_at.is_none() {
            true => Generation::default(),
            false => self.generation,
        }
    }

    /// Records the generation of the list on the store. Nothing confirms an older list from now on.
    pub fn note_store_generation(&mut self, generation: Generation) {
        self.store_generation = generation;
    }

    /// Returns the generation of the list on the store, as last stated to this host.
    pub fn store_generation(&self) -> Generation {
        self.store_generation
    }

    /// Returns when the list was last read, updated or confirmed while none newer was known.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Replaces the list by a full one. Returns the difference.
    pub fn replace(
        &mut self,
        now: Millis,
        generation: Generation,
        list: IndexSet<Member>,
    ) -> MembersChange {
        let change = MembersChange {
            from: self.generation,
            to: generation,
            joined: list.difference(&self.list).cloned().collect(),
            left: self.list.difference(&list).cloned().collect(),
        };
        self.list = list;
        self.record_change(now, change.clone());
        change
    }

    /// Returns the update for a host that has the list of `generation`, also if nothing changed
    /// since. Returns `None` if this host's own list is unknown or older.
    pub fn update_since(&self, generation: Generation) -> Option<MembersUpdate> {
        if self.confirmed_at.is_none() || generation > self.generation {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.to > generation);
        let oldest = self.changes.front().map(|change| change.from);
        let changes_suffice =
            generation == self.generation || oldest.is_some_and(|from| from <= generation);
        let is_full = generation == Generation::default() || !changes_suffice;
        Some(MembersUpdate {
            generation: self.generation,
            digest: digest(&self.list),
            changes: newer.filter(|_| !is_full).cloned().collect(),
            whole: is_full.then(|| self.list.iter().cloned().collect()),
        })
    }

    /// Records the generation of the list at the orderer or the relay.
    pub fn note_parent(&mut self, generation: Generation) {
        self.parent_generation = Some(generation);
    }

    /// Returns the update for the orderer or the relay, if its list is older than this one.
    pub fn update_for_parent(&self) -> Option<MembersUpdate> {
        let known = self.parent_generation?;
        (known < self.generation)
            .then(|| self.update_since(known))
            .flatten()
    }

    /// Applies an update from another host and returns the difference. Returns `None` and leaves
    /// the list as it is if the update is older than the list, if it holds only changes while no
    /// list is known yet, or if the result fails verification. This host requests the full list
    /// after changes that failed verification and while it has no list.
    pub fn apply(&mut self, now: Millis, update: MembersUpdate) -> Option<MembersChange> {
        if update.generation < self.generation {
            return None;
        }
        if let Some(members) = update.whole {
            let list: IndexSet<Member> = members.into_iter().collect();
            let is_verified = digest(&list) == update.digest;
            return is_verified.then(|| self.replace(now, update.generation, list));
        }
        self.confirmed_at?;
        let generation = self.generation;
        // The usual case, several times a second: the list has not changed.
        if update.generation == generation && update.changes.is_empty() {
            return self.confirm(now, update.digest);
        }
        let newer = update
            .changes
            .into_iter()
            .filter(|change| change.to > generation);
        let mut list = self.list.clone();
        for change in newer {
            for member in &change.left {
                list.swap_remove(member);
            }
            list.extend(change.joined);
        }
        // The list of this host may contain a host that the sender never saw, because it joined and
        // left between two reads of the sender. The sender's changes do not remove such a host.
        if digest(&list) != update.digest {
            self.needs_full_list = true;
            return None;
        }
        Some(self.replace(now, update.generation, list))
    }

    fn confirm(&mut self, now: Millis, expected: u64) -> Option<MembersChange> {
        if digest(&self.list) != expected {
            self.needs_full_list = true;
            return None;
        }
        self.note_confirmed(now);
        Some(MembersChange {
            from: self.generation,
            to: self.generation,
            ..MembersChange::default()
        })
    }

    /// Records that the list is current, unless the store has a newer one.
    fn note_confirmed(&mut self, now: Millis) {
        if self.generation >= self.store_generation || self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
        }
    }

    fn record_change(&mut self, now: Millis, change: MembersChange) {
        self.needs_full_list = false;
        self.known_since.get_or_insert(now);
        self.addresses = self.list.iter().map(|host| host.caller_address).collect();
        self.departed.note(now, &change);
        self.generation = change.to;
        self.note_confirmed(now);
        if change.is_empty() && change.from == change.to {
            return;
        }
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Returns a digest of a list that does not depend on its order. XOR suffices, since incarnations
/// are random and differ.
fn digest(list: &IndexSet<Member>) -> u64 {
    let incarnations = list.iter().map(|member| member.incarnation);
    incarnations.fold(list.len() as u64, |digest, incarnation| {
        digest ^ incarnation
    })
}
