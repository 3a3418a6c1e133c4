//! The list of upstreams with its changes, outages and lifetimes.

use crate::prelude::*;
use crate::upstreams::{Health, UpstreamEntry};
use std::net::SocketAddr;

/// How long entries that vanished in an outage of the list are still used after it: upstreams that live
/// write theirs again within about two seconds.
pub const OUTAGE_GRACE_MS: Millis = Millis(2_000);
/// How long the list must have been out of reach to count as an outage; shorter gaps are single lost polls.
const OUTAGE_MS: Millis = Millis(2_500);
/// How long a lifetime that ended is remembered, so that a late copy of its entry does not bring it back.
const TOMBSTONE_MS: Millis = Millis(60_000);

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the list says.
    pub entry: UpstreamEntry,
    /// The results of this host's sends.
    pub health: Health,
    /// Requests of this host under way there.
    pub in_flight: u32,
    /// Prompt tokens of this host's requests there that have no first event yet.
    pub prompt_tokens: u64,
    /// How many of these requests have long prompts.
    pub long_prompts: u32,
    vanished_at: Option<Millis>,
}

impl Upstream {
    /// Returns where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Tells whether the engine holds a model and, where one is named, its adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.entry.models.iter().find(|held| &*held.name == model);
        held.is_some_and(|held| match adapter {
            Some(adapter) => held.adapters.iter().any(|own| &**own == adapter),
            None => true,
        })
    }
}

/// What a change of the list did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A lifetime is new.
    Added,
    /// A lifetime began to leave.
    Leaving,
    /// A lifetime is gone.
    Gone,
    /// An entry vanished in an outage and is kept for a while.
    Held,
    /// Something else of an entry changed.
    Updated,
    /// Nothing that matters changed.
    None,
}

/// The upstreams by lifetime.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    upstreams: IndexMap<Name, Upstream>,
    ended: IndexMap<Name, Millis>,
    last_heard_at: Option<Millis>,
    was_unheard: bool,
    outage_ended_at: Option<Millis>,
}

impl Registry {
    /// Takes note that the list answered, or was said to be as known. A long time without either is an outage only when
    /// the list was asked in vain: a host that relies on another one's word may hear it late.
    pub fn note_heard(&mut self, now: Millis) {
        let gap = self.last_heard_at.map_or(Millis::ZERO, |at| now.since(at));
        if std::mem::take(&mut self.was_unheard) && gap >= OUTAGE_MS {
            self.outage_ended_at = Some(now);
        }
        self.last_heard_at = Some(now);
    }

    /// Takes note that the list was asked in vain.
    pub fn note_unheard(&mut self) {
        self.was_unheard = true;
    }

    /// Takes a new or changed entry.
    pub fn put(&mut self, entry: UpstreamEntry) -> Change {
        if self.ended.contains_key(&entry.id) {
            return Change::None;
        }
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) => {
                upstream.vanished_at = None;
                let leaves_now = entry.leaving && !upstream.entry.leaving;
                let is_same = upstream.entry == entry;
                // A lifetime that began to leave never comes back.
                let leaving = entry.leaving || upstream.entry.leaving;
                upstream.entry = UpstreamEntry { leaving, ..entry };
                match (leaves_now, is_same) {
                    (true, _) => Change::Leaving,
                    (false, true) => Change::None,
                    (false, false) => Change::Updated,
                }
            }
            None => {
                let upstream = Upstream {
                    entry,
                    health: Health::default(),
                    in_flight: 0,
                    prompt_tokens: 0,
                    long_prompts: 0,
                    vanished_at: None,
                };
                self.upstreams.insert(upstream.entry.id.clone(), upstream);
                Change::Added
            }
        }
    }

    /// Takes the removal of an entry. Within [`OUTAGE_GRACE_MS`] after an outage the upstream is kept for the
    /// rest of that time: it may only have been unable to renew its entry.
    pub fn remove(&mut self, now: Millis, id: &str) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::None;
        };
        let after_outage = self
            .outage_ended_at
            .is_some_and(|at| now.since(at) < OUTAGE_GRACE_MS);
        if after_outage && !upstream.entry.leaving {
            upstream.vanished_at = Some(now);
            return Change::Held;
        }
        self.drop_upstream(id);
        Change::Gone
    }

    /// Takes the whole list; entries that it lacks are removed.
    pub fn replace(&mut self, now: Millis, entries: Vec<UpstreamEntry>) -> Vec<(Name, Change)> {
        let listed: IndexSet<Name> = entries.iter().map(|entry| entry.id.clone()).collect();
        let lacking: Vec<Name> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in lacking {
            let change = self.remove(now, &id);
            changes.push((id, change));
        }
        for entry in entries {
            let id = entry.id.clone();
            changes.push((id, self.put(entry)));
        }
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Ends a lifetime of which the upstream's own address said that it is over.
    pub fn end_lifetime(&mut self, now: Millis, id: &str) -> bool {
        let known = self.upstreams.contains_key(id);
        if known {
            self.drop_upstream(id);
            self.ended.insert(id.into(), now);
        }
        known
    }

    /// Removes what was kept for a while only. Returns the lifetimes that ended.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        self.ended
            .retain(|_, ended_at| now.since(*ended_at) < TOMBSTONE_MS);
        let Some(outage_ended_at) = self.outage_ended_at else {
            return Vec::new();
        };
        if now.since(outage_ended_at) < OUTAGE_GRACE_MS {
            return Vec::new();
        }
        let vanished: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.vanished_at.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &vanished {
            self.drop_upstream(id);
        }
        vanished
    }

    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream, for change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| &*upstream.entry.service == service && !upstream.entry.leaving)
    }

    fn drop_upstream(&mut self, id: &str) {
        self.upstreams.shift_remove(id);
    }
}
