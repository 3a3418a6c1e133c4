//! The newer versions of the desired state that other hosts said they have.
//!
//! A host takes desired states from the store or from its relays. What other hosts say of their
//! versions shows that this host is behind, also while the store does not answer it.

use crate::group::Member;
use crate::prelude::*;

/// The most hosts with a newer version that are remembered; a few suffice to fetch it from.
const MAX_HOLDERS: usize = 8;

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

/// The hosts that have a newer version than this one.
#[derive(Clone, Debug, Default)]
pub struct NewerVersions {
    /// The versions of these hosts, the one that was heard of last at the end.
    holders: IndexMap<Member, u64>,
    behind_since: Option<Millis>,
}

impl NewerVersions {
    /// Records the version that a host said it has; `own` is the version in force at this host.
    pub fn note(&mut self, now: Millis, own: Option<u64>, holder: &Member, version: Option<u64>) {
        self.holders.shift_remove(holder);
        if let Some(version) = version.filter(|version| Some(*version) > own) {
            self.holders.insert(holder.clone(), version);
            if self.holders.len() > MAX_HOLDERS {
                self.holders.shift_remove_index(0);
            }
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that a version is now in force at this host.
    pub fn note_taken(&mut self, own: u64) {
        self.holders.retain(|_, version| *version > own);
        if self.holders.is_empty() {
            self.behind_since = None;
        }
    }

    /// Returns the newest version that another host has and this one lacks.
    pub fn behind(&self, now: Millis) -> Option<Behind> {
        let (holder, newest) = self.holders.iter().max_by_key(|(_, version)| **version)?;
        Some(Behind {
            newest: *newest,
            holder: holder.clone(),
            known_ms: now.since(self.behind_since?),
        })
    }
}
