//! The list of hosts, and its changes for hosts that know an older one.
//!
//! Answers the pattern of hundreds of hosts of which some restart every second. With reads of its own at each change
//! every host costs the store a call a second and the whole list's bytes; instead one host reads it and the others
//! get what changed with what they are told anyway. In a site of 195 hosts a restart costs two reads of the list
//! instead of 195.

use crate::group::Member;
use crate::group::departed::{ALONE_MS, Departed};
use crate::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Most changes that are kept for hosts that know an older list; a host that knows a still older one is told the whole
/// list. A host hears of changes each half second at the latest, and the list is read once a second.
const MAX_CHANGES: usize = 32;
/// The generation that a host names which wants the whole list.
const WHOLE: u64 = 0;

/// How the list changed between two reads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembersChange {
    /// The generation of the list before.
    pub from: u64,
    /// The generation of the list after.
    pub to: u64,
    /// Hosts that are new in it.
    pub joined: Vec<Member>,
    /// Hosts that are no longer in it.
    pub left: Vec<Member>,
}

impl MembersChange {
    /// Tells whether no host joined or left.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty()
    }
}

/// What a host that knows an older list is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersNews {
    /// The generation of the newest list.
    pub generation: u64,
    /// The digest of the newest list, by which the receiver sees whether the changes led it there.
    pub digest: u64,
    /// The changes that lead there, oldest first.
    pub changes: Vec<MembersChange>,
    /// The whole list, where no changes lead there from the one that the receiver knows.
    pub whole: Option<Vec<Member>>,
}

/// The members of the group, as last read or told.
#[derive(Clone, Debug, Default)]
pub struct Members {
    generation: u64,
    list: IndexSet<Member>,
    changes: VecDeque<MembersChange>,
    known_at: Option<Millis>,
    /// Whether the last news did not lead to the newest list.
    wants_whole: bool,
    /// When the group on the store, or the orderer, was heard last.
    heard_at: Option<Millis>,
    /// Where the listed hosts take callers. Two processes of one host may be listed for a moment.
    addresses: IndexSet<SocketAddr>,
    departed: Departed,
}

impl Members {
    /// Returns how many hosts there are; this one counts before the group was read.
    pub fn count(&self) -> usize {
        self.list.len().max(1)
    }

    /// Returns the hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.list.iter()
    }

    /// Tells whether the list has a host.
    pub fn lists(&self, host: &Member) -> bool {
        self.list.contains(host)
    }

    /// Returns how many hosts may admit requests by their share of a limit: those listed and those that left a while ago;
    /// nothing when this host reached nobody for so long that the others no longer count it.
    pub fn count_serving(&self, now: Millis) -> Option<usize> {
        let heard_at = self.known_at.and(self.heard_at)?;
        let is_counted = now.since(heard_at) < ALONE_MS;
        is_counted.then(|| self.addresses.len() + self.departed.count(now, &self.addresses))
    }

    /// Takes note that the group on the store, or the orderer, was heard: the others count this host.
    pub fn note_heard(&mut self, now: Millis) {
        self.heard_at = Some(now);
    }

    /// Returns the group's generation when the list was read.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns from which generation on this host wants to be told of changes.
    pub fn wants_from(&self) -> u64 {
        match self.wants_whole || self.known_at.is_none() {
            true => WHOLE,
            false => self.generation,
        }
    }

    /// Returns when the list was read or confirmed.
    pub fn known_at(&self) -> Option<Millis> {
        self.known_at
    }

    /// Takes the whole list as the group has it. Returns how it differs from the one before.
    pub fn replace(
        &mut self,
        now: Millis,
        generation: u64,
        list: IndexSet<Member>,
    ) -> MembersChange {
        let change = MembersChange {
            from: self.generation,
            to: generation,
            joined: list.difference(&self.list).cloned().collect(),
            left: self.list.difference(&list).cloned().collect(),
        };
        self.list = list;
        self.keep(now, change.clone());
        change
    }

    /// Returns what a host is told that knows the list of a generation, also that it is the newest; nothing when this host
    /// knows an older one.
    pub fn news_since(&self, generation: u64) -> Option<MembersNews> {
        if self.known_at.is_none() || generation > self.generation {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.to > generation);
        let oldest = self.changes.front().map(|change| change.from);
        let is_led = generation == self.generation || oldest.is_some_and(|from| from <= generation);
        let is_whole = generation == WHOLE || !is_led;
        Some(MembersNews {
            generation: self.generation,
            digest: digest(&self.list),
            changes: newer.filter(|_| !is_whole).cloned().collect(),
            whole: is_whole.then(|| self.list.iter().cloned().collect()),
        })
    }

    /// Takes another host's news. Returns what changed, or nothing when the news do not lead from this host's list to
    /// the newest one: then it wants the whole list.
    pub fn apply(&mut self, now: Millis, news: MembersNews) -> Option<MembersChange> {
        if news.generation < self.generation {
            return None;
        }
        if let Some(whole) = news.whole {
            let list: IndexSet<Member> = whole.into_iter().collect();
            let is_sound = digest(&list) == news.digest;
            return is_sound.then(|| self.replace(now, news.generation, list));
        }
        self.known_at?;
        let own = self.generation;
        // The usual case, some times a second: the list stands.
        if news.generation == own && news.changes.is_empty() {
            return self.confirm(now, news.digest);
        }
        let newer = news.changes.into_iter().filter(|change| change.to > own);
        let mut list = self.list.clone();
        for change in newer {
            for member in &change.left {
                list.swap_remove(member);
            }
            list.extend(change.joined);
        }
        // A list read between two of the teller's reads may hold hosts that came and went between them.
        if digest(&list) != news.digest {
            self.wants_whole = true;
            return None;
        }
        Some(self.replace(now, news.generation, list))
    }

    fn confirm(&mut self, now: Millis, newest: u64) -> Option<MembersChange> {
        if digest(&self.list) != newest {
            self.wants_whole = true;
            return None;
        }
        self.known_at = Some(now);
        Some(MembersChange {
            from: self.generation,
            to: self.generation,
            ..MembersChange::default()
        })
    }

    fn keep(&mut self, now: Millis, change: MembersChange) {
        self.wants_whole = false;
        self.known_at = Some(now);
        self.addresses = self.list.iter().map(|host| host.caller_address).collect();
        self.departed.note(now, &change);
        self.generation = change.to;
        if change.is_empty() && change.from == change.to {
            return;
        }
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Returns a digest of a list that does not depend on its order: incarnations are random and differ.
fn digest(list: &IndexSet<Member>) -> u64 {
    let incarnations = list.iter().map(|member| member.incarnation);
    incarnations.fold(list.len() as u64, |digest, incarnation| {
        digest ^ incarnation
    })
}
