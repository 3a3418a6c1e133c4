//! The newer versions of the desired state that other hosts said they have, and from which of them
//! to fetch one.
//!
//! A host takes desired states from the store or from its relays. What other hosts say of their
//! versions shows that this host is behind, also while the store does not answer it.

use crate::group::Member;
use crate::prelude::*;

/// The most hosts with a newer version that are remembered; a few suffice to fetch it from.
const MAX_HOLDERS: usize = 8;
/// How long a host from which the state could not be fetched comes after the others.
const HOLDER_RETRY_MS: Millis = Millis(1_000);

/// A newer version than that of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behind {
    /// The newest version that another host said it has.
    pub newest: u64,
    /// A host that has it.
    pub holder: Member,
    /// For how long this host has known that it is behind.
    pub known_ms: Millis,
}

/// What to do next about newer versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextFetch {
    /// Nothing: no other host has a newer version.
    Nothing,
    /// Fetch the desired state from this host.
    From(Member),
    /// Look again at this time.
    At(Millis),
}

#[derive(Clone, Debug)]
struct Holder {
    version: u64,
    /// Until when other hosts are asked first.
    failed_until: Option<Millis>,
}

/// The hosts that have a newer version than this one.
#[derive(Clone, Debug, Default)]
pub struct NewerVersions {
    /// These hosts, the one that was heard of last at the end.
    holders: IndexMap<Member, Holder>,
    behind_since: Option<Millis>,
}

impl NewerVersions {
    /// Records the version that a host said it has; `own` is the version in force at this host.
    /// Returns whether it is newer.
    pub fn note(
        &mut self,
        now: Millis,
        own: Option<u64>,
        holder: &Member,
        version: Option<u64>,
    ) -> bool {
        let former = self.holders.shift_remove(holder);
        let Some(version) = version.filter(|version| Some(*version) > own) else {
            self.clear_if_empty();
            return false;
        };
        let heard = Holder {
            version,
            failed_until: former.and_then(|former| former.failed_until),
        };
        self.holders.insert(holder.clone(), heard);
        if self.holders.len() > MAX_HOLDERS {
            self.holders.shift_remove_index(0);
        }
        self.behind_since.get_or_insert(now);
        true
    }

    /// Records that a version is now in force at this host.
    pub fn note_taken(&mut self, own: u64) {
        self.holders.retain(|_, holder| holder.version > own);
        self.clear_if_empty();
    }

    /// Records that the state could not be fetched from a host.
    pub fn note_failed(&mut self, now: Millis, holder: &Member) {
        if let Some(holder) = self.holders.get_mut(holder) {
            holder.failed_until = Some(now + HOLDER_RETRY_MS);
        }
    }

    /// Returns what to do next: fetch the newest version from a host that has it, once this host has
    /// been behind for `patience_ms`.
    pub fn next_fetch(&self, now: Millis, patience_ms: Millis) -> NextFetch {
        let Some(behind_since) = self.behind_since else {
            return NextFetch::Nothing;
        };
        let due_at = behind_since + patience_ms;
        if now < due_at {
            return NextFetch::At(due_at);
        }
        let is_resting = |holder: &Holder| holder.failed_until.is_some_and(|until| now < until);
        let usable = self.holders.iter().filter(|(_, one)| !is_resting(one));
        match usable.max_by_key(|(_, holder)| holder.version) {
            Some((member, _)) => NextFetch::From(member.clone()),
            None => {
                let ends = self.holders.values().filter_map(|one| one.failed_until);
                ends.min().map_or(NextFetch::Nothing, NextFetch::At)
            }
        }
    }

    /// Returns the newest version that another host has and this one lacks.
    pub fn behind(&self, now: Millis) -> Option<Behind> {
        let newest = self.holders.iter().max_by_key(|(_, one)| one.version);
        let (member, holder) = newest?;
        Some(Behind {
            newest: holder.version,
            holder: member.clone(),
            known_ms: now.since(self.behind_since?),
        })
    }

    fn clear_if_empty(&mut self) {
        if self.holders.is_empty() {
            self.behind_since = None;
        }
    }
}
