//! Turns demand into proposals: who proposes a load, in which order, and when a request is refused.
//!
//! The home of a model proposes its loads; other hosts tell it of their demand and propose themselves
//! when no record appears. The home of an upstream decides what is unloaded there, so that hosts tell
//! it of their use of the models on it.

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

/// How long a host waits for a proposal to be read back before it proposes again.
pub const PROPOSAL_REST_MS: Millis = Millis(1_000);
/// How long a model that cannot be loaded now is left before it is looked at again.
pub const LOOK_REST_MS: Millis = Millis(100);
/// How long a model whose load the weight store's limits refused is left.
pub const STORE_REST_MS: Millis = Millis(500);
/// How long a host that is not the model's home waits for the home's proposal.
pub const HOME_FIRST_MS: Millis = Millis(200);
/// How often a host tells others of its use of models.
pub const HINT_INTERVAL_MS: Millis = Millis(1_000);
/// How long after a use it is told.
pub const HINT_RECENT_MS: Millis = Millis(3_000);
/// How far back uses are told again when the homes change.
pub const HINT_AGAIN_MS: Millis = Millis(900_000);
/// Most models in one hint.
pub const MAX_HINTS: usize = 64;
/// How long homes must have been settled before a copy is unloaded for want of use.
pub const SETTLE_MS: Millis = Millis(3_000);
/// How long a copy must be idle before it goes for another model.
pub const LEAST_IDLE_MS: Millis = Millis(3_000);

/// What this host knows of the demand for models.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Demand {
    pub(super) uses: UsageTracker,
    pub(super) presence: MissingCopyDetector,
    pub(super) decided: ConfiguredCopies,
    pub(super) cursor: usize,
    store: Option<StoreReport>,
    wanted: IndexMap<Name, Wanted>,
    proposed_at: IndexMap<Name, Millis>,
    /// Since when the weight store has room for a load.
    store_room_since: Option<Millis>,
    room_wanted: Vec<MemoryRequest>,
    next_hints_at: Millis,
    /// When the loads under way were decided, by the log's clock.
    loads_since: IndexMap<Offset, Millis>,
    homes: u64,
    homes_since: Millis,
}

/// A model that is waited for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Wanted {
    since: Millis,
    until: Millis,
    urgency: Urgency,
    waiting: usize,
    look_at: Millis,
}

impl Demand {
    /// Takes note of a request for a model.
    pub fn note_use(&mut self, now: Millis, model: &Name) {
        self.uses.note_own_request(now, model);
    }

    /// Takes the weight store's report.
    pub fn on_store(&mut self, report: Option<StoreReport>) {
        self.store = report;
    }

    /// Takes note that a load of a model was read back.
    pub(super) fn on_load(&mut self, model: &Name) {
        self.proposed_at.swap_remove(model);
    }

    /// Takes note that a load was refused for the weight store's limits: it rests until there may be room.
    pub(super) fn on_store_busy(&mut self, now: Millis, model: &Name) {
        if let Some(wanted) = self.wanted.get_mut(model) {
            wanted.look_at = now + STORE_REST_MS;
        }
    }

    /// Takes note that a load was decided.
    pub(super) fn on_load_decided(&mut self, id: Offset, decided_at: Millis) {
        self.loads_since.insert(id, decided_at);
    }

    /// Takes the end of an order, and learns from it how long loads take.
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

    /// Tells whether the homes have stayed the same for long enough to have been told of all use.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        now.since(self.homes_since) >= SETTLE_MS
    }

    pub(super) fn want(
        &mut self,
        now: Millis,
        model: &Name,
        urgency: Urgency,
        waiting: usize,
        until: Millis,
    ) {
        let wanted = self.wanted.entry(model.clone()).or_insert(Wanted {
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
        proposed_at.is_none_or(|at| now.since(*at) >= PROPOSAL_REST_MS)
    }
}

impl Node {
    /// Takes note that requests wait for a model without a usable copy.
    pub fn ensure_loading(&mut self, now: Millis, model: &Name) {
        let urgency = self.queues.most_urgent(model).unwrap_or_default();
        let waiting = self.queues.waiting(model);
        if !self.demand.wanted.contains_key(model) {
            self.demand.next_hints_at = now;
        }
        self.demand
            .want(now, model, urgency, waiting, now + HINT_INTERVAL_MS);
    }

    /// Proposes loads in the order of urgency and demand, and tells other hosts of the demand here.
    pub fn tick_demand(&mut self, now: Millis, fx: &mut Effects) {
        self.note_homes(now);
        self.want_further_copies(now);
        self.demand.wanted.retain(|_, wanted| wanted.until > now);
        self.demand
            .proposed_at
            .retain(|_, at| now.since(*at) < PROPOSAL_REST_MS);
        if self.life == Life::Serving {
            self.propose_loads(now);
        }
        self.send_hints(now, fx);
    }

    fn note_homes(&mut self, now: Millis) {
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

    /// A further copy is wanted where more requests wait than a copy runs at once.
    fn want_further_copies(&mut self, now: Millis) {
        for model in self.queues.targets() {
            let waiting = self.queues.waiting(&model);
            let ready_slots = self.ready_slots(&model);
            if ready_slots.is_some_and(|slots| waiting > slots as usize) {
                self.ensure_loading(now, &model);
            }
        }
    }

    /// Returns the slots of the ready copies, or nothing when there is none.
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
        let room_since = self.note_store_room(now);
        let limits = &self.shared.table.store.value;
        let room = self
            .shared
            .placement
            .available_loads(self.log_now(now), limits);
        let mut free = room.saturating_sub(self.demand.proposed_at.len());
        let mut models: Vec<(Name, Wanted)> = self
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
            let home_had_ms = now.since(wanted.since.max(room_since));
            let is_due = home_had_ms >= HOME_FIRST_MS || self.is_home(&model);
            if !is_due {
                continue;
            }
            if self.propose_load(now, &model) {
                free -= 1;
            } else if let Some(wanted) = self.demand.wanted.get_mut(&model) {
                wanted.look_at = now + LOOK_REST_MS;
            }
        }
    }

    /// Returns the log's clock as far as this host can tell.
    fn log_now(&self, now: Millis) -> Millis {
        self.shared.log_ms.max(now)
    }

    /// Returns since when the weight store has room for a load, so that homes get it first.
    fn note_store_room(&mut self, now: Millis) -> Millis {
        let limits = &self.shared.table.store.value;
        let room = self
            .shared
            .placement
            .available_loads(self.log_now(now), limits);
        if room == 0 {
            self.demand.store_room_since = None;
            return now;
        }
        *self.demand.store_room_since.get_or_insert(now)
    }

    /// Tells whether a load was proposed.
    fn propose_load(&mut self, now: Millis, model: &Name) -> bool {
        let mut copies = self.shared.placement.copies_of(model);
        let is_under_way = copies.any(|(_, copy)| copy.action_under_way().is_some());
        if is_under_way || !self.demand.may_propose(now, model) {
            return false;
        }
        match self.choose(now, model) {
            Choice::Load(load) => {
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

    pub(super) fn choose(&self, now: Millis, model: &str) -> Choice {
        let view = self.load_view(model);
        choose(&view, model, |upstream| UpstreamStatus {
            usable: self.routing.is_usable(now, upstream),
            report: self
                .routing
                .get(upstream)
                .and_then(|view| view.report.as_ref()),
        })
    }

    pub(super) fn load_view(&self, model: &str) -> LoadContext<'_> {
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
        for room in std::mem::take(&mut self.demand.room_wanted) {
            if let Some(host) = self.home_of(&room.upstream) {
                hints.entry(host).or_default().room.push(room);
            }
        }
        if now >= self.demand.next_hints_at {
            self.demand.next_hints_at = now + HINT_INTERVAL_MS;
            self.touch_busy(now);
            self.add_uses(now, &mut hints);
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

    fn add_uses(&self, now: Millis, hints: &mut IndexMap<Incarnation, DemandHints>) {
        let recent_ms = if self.demand.is_settled(now) {
            HINT_RECENT_MS
        } else {
            HINT_AGAIN_MS
        };
        let running = self.running_by_model();
        let mut told: Vec<(&Name, Millis)> = self
            .demand
            .uses
            .used_here_since(now - recent_ms)
            .map(|(model, used)| (model, used.own_use_at))
            .collect();
        told.sort_by_key(|(_, at)| Reverse(*at));
        for (model, at) in told {
            let hint = UsageHint {
                model: model.clone(),
                idle_ms: now.since(at),
                waiting: self.queues.waiting(model) as u32,
                running: running.get(model).copied().unwrap_or(0),
                urgency: self.queues.most_urgent(model).unwrap_or_default(),
            };
            for host in self.hosts_to_tell(model) {
                let uses = &mut hints.entry(host).or_default().uses;
                let is_told = uses.iter().any(|other| other.model == hint.model);
                if uses.len() < MAX_HINTS && !is_told {
                    uses.push(hint.clone());
                }
            }
        }
    }

    /// A model in use stays used while its requests wait or run.
    fn touch_busy(&mut self, now: Millis) {
        let busy: Vec<Name> = self.running_by_model().into_keys().cloned().collect();
        for model in busy {
            self.demand.uses.note_own_in_use(now, &model);
        }
    }

    fn hosts_to_tell(&self, model: &str) -> IndexSet<Incarnation> {
        let copies = self.shared.placement.copies_of(model);
        let upstreams = copies.map(|(_, copy)| &*copy.load.upstream);
        std::iter::once(model)
            .chain(upstreams)
            .filter_map(|key| self.home_of(key))
            .collect()
    }

    fn running_by_model(&self) -> IndexMap<&Name, u32> {
        let mut running = IndexMap::new();
        for request in self.requests.iter() {
            *running.entry(&request.head.name).or_default() += 1;
        }
        running
    }

    /// Takes another host's demand.
    pub fn on_demand(&mut self, now: Millis, hints: &DemandHints) {
        for hint in hints.uses.iter().take(MAX_HINTS) {
            self.demand.uses.note_hint(now, hint);
            let has_copy = self.ready_slots(&hint.model).is_some();
            if hint.waiting > 0 && !has_copy && self.shared.table.model(&hint.model).is_some() {
                let until = now + HINT_INTERVAL_MS + HINT_INTERVAL_MS;
                let waiting = hint.waiting as usize;
                self.demand
                    .want(now, &hint.model, hint.urgency, waiting, until);
            }
        }
        for room in hints.room.iter().take(MAX_HINTS) {
            self.free_room(now, room);
        }
    }

    /// Unloads the least valuable idle copies of an upstream, as many as the room wanted takes.
    fn free_room(&mut self, now: Millis, room: &MemoryRequest) {
        let Some(upstream) = self.shared.placement.upstreams.get(&room.upstream) else {
            return;
        };
        let reserved_bytes = self.shared.placement.reserved_bytes(&room.upstream);
        let left_bytes = upstream.memory_bytes.saturating_sub(reserved_bytes);
        let mut missing_bytes = room.bytes.saturating_sub(left_bytes);
        let mut idle: Vec<(f64, Offset, u64)> = self
            .shared
            .placement
            .copies_on(&room.upstream)
            .filter(|(_, copy)| self.may_evict(now, copy))
            .map(|(id, copy)| (self.value(now, copy), *id, copy.load.reserved_bytes))
            .collect();
        idle.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        for (_, copy, bytes) in idle {
            if missing_bytes == 0 {
                return;
            }
            missing_bytes = missing_bytes.saturating_sub(bytes);
            if self.platform.may_propose(now, &format!("unload {copy}")) {
                LogEvent::CopyEvicted.write(&format!("copy={copy} for={}", room.upstream));
                self.driver.queue(RecordBody::Unload { copy });
            }
        }
    }

    fn may_evict(&self, now: Millis, copy: &Copy) -> bool {
        copy.state == CopyState::Ready
            && !self.shared.placement.is_base_in_use(copy)
            && self
                .idle_ms(now, &copy.load.model)
                .is_some_and(|idle_ms| idle_ms >= LEAST_IDLE_MS)
    }

    /// Returns how long a model is idle, or nothing while it is in use or too little is known.
    pub(super) fn idle_ms(&self, now: Millis, model: &str) -> Option<Millis> {
        let used = self.demand.uses.get(model)?;
        let is_waited_for = self.queues.waiting(model) > 0;
        let is_idle = !is_waited_for && used.busy_until <= now && self.demand.is_settled(now);
        is_idle.then(|| now.since(used.last_used_at))
    }

    fn value(&self, now: Millis, copy: &Copy) -> f64 {
        let idle = self.idle_copy(now, copy);
        idle.map_or(f64::MAX, |idle| {
            self.config.keep_warm.retention_value(&idle)
        })
    }

    /// Returns what the keep-warm rules need of a copy, or nothing while it is in use.
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
