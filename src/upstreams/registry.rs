//! The list of upstreams: changes of its entries, outages of the list, and the lifetimes of
//! upstreams.

use crate::entry::platform::ModelRef;
use crate::prelude::*;
use crate::routing::roles::is_long;
use crate::upstreams::index::ListIndex;
use crate::upstreams::stated_load::KnownLoad;
use crate::upstreams::{
    Health, Lifetime, LifetimeKey, Notice, NoticeChange, Notices, Path, RejectionLimit,
    UpstreamContact, UpstreamEntry, VersionHistory,
};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// How long after an outage of the list an upstream whose entry is missing is still used. Running
/// upstreams write their entries again within about two seconds.
pub const OUTAGE_GRACE_MS: Millis = Millis(2_000);
/// How long the list must have been unreachable to count as an outage; shorter gaps are single
/// polls that failed.
const OUTAGE_MS: Millis = Millis(2_500);
/// Number of removed upstreams whose last lifetime is remembered, so that a late copy of an entry
/// does not add it again. If there are more upstreams than this, as many are remembered as there
/// are upstreams.
const MIN_REMEMBERED_PAST: usize = 1_024;

/// One upstream in its current lifetime.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream's entry in the list.
    pub entry: UpstreamEntry,
    /// The results of this host's requests to it.
    pub health: Health,
    /// What it stated in its answers to this host.
    pub notices: Notices,
    /// Whether this host reaches it.
    pub path: Path,
    /// Number of this host's requests in progress there.
    pub in_flight: u32,
    /// Number of these requests whose answers have not begun.
    pub unanswered: u32,
    /// Until when this host sends nothing there after a request of its was turned away, if the
    /// upstream limits how many it can turn away.
    pub paused_until: Millis,
    /// Prompt tokens of this host's requests there that are waiting for their first event.
    pub prompt_tokens: u64,
    /// Number of these waiting requests that have long prompts.
    pub long_prompts: u32,
    /// Tokens that this host's requests in progress there may take of its KV cache.
    pub held_tokens: u64,
    /// Until when the upstream counts as full after it answered that it is.
    pub full_until: Millis,
    /// The newest load that it stated in an answer, to this host or to another one.
    pub known_load: Option<KnownLoad>,
    /// When this host last got an answer's head or an event from the upstream.
    pub heard_at: Option<Millis>,
    /// What this host knows of earlier starts under this name.
    pub former_start: FormerStart,
    /// When the entry vanished in an outage, if the upstream is kept during the grace period.
    vanished_at: Option<Millis>,
}

impl Upstream {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            entry,
            health: Health::default(),
            notices: Notices::default(),
            path: Path::default(),
            in_flight: 0,
            unanswered: 0,
            paused_until: Millis::ZERO,
            prompt_tokens: 0,
            long_prompts: 0,
            held_tokens: 0,
            full_until: Millis::ZERO,
            known_load: None,
            heard_at: None,
            former_start: FormerStart::Unknown,
            vanished_at: None,
        }
    }

    /// Returns the lifetime of the upstream.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime {
            id: self.entry.id.clone(),
            born_at: self.entry.born_at,
        }
    }

    /// Returns the lifetime of the upstream as the key of a look-up.
    pub fn lifetime_key(&self) -> LifetimeKey<'_> {
        LifetimeKey {
            id: &self.entry.id,
            born_at: self.entry.born_at,
        }
    }

    /// Returns the address at which the upstream takes requests.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Returns whether the upstream is shutting down and takes no new requests, as its entry or one
    /// of its answers states.
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.notices.is_leaving()
    }

    /// Tells whether the upstream may get requests of this host now: it is not leaving, and does not
    /// rest.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        !self.is_leaving() && self.notices.rests_until(now).is_none()
    }

    /// Returns the version of the upstream's software; none if its entry has vanished or does not
    /// state it.
    pub fn software_version(&self) -> Option<&Name> {
        let version = self.entry.software_version.as_ref();
        version.filter(|_| self.is_listed())
    }

    /// Tells whether the upstream has the software version that a request needs, if it needs one.
    pub fn has_software_version(&self, needed: Option<&Name>) -> bool {
        needed.is_none_or(|needed| self.software_version() == Some(needed))
    }

    /// Returns whether the list has the upstream; otherwise its entry vanished in an outage and it
    /// is kept for [`OUTAGE_GRACE_MS`].
    pub fn is_listed(&self) -> bool {
        self.vanished_at.is_none()
    }

    /// Returns whether the engine holds a model and, if one is given, the model's adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.entry.models.iter().find(|held| &*held.name == model);
        held.is_some_and(|held| match adapter {
            Some(adapter) => held.adapters.iter().any(|own| &**own == adapter),
            None => true,
        })
    }

    /// Returns whether the entry lists exactly the given models and adapters.
    pub fn holds_exactly(&self, model_refs: &[ModelRef]) -> bool {
        let models = self.entry.models.iter();
        let listed: usize = models.map(|held| 1 + held.adapters.len()).sum();
        let holds = |ask: &ModelRef| self.holds(&ask.model, ask.adapter.as_deref());
        listed == model_refs.len() && model_refs.iter().all(holds)
    }
}

/// The effect of a change of the list on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was added.
    Added,
    /// A known upstream restarted under its name; its former state was discarded.
    Restarted,
    /// An upstream started to leave.
    Leaving,
    /// An upstream was removed.
    Gone,
    /// An entry vanished in an outage; the upstream is kept for the rest of the grace period.
    Retained,
    /// Other fields of an entry changed.
    Updated,
    /// Nothing relevant changed.
    Unchanged,
}

/// What a host knows of earlier starts of an upstream under its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FormerStart {
    /// There was none: the upstream was added while this host followed the list.
    None,
    /// There was one.
    Known {
        /// The time as of which the list was known when the present start was seen first.
        list_as_of: Millis,
    },
    /// The upstream was listed when this host read the list.
    #[default]
    Unknown,
}

/// The last lifetime of an upstream that was removed.
#[derive(Clone, Copy, Debug)]
struct PastLifetime {
    born_at: Millis,
    former_start: FormerStart,
    /// Whether it left, or a process at its address answered that this lifetime ended. Otherwise
    /// its entry may merely have lapsed.
    is_over: bool,
    /// What it stated in its answers to this host, in case its entry comes back.
    notices: Notices,
    /// Its sequence number among all remembered lifetimes.
    sequence: u64,
}

/// The upstreams by name, each in its newest lifetime.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    pub(super) upstreams: IndexMap<Name, Upstream>,
    index: ListIndex,
    /// The software versions that the services' upstreams have had.
    versions: VersionHistory,
    /// The names of the upstreams with requests of this host in progress.
    busy: IndexSet<Name>,
    /// The last lifetimes of removed upstreams, by name.
    past: IndexMap<Name, PastLifetime>,
    /// The sequence numbers and names put into `past`, oldest first. Some may have been removed
    /// from `past` or replaced there since.
    past_order: VecDeque<(u64, Name)>,
    next_sequence: u64,
    /// Grows whenever an upstream is added, restarted or removed.
    version: u64,
    /// The latest time as of which the list was read or confirmed.
    last_reached_at: Option<Millis>,
    /// Whether a poll of the list failed since then.
    poll_failed: bool,
    /// When the last outage of the list ended.
    outage_ended_at: Option<Millis>,
    /// The last contact with any upstream.
    pub(super) contact: UpstreamContact,
    /// The services of which this host reaches no upstream, and since when.
    pub(super) lost_services: IndexMap<Name, Millis>,
    /// How many requests the upstreams of a service can turn away, where their answers state it.
    pub(super) rejection_limits: IndexMap<Name, RejectionLimit>,
    /// When an answer last said that the upstreams of a service state no such number any more.
    pub(super) rejections_unlimited_at: IndexMap<Name, Millis>,
    /// The names of upstreams that stated their load, some of which may have been removed since.
    pub(super) stating: IndexSet<Name>,
}

impl Registry {
    /// Records that the list was read, or confirmed as unchanged by another host, as of `now`. A
    /// time before the last recorded one changes nothing. A gap of at least `OUTAGE_MS` between
    /// two such times counts as an outage only if a poll of the list failed within the gap. Without
    /// a failed poll, the copy of the list that this host gets from another host may merely have
    /// been late.
    pub fn note_list_reached(&mut self, now: Millis) {
        let gap = self
            .last_reached_at
            .map_or(Millis::ZERO, |at| now.since(at));
        if std::mem::take(&mut self.poll_failed) && gap >= OUTAGE_MS {
            self.outage_ended_at = Some(now);
        }
        self.last_reached_at = self.last_reached_at.max(Some(now));
    }

    /// Records that the list comes from a store that was restored from an older copy. Entries that
    /// the copy lacks are written again; until then their upstreams are kept, as after an outage.
    pub fn note_list_restored(&mut self, now: Millis) {
        self.outage_ended_at = self.outage_ended_at.max(Some(now));
    }

    /// Records that a poll of the list failed.
    pub fn note_list_unreachable(&mut self) {
        self.poll_failed = true;
    }

    /// Adds or updates an entry whose change this host followed. An entry of an earlier lifetime than
    /// the known one arrived late and changes nothing.
    pub fn put(&mut self, entry: UpstreamEntry) -> Change {
        self.put_entry(entry, FormerStart::None)
    }

    /// Adds or updates an entry. `of_unseen` is what is known of earlier starts if the upstream was not
    /// listed before.
    fn put_entry(&mut self, entry: UpstreamEntry, of_unseen: FormerStart) -> Change {
        if self.is_past(&entry) {
            return Change::Unchanged;
        }
        let list_as_of = self.list_as_of();
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) if entry.born_at < upstream.entry.born_at => Change::Unchanged,
            Some(upstream) if entry.born_at > upstream.entry.born_at => {
                self.busy.swap_remove(&entry.id);
                self.index.remove(&upstream.entry);
                self.index.add(&entry);
                self.versions.remove(&upstream.entry, list_as_of);
                self.versions.add(&entry);
                self.version += 1;
                *upstream = Upstream {
                    former_start: FormerStart::Known { list_as_of },
                    ..Upstream::new(entry)
                };
                Change::Restarted
            }
            Some(upstream) => {
                upstream.vanished_at = None;
                let starts_leaving = entry.leaving && !upstream.entry.leaving;
                let is_unchanged = upstream.entry == entry;
                // A lifetime that started to leave never becomes available again.
                let leaving = entry.leaving || upstream.entry.leaving;
                let index_unchanged = upstream.entry.service == entry.service
                    && upstream.entry.models == entry.models;
                if !index_unchanged {
                    self.index.remove(&upstream.entry);
                    self.index.add(&entry);
                }
                let version_unchanged = upstream.entry.service == entry.service
                    && upstream.entry.software_version == entry.software_version;
                if !version_unchanged {
                    self.versions.remove(&upstream.entry, list_as_of);
                    self.versions.add(&entry);
                }
                upstream.entry = UpstreamEntry { leaving, ..entry };
                match (starts_leaving, is_unchanged) {
                    (true, _) => Change::Leaving,
                    (false, true) => Change::Unchanged,
                    (false, false) => Change::Updated,
                }
            }
            None => {
                let past = self.past.swap_remove(&entry.id);
                let same = past.filter(|past| past.born_at == entry.born_at);
                self.index.add(&entry);
                self.versions.add(&entry);
                self.version += 1;
                let former_start = match (same, past) {
                    (Some(same), _) => same.former_start,
                    (None, Some(_)) => FormerStart::Known { list_as_of },
                    (None, None) => of_unseen,
                };
                let upstream = Upstream {
                    notices: same.map_or_else(Notices::default, |past| past.notices),
                    former_start,
                    ..Upstream::new(entry)
                };
                self.upstreams.insert(upstream.entry.id.clone(), upstream);
                Change::Added
            }
        }
    }

    /// Records a restart that the upstream itself reported before the list did. The models of the
    /// former lifetime are dropped; the list gives the rest of the entry later.
    pub fn note_restarted(&mut self, lifetime: &Lifetime) -> Change {
        let Some(upstream) = self.upstreams.get(&lifetime.id) else {
            return Change::Unchanged;
        };
        if lifetime.born_at <= upstream.entry.born_at {
            return Change::Unchanged;
        }
        let entry = UpstreamEntry {
            born_at: lifetime.born_at,
            leaving: false,
            order_count: 0,
            models: Vec::new(),
            // It may have started again in another version.
            software_version: None,
            ..upstream.entry.clone()
        };
        self.put(entry)
    }

    /// Removes an upstream whose entry was replaced by one that cannot be parsed.
    pub fn drop_unreadable(&mut self, id: &str) -> Change {
        match self.drop_upstream(id, false) {
            true => Change::Gone,
            false => Change::Unchanged,
        }
    }

    /// Returns whether an entry arrived late, after its upstream was removed. That is so if it is
    /// of an earlier lifetime than the last one known of the upstream, or if it is of that last
    /// lifetime and the lifetime has ended.
    fn is_past(&self, entry: &UpstreamEntry) -> bool {
        self.past.get(&entry.id).is_some_and(|past| {
            entry.born_at < past.born_at || (entry.born_at == past.born_at && past.is_over)
        })
    }

    /// Removes an entry. Within [`OUTAGE_GRACE_MS`] after an outage the upstream is kept for the
    /// rest of that time, since it may only have been unable to renew its entry.
    pub fn remove(&mut self, now: Millis, id: &str) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::Unchanged;
        };
        let after_outage = self
            .outage_ended_at
            .is_some_and(|at| now.since(at) < OUTAGE_GRACE_MS);
        if after_outage && !upstream.is_leaving() {
            upstream.vanished_at = Some(now);
            return Change::Retained;
        }
        self.drop_upstream(id, false);
        Change::Gone
    }

    /// Replaces the list by a full one; entries that it lacks are removed. Returns the changes by
    /// name.
    pub fn replace(&mut self, now: Millis, entries: Vec<UpstreamEntry>) -> Vec<(Name, Change)> {
        self.versions.restart(now);
        let listed: IndexSet<Name> = entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<Name> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(now, &id);
            changes.push((id, change));
        }
        changes.extend(self.put_all(entries));
        changes.retain(|(_, change)| *change != Change::Unchanged);
        changes
    }

    /// Adds or updates entries of a list of which others are unknown. Changes of those may have been
    /// missed. Returns the changes.
    pub fn add_entries(&mut self, now: Millis, entries: Vec<UpstreamEntry>) -> Vec<(Name, Change)> {
        self.versions.restart(now);
        let mut changes = self.put_all(entries);
        changes.retain(|(_, change)| *change != Change::Unchanged);
        changes
    }

    fn put_all(&mut self, entries: Vec<UpstreamEntry>) -> Vec<(Name, Change)> {
        let put = |entry: UpstreamEntry| {
            let id = entry.id.clone();
            (id, self.put_entry(entry, FormerStart::Unknown))
        };
        entries.into_iter().map(put).collect()
    }

    /// Ends a lifetime after the process at the upstream's address answered that it is over.
    /// Returns whether it was the known one.
    pub fn end_lifetime(&mut self, lifetime: &Lifetime) -> bool {
        let known = self.get_lifetime(lifetime).is_some();
        known && self.drop_upstream(&lifetime.id, true)
    }

    /// Removes the upstreams that were kept for the grace period, once that is over. Returns their
    /// names.
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

    /// Returns an upstream by name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream if the given lifetime is the known one.
    pub fn get_lifetime(&self, lifetime: &Lifetime) -> Option<&Upstream> {
        let upstream = self.upstreams.get(&lifetime.id)?;
        (upstream.entry.born_at == lifetime.born_at).then_some(upstream)
    }

    /// Returns an upstream mutably if the given lifetime is the known one; the result of a request
    /// to an earlier lifetime must not change a later one.
    pub fn get_lifetime_mut(&mut self, lifetime: &Lifetime) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&lifetime.id)?;
        (upstream.entry.born_at == lifetime.born_at).then_some(upstream)
    }

    /// Returns the software versions that the upstreams of each service have had.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns the software versions that the upstreams of each service have had, to add to them.
    pub fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }

    /// Tells whether an upstream of a service that is not leaving has a software version.
    pub fn serves_version(&self, service: &str, version: &Name) -> bool {
        let mut serving = self.serving(service);
        serving
            .any(|upstream| !upstream.is_leaving() && upstream.software_version() == Some(version))
    }

    fn list_as_of(&self) -> Millis {
        self.last_reached_at.unwrap_or(Millis::ZERO)
    }

    /// Returns the start of the last lifetime of a removed upstream.
    pub fn last_start(&self, id: &str) -> Option<Millis> {
        self.past.get(id).map(|past| past.born_at)
    }

    /// Tells whether an upstream may get requests of this host now, and the given lifetime is the
    /// known one.
    pub fn accepts_requests(&self, now: Millis, lifetime: &Lifetime) -> bool {
        self.get_lifetime(lifetime)
            .is_some_and(|upstream| upstream.accepts_requests(now))
    }

    /// Tells whether the given lifetime is the known one and is not leaving.
    pub fn is_staying(&self, lifetime: &Lifetime) -> bool {
        self.get_lifetime(lifetime)
            .is_some_and(|upstream| !upstream.is_leaving())
    }

    /// Records what an answer of an upstream states, if the given lifetime is the known one or the
    /// last one of a removed upstream, whose entry may come back. Returns what changed.
    pub fn record_notice(
        &mut self,
        now: Millis,
        lifetime: &Lifetime,
        notice: Notice,
    ) -> Option<NoticeChange> {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            return upstream.notices.record(now, notice);
        }
        let past = self.past.get_mut(&lifetime.id)?;
        if past.born_at != lifetime.born_at {
            return None;
        }
        past.is_over |= notice.is_leaving;
        past.notices.record(now, notice)
    }

    /// Records that an answer's head or an event came from an upstream.
    pub fn note_heard(&mut self, now: Millis, lifetime: &Lifetime) {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            upstream.heard_at = Some(now);
        }
    }

    /// Counts a request of this host at an upstream, if the given lifetime is the known one.
    pub fn begin_request(&mut self, lifetime: &Lifetime, prompt_tokens: u64) {
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return;
        };
        upstream.in_flight += 1;
        upstream.unanswered += 1;
        upstream.prompt_tokens += prompt_tokens;
        upstream.long_prompts += u32::from(is_long(prompt_tokens));
        self.busy.insert(lifetime.id.clone());
    }

    /// Records that the answer to a request has begun, so that the engine has processed its prompt.
    pub fn note_first_byte(&mut self, lifetime: &Lifetime, prompt_tokens: u64) {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            upstream.unanswered = upstream.unanswered.saturating_sub(1);
            upstream.prompt_tokens = upstream.prompt_tokens.saturating_sub(prompt_tokens);
            let long_prompts = u32::from(is_long(prompt_tokens));
            upstream.long_prompts = upstream.long_prompts.saturating_sub(long_prompts);
        }
    }

    /// Adds what a request of this host may take of an engine's KV cache.
    pub fn hold_tokens(&mut self, lifetime: &Lifetime, tokens: u64) {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            upstream.held_tokens = upstream.held_tokens.saturating_add(tokens);
        }
    }

    /// Takes off what a request of this host that ended had taken of an engine's KV cache.
    pub fn release_tokens(&mut self, lifetime: &Lifetime, tokens: u64) {
        if let Some(upstream) = self.get_lifetime_mut(lifetime) {
            upstream.held_tokens = upstream.held_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request of this host ended.
    pub fn end_request(&mut self, lifetime: &Lifetime) {
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if upstream.in_flight == 0 {
            self.busy.swap_remove(&lifetime.id);
        }
    }

    /// Returns the upstreams with requests of this host in progress.
    pub fn busy(&self) -> impl Iterator<Item = &Upstream> {
        self.busy.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Returns a number that grows whenever an upstream is added, restarted or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of upstreams, leaving ones included.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Iterates over all upstreams, leaving ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service, leaving ones included.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let serving = self.index.serving(service);
        serving.filter_map(|id| self.upstreams.get(id))
    }

    /// Returns the upstreams of a service that may get new requests: all that are not leaving.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.serving(service)
            .filter(|upstream| !upstream.is_leaving())
    }

    /// Returns the upstreams whose entries list a model, leaving ones included.
    pub fn listing_model<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Upstream> {
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
        self.versions.remove(&upstream.entry, self.list_as_of());
        let past = PastLifetime {
            born_at: upstream.entry.born_at,
            former_start: upstream.former_start,
            is_over: is_over || upstream.is_leaving(),
            notices: upstream.notices,
            sequence: self.next_sequence,
        };
        let name = upstream.entry.id;
        self.past_order
            .push_back((self.next_sequence, name.clone()));
        self.next_sequence += 1;
        self.past.insert(name, past);
        self.trim_past();
        true
    }

    fn trim_past(&mut self) {
        let most = self.upstreams.len().max(MIN_REMEMBERED_PAST);
        while self.past_order.len() > most
            && let Some((sequence, name)) = self.past_order.pop_front()
        {
            if self
                .past
                .get(&name)
                .is_some_and(|past| past.sequence == sequence)
            {
                self.past.swap_remove(&name);
            }
        }
    }
}
