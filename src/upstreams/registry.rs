//! The list of upstreams with its changes, outages and lifetimes.

use crate::entry::platform::ModelRef;
use crate::prelude::*;
use crate::routing::roles::is_long;
use crate::upstreams::index::ListIndex;
use crate::upstreams::{Health, Lifetime, UpstreamEntry};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// How long entries that vanished in an outage of the list are still used after it: upstreams that live
/// write theirs again within about two seconds.
pub const OUTAGE_GRACE_MS: Millis = Millis(2_000);
/// How long the list must have been out of reach to count as an outage; shorter gaps are single lost polls.
const OUTAGE_MS: Millis = Millis(2_500);
/// Most names of which the last start is remembered after its entry is gone, so that a late copy of that entry does not
/// bring it back; as many as there are upstreams where these are more.
const LEAST_PAST: usize = 1_024;

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
    /// Until when the upstream counts as full, since it said so.
    pub full_until: Millis,
    vanished_at: Option<Millis>,
}

impl Upstream {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            entry,
            health: Health::default(),
            in_flight: 0,
            prompt_tokens: 0,
            long_prompts: 0,
            full_until: Millis::ZERO,
            vanished_at: None,
        }
    }

    /// Returns which start of the upstream this is.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime {
            id: self.entry.id.clone(),
            born_at: self.entry.born_at,
        }
    }

    /// Returns where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Tells whether the list has it; else it vanished in an outage and is kept for a while.
    pub fn is_listed(&self) -> bool {
        self.vanished_at.is_none()
    }

    /// Tells whether the engine holds a model and, where one is named, its adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.entry.models.iter().find(|held| &*held.name == model);
        held.is_some_and(|held| match adapter {
            Some(adapter) => held.adapters.iter().any(|own| &**own == adapter),
            None => true,
        })
    }

    /// Tells whether its entry says that the engine holds these models and adapters, and no others.
    pub fn holds_just(&self, asks: &[ModelRef]) -> bool {
        let models = self.entry.models.iter();
        let listed: usize = models.map(|held| 1 + held.adapters.len()).sum();
        let holds = |ask: &ModelRef| self.holds(&ask.model, ask.adapter.as_deref());
        listed == asks.len() && asks.iter().all(holds)
    }
}

/// What a change of the list did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A lifetime is new.
    Added,
    /// A known upstream started again under its name: nothing that was known of it holds any more.
    Restarted,
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

/// The last start of an upstream that is no longer listed.
#[derive(Clone, Copy, Debug)]
struct Past {
    born_at: Millis,
    /// Whether it began to leave or its address said that it is over; else its entry may have lapsed only.
    is_over: bool,
    /// How many starts were remembered before it.
    nth: u64,
}

/// The upstreams by name, each with its newest start.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    upstreams: IndexMap<Name, Upstream>,
    index: ListIndex,
    /// The upstreams with requests of this host under way.
    busy: IndexSet<Name>,
    past: IndexMap<Name, Past>,
    /// What was put into `past`, the oldest first, with how many were before it; some names were taken out since.
    past_order: VecDeque<(u64, Name)>,
    past_count: u64,
    version: u64,
    last_heard_at: Option<Millis>,
    was_unheard: bool,
    outage_ended_at: Option<Millis>,
}

impl Registry {
    /// Takes note that the list answered, or was said to be as known, at a moment; one before the last changes nothing.
    /// A long time without either is an outage only when the list was asked in vain: a host that relies on another one's
    /// word may hear it late.
    pub fn note_heard(&mut self, now: Millis) {
        let gap = self.last_heard_at.map_or(Millis::ZERO, |at| now.since(at));
        if std::mem::take(&mut self.was_unheard) && gap >= OUTAGE_MS {
            self.outage_ended_at = Some(now);
        }
        self.last_heard_at = self.last_heard_at.max(Some(now));
    }

    /// Takes note that the list was asked in vain.
    pub fn note_unheard(&mut self) {
        self.was_unheard = true;
    }

    /// Takes a new or changed entry. One of an earlier start than the one known is late and changes nothing.
    pub fn put(&mut self, entry: UpstreamEntry) -> Change {
        if self.is_past(&entry) {
            return Change::None;
        }
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) if entry.born_at < upstream.entry.born_at => Change::None,
            Some(upstream) if entry.born_at > upstream.entry.born_at => {
                self.busy.swap_remove(&entry.id);
                self.index.remove(&upstream.entry);
                self.index.add(&entry);
                self.version += 1;
                *upstream = Upstream::new(entry);
                Change::Restarted
            }
            Some(upstream) => {
                upstream.vanished_at = None;
                let leaves_now = entry.leaving && !upstream.entry.leaving;
                let is_same = upstream.entry == entry;
                // A lifetime that began to leave never comes back.
                let leaving = entry.leaving || upstream.entry.leaving;
                let is_indexed_same = upstream.entry.service == entry.service
                    && upstream.entry.models == entry.models;
                if !is_indexed_same {
                    self.index.remove(&upstream.entry);
                    self.index.add(&entry);
                }
                upstream.entry = UpstreamEntry { leaving, ..entry };
                match (leaves_now, is_same) {
                    (true, _) => Change::Leaving,
                    (false, true) => Change::None,
                    (false, false) => Change::Updated,
                }
            }
            None => {
                self.past.swap_remove(&entry.id);
                self.index.add(&entry);
                self.version += 1;
                self.upstreams
                    .insert(entry.id.clone(), Upstream::new(entry));
                Change::Added
            }
        }
    }

    /// Takes note that an upstream said itself that it started again; the list tells the rest later. Models of the
    /// former start are gone.
    pub fn note_restarted(&mut self, lifetime: &Lifetime) -> Change {
        let Some(upstream) = self.upstreams.get(&lifetime.id) else {
            return Change::None;
        };
        if lifetime.born_at <= upstream.entry.born_at {
            return Change::None;
        }
        let entry = UpstreamEntry {
            born_at: lifetime.born_at,
            leaving: false,
            order_count: 0,
            models: Vec::new(),
            ..upstream.entry.clone()
        };
        self.put(entry)
    }

    /// Takes note that an upstream's entry was replaced by one that names no upstream.
    pub fn drop_unreadable(&mut self, id: &str) -> Change {
        match self.drop_upstream(id, false) {
            true => Change::Gone,
            false => Change::None,
        }
    }

    /// Tells whether an entry is a late copy: of a start before the last one that was known, or of that one when it is
    /// over.
    fn is_past(&self, entry: &UpstreamEntry) -> bool {
        self.past.get(&entry.id).is_some_and(|past| {
            entry.born_at < past.born_at || (entry.born_at == past.born_at && past.is_over)
        })
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
        self.drop_upstream(id, false);
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
    pub fn end_lifetime(&mut self, lifetime: &Lifetime) -> bool {
        let known = self.get_lifetime(lifetime).is_some();
        known && self.drop_upstream(&lifetime.id, true)
    }

    /// Removes what was kept for a while only. Returns the lifetimes that ended.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
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
            self.drop_upstream(id, false);
        }
        vanished
    }

    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream if this start of it is the one known.
    pub fn get_lifetime(&self, lifetime: &Lifetime) -> Option<&Upstream> {
        let upstream = self.upstreams.get(&lifetime.id)?;
        (upstream.entry.born_at == lifetime.born_at).then_some(upstream)
    }

    /// Returns an upstream, for change, if this start of it is the one known: what a request learned of an earlier start
    /// says nothing of a later one.
    pub fn get_lifetime_mut(&mut self, lifetime: &Lifetime) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&lifetime.id)?;
        (upstream.entry.born_at == lifetime.born_at).then_some(upstream)
    }

    /// Counts a request of this host at a start of an upstream, if that start is the one known.
    pub fn begin_request(&mut self, lifetime: &Lifetime, prompt_tokens: u64) {
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return;
        };
        upstream.in_flight += 1;
        upstream.prompt_tokens += prompt_tokens;
        upstream.long_prompts += u32::from(is_long(prompt_tokens));
        self.busy.insert(lifetime.id.clone());
    }

    /// Takes note that the prompt of a request was read.
    pub fn note_prompt_read(&mut self, lifetime: &Lifetime, prompt_tokens: u64) {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            upstream.prompt_tokens = upstream.prompt_tokens.saturating_sub(prompt_tokens);
            let long_prompts = u32::from(is_long(prompt_tokens));
            upstream.long_prompts = upstream.long_prompts.saturating_sub(long_prompts);
        }
    }

    /// Takes note that a request of this host is over.
    pub fn end_request(&mut self, lifetime: &Lifetime) {
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if upstream.in_flight == 0 {
            self.busy.swap_remove(&lifetime.id);
        }
    }

    /// Returns the upstreams with requests of this host under way.
    pub fn busy(&self) -> impl Iterator<Item = &Upstream> {
        self.busy.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Returns the version of which starts are listed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many upstreams there are.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let serving = self.index.serving(service);
        serving
            .filter_map(|id| self.upstreams.get(id))
            .filter(|upstream| !upstream.entry.leaving)
    }

    /// Returns the upstreams that list a model.
    pub fn listing<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let listing = self.index.listing(model);
        listing.filter_map(|id| self.upstreams.get(id))
    }

    fn drop_upstream(&mut self, id: &str, is_over: bool) -> bool {
        let Some(upstream) = self.upstreams.swap_remove(id) else {
            return false;
        };
        self.version += 1;
        self.busy.swap_remove(id);
        self.index.remove(&upstream.entry);
        let past = Past {
            born_at: upstream.entry.born_at,
            is_over: is_over || upstream.entry.leaving,
            nth: self.past_count,
        };
        let name = upstream.entry.id;
        self.past_order.push_back((self.past_count, name.clone()));
        self.past_count += 1;
        self.past.insert(name, past);
        self.forget_oldest();
        true
    }

    fn forget_oldest(&mut self) {
        let most = self.upstreams.len().max(LEAST_PAST);
        while self.past_order.len() > most
            && let Some((nth, name)) = self.past_order.pop_front()
        {
            if self.past.get(&name).is_some_and(|past| past.nth == nth) {
                self.past.swap_remove(&name);
            }
        }
    }
}
