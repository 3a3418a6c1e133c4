//! Demand for models, and the proposals of loads and unloads that follow from it.
//!
//! The home of a model proposes its loads. Other hosts send it hints of their demand, and propose a
//! load themselves if the home does not within [`HOME_PRIORITY_MS`]. The home of an upstream
//! decides which copies are unloaded there, so the other hosts also send it hints of their use of
//! the models on that upstream.

use crate::daemon::node::{Life, Node};
use crate::membership::entry::home;
use crate::membership::message::PeerRequest;
use crate::placement::configured::ConfiguredCopies;
use crate::placement::copies::{Copy, CopyState, Placement};
use crate::placement::message::StoreReport;
use crate::placement::missing_copies::MissingCopyDetector;
use crate::placement::policy::choice::{Choice, LoadContext, UpstreamStatus, choose};
use crate::placement::policy::demand::{DemandHints, MemoryRequest, UsageHint, UsageTracker};
use crate::placement::policy::keep_warm::IdleCopy;
use crate::prelude::*;
use crate::table::message::Urgency;
use std::cmp::Reverse;

/// How long a host waits, after it proposed the load of a model or requested memory for it, before
/// it does so again.
pub const PROPOSAL_RETRY_MS: Millis = Millis(1_000);
/// How long a host waits before it checks a model again that cannot be loaded now.
pub const CHOICE_RETRY_MS: Millis = Millis(100);
/// How long a host waits before it proposes a load again that the weight store's limits rejected.
pub const STORE_LIMIT_RETRY_MS: Millis = Millis(500);
/// How long a host that is not the home of a model waits for the home's proposal before it proposes
/// the load itself.
pub const HOME_PRIORITY_MS: Millis = Millis(200);
/// The interval at which a host sends hints of its use of models.
pub const HINT_INTERVAL_MS: Millis = Millis(1_000);
/// How long a use of a model is included in hints.
pub const HINT_WINDOW_MS: Millis = Millis(3_000);
/// How long a use of a model is included in hints until the homes are settled after a change, so
/// that new homes learn of earlier uses.
pub const HINT_RESEND_WINDOW_MS: Millis = Millis(900_000);
/// Most models, and most memory requests, that are sent or accepted in the hints of one message.
pub const MAX_HINTS: usize = 64;
/// How long the homes must have been unchanged before a copy is unloaded for lack of use; within
/// this time the hints of other hosts reach a new home.
pub const HOMES_SETTLE_MS: Millis = Millis(3_000);
/// How long a copy must be idle before it may be unloaded for lack of use or for another model.
pub const MIN_IDLE_TIME_MS: Millis = Millis(3_000);

/// The demand for models as known to this host, and its proposals of loads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Demand {
    /// The use of models, at this host and as hinted by others.
    pub(super) uses: UsageTracker,
    /// Which ready copies the engines still report.
    pub(super) presence: MissingCopyDetector,
    /// The number of copies and the data centres that the table configures for each model.
    pub(super) decided: ConfiguredCopies,
    /// The index of the copy at which the next check for unloads starts.
    pub(super) cursor: usize,
    /// The weight store's last report.
    store: Option<StoreReport>,
    /// The models that need a copy, or another copy, for requests that wait or were refused for a
    /// cold start.
    wanted: IndexMap<Name, WantedModel>,
    /// When this host last proposed the load of a model, or requested memory for it. Removed once
    /// the record of a load is applied.
    proposed_at: IndexMap<Name, Millis>,
    /// Since when the weight store's limits allow another load.
    store_room_since: Option<Millis>,
    /// The memory needed on upstreams, to be sent to the homes of those upstreams.
    room_wanted: Vec<MemoryRequest>,
    next_hints_at: Millis,
    /// When the loads under way were decided, by the timestamps of the log.
    loads_since: IndexMap<Offset, Millis>,
    /// A hash of the present hosts that are not suspected, by which changes of the homes are
    /// detected.
    homes: u64,
    /// When that hash last changed.
    homes_since: Millis,
}

/// The demand for a model that needs a copy or another copy.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WantedModel {
    /// When the demand began.
    since: Millis,
    /// When the demand expires unless it is renewed.
    until: Millis,
    urgency: Urgency,
    /// The number of waiting requests.
    waiting: usize,
    /// The earliest time at which a load is considered again.
    look_at: Millis,
}

impl Demand {
    /// Records that a request of this host uses a model.
    pub fn note_use(&mut self, now: Millis, model: &Name) {
        self.uses.note_own_request(now, model);
    }

    /// Replaces the weight store's report; `None` if the store did not answer.
    pub fn on_store_reported(&mut self, report: Option<StoreReport>) {
        self.store = report;
    }

    /// Handles the applied record of a load, whether it was accepted or rejected: another load of
    /// the model may be proposed.
    pub(super) fn on_load_applied(&mut self, model: &Name) {
        self.proposed_at.swap_remove(model);
    }

    /// Delays the next proposal of a load that the weight store's limits rejected.
    pub(super) fn on_store_busy(&mut self, now: Millis, model: &Name) {
        if let Some(wanted) = self.wanted.get_mut(model) {
            wanted.look_at = now + STORE_LIMIT_RETRY_MS;
        }
    }

    /// Records the start of a load that was accepted.
    pub(super) fn on_load_decided(&mut self, id: Offset, decided_at: Millis) {
        self.loads_since.insert(id, decided_at);
    }

    /// Records how long a load took, if the order that ended was a load order and the copy is
    /// ready.
    pub(super) fn on_outcome(&mut self, ended_at: Millis, id: Offset, placement: &Placement) {
        let Some(decided_at) = self.loads_since.swap_remove(&id) else {
            return;
        };
        if let Some(copy) = placement.copies.get(&id)
            && copy.state == CopyState::Ready
        {
            self.uses
                .note_load(&copy.load.model, ended_at.since(decided_at));
        }
        self.loads_since
            .retain(|id, _| placement.copies.contains_key(id));
    }

    /// Returns whether the homes have been unchanged for so long that this host has the hints of
    /// all hosts on their use of models.
    pub(super) fn are_homes_settled(&self, now: Millis) -> bool {
        now.since(self.homes_since) >= HOMES_SETTLE_MS
    }

    /// Records that requests wait for a model, or renews that record until `until`.
    pub(super) fn note_demand(
        &mut self,
        now: Millis,
        model: &Name,
        urgency: Urgency,
        waiting: usize,
        until: Millis,
    ) {
        let wanted = self.wanted.entry(model.clone()).or_insert(WantedModel {
            since: now,
            until,
            urgency,
            waiting,
            look_at: now,
        });
        wanted.until = until.max(wanted.until);
        wanted.urgency = urgency.min(wanted.urgency);
        wanted.waiting = waiting;
    }

    fn may_propose(&mut self, now: Millis, model: &Name) -> bool {
        let proposed_at = self.proposed_at.get(model);
        proposed_at.is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY_MS)
    }
}

impl Node {
    /// Records that requests of this host wait for a model that needs a copy or another copy.
    pub fn ensure_loading(&mut self, now: Millis, model: &Name) {
        let urgency = self.queues.most_urgent(model).unwrap_or_default();
        let waiting = self.queues.waiting(model);
        if !self.demand.wanted.contains_key(model) {
            self.demand.next_hints_at = now;
        }
        self.demand
            .note_demand(now, model, urgency, waiting, now + HINT_INTERVAL_MS);
    }

    /// Proposes loads in the order of urgency and demand, and sends hints of this host's demand to
    /// the homes.
    pub fn tick_demand(&mut self, now: Millis, fx: &mut Effects) {
        self.update_homes(now);
        self.request_more_copies(now);
        self.demand.wanted.retain(|_, wanted| wanted.until > now);
        self.demand
            .proposed_at
            .retain(|_, at| now.since(*at) < PROPOSAL_RETRY_MS);
        if self.life == Life::Serving {
            self.propose_loads(now);
        }
        self.send_hints(now, fx);
    }

    fn update_homes(&mut self, now: Millis) {
        let members = self.shared.members.iter();
        let homes = members
            .filter(|(host, _)| !self.probes.is_suspected(**host))
            .fold(0_u64, |sum, (host, _)| {
                sum.wrapping_mul(31).wrapping_add(host.0)
            });
        if homes != self.demand.homes {
            self.demand.homes = homes;
            self.demand.homes_since = now;
        }
    }

    /// Records demand for another copy of each model that has more waiting requests than its ready
    /// copies have slots.
    fn request_more_copies(&mut self, now: Millis) {
        for model in self.queues.targets() {
            let waiting = self.queues.waiting(&model);
            let ready_slots = self.ready_slots(&model);
            if ready_slots.is_some_and(|slots| waiting > slots as usize) {
                self.ensure_loading(now, &model);
            }
        }
    }

    /// Returns the number of slots of all ready copies of a model, or `None` without a ready copy.
    fn ready_slots(&self, model: &str) -> Option<u32> {
        let upstreams = &self.shared.placement.upstreams;
        let slots = self
            .shared
            .placement
            .copies_of(model)
            .filter(|(_, copy)| copy.state == CopyState::Ready)
            .filter_map(|(_, copy)| upstreams.get(&copy.load.upstream))
            .map(|upstream| upstream.slots);
        slots.reduce(u32::saturating_add)
    }

    fn propose_loads(&mut self, now: Millis) {
        self.demand.decided.refresh(&self.shared.table);
        let available_since = self.note_store_availability(now);
        let limits = &self.shared.table.store.value;
        let available = self
            .shared
            .placement
            .available_loads(self.log_now(now), limits);
        let mut free = available.saturating_sub(self.demand.proposed_at.len());
        let mut models: Vec<(Name, WantedModel)> = self
            .demand
            .wanted
            .iter()
            .map(|(model, wanted)| (model.clone(), *wanted))
            .collect();
        models.sort_by_key(|(_, wanted)| (wanted.urgency, Reverse(wanted.waiting), wanted.since));
        for (model, wanted) in models {
            if free == 0 {
                return;
            }
            if now < wanted.look_at {
                continue;
            }
            let possible_for_ms = now.since(wanted.since.max(available_since));
            let is_due = possible_for_ms >= HOME_PRIORITY_MS || self.is_home(&model);
            if !is_due {
                continue;
            }
            if self.propose_load(now, &model) {
                free -= 1;
            } else if let Some(wanted) = self.demand.wanted.get_mut(&model) {
                wanted.look_at = now + CHOICE_RETRY_MS;
            }
        }
    }

    /// Returns the later of the newest timestamp of the log and this host's clock.
    fn log_now(&self, now: Millis) -> Millis {
        self.shared.log_ms.max(now)
    }

    /// Returns since when the weight store's limits allow another load, or `now` if they do not.
    /// [`HOME_PRIORITY_MS`], during which only the home of a model proposes its load, begins then.
    fn note_store_availability(&mut self, now: Millis) -> Millis {
        let limits = &self.shared.table.store.value;
        let available = self
            .shared
            .placement
            .available_loads(self.log_now(now), limits);
        if available == 0 {
            self.demand.store_room_since = None;
            return now;
        }
        *self.demand.store_room_since.get_or_insert(now)
    }

    /// Proposes a load of a model if one is possible. If memory must be freed first, requests that
    /// instead. Returns whether a load was proposed.
    fn propose_load(&mut self, now: Millis, model: &Name) -> bool {
        let mut copies = self.shared.placement.copies_of(model);
        let is_under_way = copies.any(|(_, copy)| copy.action_under_way().is_some());
        if is_under_way || !self.demand.may_propose(now, model) {
            return false;
        }
        match self.choose_load(now, model) {
            Choice::Load(load) => {
                // For an adapter, this may be the load of its base model.
                self.demand.proposed_at.insert(load.model.clone(), now);
                self.demand.proposed_at.insert(model.clone(), now);
                self.driver.queue(RecordBody::Load { load });
                true
            }
            Choice::FreeMemory { upstream, bytes } => {
                self.demand.proposed_at.insert(model.clone(), now);
                self.demand
                    .room_wanted
                    .push(MemoryRequest { upstream, bytes });
                false
            }
            Choice::Wait | Choice::Never => false,
        }
    }

    pub(super) fn choose_load(&self, now: Millis, model: &str) -> Choice {
        let context = self.load_context(model);
        choose(&context, model, |upstream| UpstreamStatus {
            usable: self.routing.is_usable(now, upstream),
            report: self
                .routing
                .get(upstream)
                .and_then(|view| view.report.as_ref()),
        })
    }

    pub(super) fn load_context(&self, model: &str) -> LoadContext<'_> {
        LoadContext {
            placement: &self.shared.placement,
            table: &self.shared.table,
            configured_copies: self.demand.decided.of(model),
            data_centres: self.demand.decided.data_centres_of(model),
            store: self.demand.store.as_ref(),
            load_ms: self.demand.uses.load_ms(model),
        }
    }

    fn send_hints(&mut self, now: Millis, fx: &mut Effects) {
        let mut hints: IndexMap<Incarnation, DemandHints> = IndexMap::new();
        for request in std::mem::take(&mut self.demand.room_wanted) {
            if let Some(host) = self.home_of(&request.upstream) {
                hints.entry(host).or_default().room.push(request);
            }
        }
        if now >= self.demand.next_hints_at {
            self.demand.next_hints_at = now + HINT_INTERVAL_MS;
            self.note_models_in_use(now);
            self.add_use_hints(now, &mut hints);
        }
        for (host, hints) in hints {
            if host == self.config.me {
                self.on_demand(now, &hints);
                continue;
            }
            let Some(member) = self.shared.members.get(host) else {
                continue;
            };
            fx.push(Effect::AskPeer {
                peer: host,
                address: member.entry.peer_address,
                asked_at: now,
                request: PeerRequest::Demand(hints),
            });
        }
    }

    fn home_of(&self, key: &str) -> Option<Incarnation> {
        home(key, self.config.me, &self.shared.members, &self.probes)
    }

    fn add_use_hints(&self, now: Millis, hints: &mut IndexMap<Incarnation, DemandHints>) {
        let recent_ms = if self.demand.are_homes_settled(now) {
            HINT_WINDOW_MS
        } else {
            HINT_RESEND_WINDOW_MS
        };
        let requests = self.requests_by_model();
        let mut recent: Vec<(&Name, Millis)> = self
            .demand
            .uses
            .used_here_since(now - recent_ms)
            .map(|(model, used)| (model, used.own_use_at))
            .collect();
        recent.sort_by_key(|(_, at)| Reverse(*at));
        for (model, at) in recent {
            let hint = UsageHint {
                model: model.clone(),
                idle_ms: now.since(at),
                waiting: self.queues.waiting(model) as u32,
                running: requests.get(model).copied().unwrap_or(0),
                urgency: self.queues.most_urgent(model).unwrap_or_default(),
            };
            for host in self.hint_recipients(model) {
                let uses = &mut hints.entry(host).or_default().uses;
                let is_included = uses.iter().any(|other| other.model == hint.model);
                if uses.len() < MAX_HINTS && !is_included {
                    uses.push(hint.clone());
                }
            }
        }
    }

    /// Records that the models of all waiting and running requests of this host are in use now.
    fn note_models_in_use(&mut self, now: Millis) {
        let in_use: Vec<Name> = self.requests_by_model().into_keys().cloned().collect();
        for model in in_use {
            self.demand.uses.note_own_in_use(now, &model);
        }
    }

    /// Returns the hosts that decide on the copies of a model: the home of the model and the homes
    /// of the upstreams that hold its copies.
    fn hint_recipients(&self, model: &str) -> IndexSet<Incarnation> {
        let copies = self.shared.placement.copies_of(model);
        let upstreams = copies.map(|(_, copy)| &*copy.load.upstream);
        std::iter::once(model)
            .chain(upstreams)
            .filter_map(|key| self.home_of(key))
            .collect()
    }

    /// Counts the requests of this host by model or service, waiting ones included.
    fn requests_by_model(&self) -> IndexMap<&Name, u32> {
        let mut counts = IndexMap::new();
        for request in self.requests.iter() {
            *counts.entry(&request.head.name).or_default() += 1;
        }
        counts
    }

    /// Handles the demand hints of another host, or of this host itself.
    pub fn on_demand(&mut self, now: Millis, hints: &DemandHints) {
        for hint in hints.uses.iter().take(MAX_HINTS) {
            self.demand.uses.note_hint(now, hint);
            let has_copy = self.ready_slots(&hint.model).is_some();
            if hint.waiting > 0 && !has_copy && self.shared.table.model(&hint.model).is_some() {
                let until = now + HINT_INTERVAL_MS + HINT_INTERVAL_MS;
                let waiting = hint.waiting as usize;
                self.demand
                    .note_demand(now, &hint.model, hint.urgency, waiting, until);
            }
        }
        for request in hints.room.iter().take(MAX_HINTS) {
            self.free_memory(now, request);
        }
    }

    /// Proposes to unload idle copies of an upstream, the least valuable ones first, until the
    /// memory that a load needs is free.
    fn free_memory(&mut self, now: Millis, request: &MemoryRequest) {
        let Some(upstream) = self.shared.placement.upstreams.get(&request.upstream) else {
            return;
        };
        let reserved_bytes = self.shared.placement.reserved_bytes(&request.upstream);
        let free_bytes = upstream.memory_bytes.saturating_sub(reserved_bytes);
        let mut missing_bytes = request.bytes.saturating_sub(free_bytes);
        let mut idle: Vec<(f64, Offset, u64)> = self
            .shared
            .placement
            .copies_on(&request.upstream)
            .filter(|(_, copy)| self.may_evict(now, copy))
            .map(|(id, copy)| (self.keep_value(now, copy), *id, copy.load.reserved_bytes))
            .collect();
        idle.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        for (_, copy, bytes) in idle {
            if missing_bytes == 0 {
                return;
            }
            missing_bytes = missing_bytes.saturating_sub(bytes);
            if self.platform.may_propose(now, &format!("unload {copy}")) {
                LogEvent::CopyEvicted.write(&format!("copy={copy} for={}", request.upstream));
                self.driver.queue(RecordBody::Unload { copy });
            }
        }
    }

    fn may_evict(&self, now: Millis, copy: &Copy) -> bool {
        copy.state == CopyState::Ready
            && !self.shared.placement.is_base_in_use(copy)
            && self
                .idle_ms(now, &copy.load.model)
                .is_some_and(|idle_ms| idle_ms >= MIN_IDLE_TIME_MS)
    }

    /// Returns how long a model has been idle, or `None` if it is in use, no use of it is known, or
    /// the homes are not settled.
    pub(super) fn idle_ms(&self, now: Millis, model: &str) -> Option<Millis> {
        let used = self.demand.uses.get(model)?;
        let is_waited_for = self.queues.waiting(model) > 0;
        let is_idle =
            !is_waited_for && used.busy_until <= now && self.demand.are_homes_settled(now);
        is_idle.then(|| now.since(used.last_used_at))
    }

    /// Returns the value of keeping an idle copy by the keep-warm rule; the copies with the lowest
    /// values are unloaded first, and a copy in use has the highest.
    fn keep_value(&self, now: Millis, copy: &Copy) -> f64 {
        let idle = self.idle_copy(now, copy);
        idle.map_or(f64::MAX, |idle| {
            self.config.keep_warm.retention_value(&idle)
        })
    }

    /// Returns the input of the keep-warm rule for a copy, or `None` while its model is in use.
    pub(super) fn idle_copy(&self, now: Millis, copy: &Copy) -> Option<IdleCopy<'_>> {
        let idle_ms = self.idle_ms(now, &copy.load.model)?;
        let used = self.demand.uses.get(&copy.load.model)?;
        let upstream = self.shared.placement.upstreams.get(&copy.load.upstream)?;
        let cold_start_ms = self.demand.uses.load_ms(&copy.load.model);
        Some(IdleCopy {
            idle_ms,
            cold_start_ms: cold_start_ms.unwrap_or_default(),
            accelerator_share: copy.load.reserved_bytes as f64
                / upstream.memory_bytes.max(1) as f64,
            gaps: &used.gaps,
        })
    }
}
