//! The fold's part of placement: upstreams, copies, and the memory reserved for them.

use crate::membership::members::Members;
use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::placement::message::{LoadDecision, OrderAction, OrderOutcome};
use crate::prelude::*;
use crate::table::Table;
use std::collections::VecDeque;

/// Most upstreams in the fold.
pub const MAX_UPSTREAMS: usize = 16_384;
/// Most copies in the fold.
pub const MAX_COPIES: usize = 131_072;

const SECOND_MS: Millis = Millis(1_000);

/// The state of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyState {
    /// Its load order is under way.
    Loading,
    /// It serves.
    Ready,
    /// Its unload order is under way.
    Unloading,
}

/// A copy of a model on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    /// The decision that made it.
    pub load: LoadDecision,
    /// Its state.
    pub state: CopyState,
    /// The order under way, or the last one: the offset of its decision.
    pub order: Offset,
    /// The fencing number of that order.
    pub fence: Offset,
    /// Who sends that order.
    pub executor: Incarnation,
    /// Earlier executors that may still have that order in their hands.
    pub former: Vec<Incarnation>,
    /// When the order was decided, by the log's clock.
    pub decided_ms: Millis,
}

impl Copy {
    /// Returns the action of the order under way.
    pub fn action_under_way(&self) -> Option<OrderAction> {
        match self.state {
            CopyState::Loading => Some(OrderAction::Load),
            CopyState::Unloading => Some(OrderAction::Unload),
            CopyState::Ready => None,
        }
    }
}

/// Upstreams and copies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The upstreams by name.
    pub upstreams: IndexMap<Name, UpstreamEntry>,
    /// The copies by the offset of their load.
    pub copies: IndexMap<Offset, Copy>,
    /// When the loads of the last second were decided, by the log's clock.
    recent_loads: VecDeque<Millis>,
}

impl Placement {
    /// Adds or updates an upstream.
    ///
    /// # Errors
    ///
    /// Rejects an entry that changes nothing, and one too many.
    pub fn put_upstream(&mut self, entry: &UpstreamEntry) -> Result<(), Rejection> {
        if self.upstreams.get(&entry.name) == Some(entry) {
            return Err(Rejection::WrongHostState);
        }
        let known = self.upstreams.contains_key(&entry.name);
        if !known && self.upstreams.len() >= MAX_UPSTREAMS {
            return Err(Rejection::Full);
        }
        self.upstreams.insert(entry.name.clone(), entry.clone());
        Ok(())
    }

    /// Forgets an upstream that is gone, with its copies.
    ///
    /// # Errors
    ///
    /// Rejects an upstream that is not known.
    pub fn upstream_gone(&mut self, name: &str) -> Result<(), Rejection> {
        if self.upstreams.shift_remove(name).is_none() {
            return Err(Rejection::UnknownUpstream);
        }
        self.copies.retain(|_, copy| &*copy.load.upstream != name);
        Ok(())
    }

    /// Returns the memory reserved on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.copies
            .values()
            .filter(|copy| &*copy.load.upstream == upstream)
            .map(|copy| copy.load.reserved_bytes)
            .sum()
    }

    /// Returns the copies of a model, all versions.
    pub fn copies_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        self.copies
            .iter()
            .filter(move |(_, copy)| &*copy.load.model == model)
    }

    /// Decides a load.
    ///
    /// # Errors
    ///
    /// Rejects a load that breaks the decided count, the memory or the weight store's limits.
    pub fn load(
        &mut self,
        offset: Offset,
        now: Millis,
        executor: Incarnation,
        load: &LoadDecision,
        table: &Table,
    ) -> Result<(), Rejection> {
        self.check_model(load, table)?;
        self.check_count(load, table)?;
        self.check_upstream(load)?;
        self.check_base(load, table)?;
        self.check_store(now, table)?;
        if self.copies.len() >= MAX_COPIES {
            return Err(Rejection::Full);
        }
        let copy = Copy {
            load: load.clone(),
            state: CopyState::Loading,
            order: offset,
            fence: offset,
            executor,
            former: Vec::new(),
            decided_ms: now,
        };
        self.copies.insert(offset, copy);
        self.recent_loads.push_back(now);
        Ok(())
    }

    /// Decides the unload of a ready copy.
    ///
    /// # Errors
    ///
    /// Rejects a copy that is not ready, and a base whose adapters are still there.
    pub fn unload(
        &mut self,
        offset: Offset,
        now: Millis,
        executor: Incarnation,
        id: Offset,
    ) -> Result<(), Rejection> {
        let copy = self.copies.get_mut(&id).ok_or(Rejection::WrongCopyState)?;
        if copy.state != CopyState::Ready {
            return Err(Rejection::WrongCopyState);
        }
        let upstream = self.upstreams.get(&copy.load.upstream);
        let checks_fencing = upstream.is_some_and(|upstream| upstream.checks_fencing);
        if !checks_fencing && !copy.former.is_empty() {
            return Err(Rejection::ExecutorAlive);
        }
        copy.state = CopyState::Unloading;
        copy.order = offset;
        copy.fence = offset;
        copy.executor = executor;
        copy.former.clear();
        copy.decided_ms = now;
        Ok(())
    }

    /// Gives the order under way to another executor.
    ///
    /// # Errors
    ///
    /// Rejects a copy without an order under way, and one whose executor is still a member.
    pub fn takeover(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        id: Offset,
        members: &Members,
    ) -> Result<(), Rejection> {
        let copy = self.copies.get_mut(&id).ok_or(Rejection::WrongCopyState)?;
        if copy.action_under_way().is_none() {
            return Err(Rejection::WrongCopyState);
        }
        if members.is_member(copy.executor) {
            return Err(Rejection::ExecutorAlive);
        }
        if members.knows(copy.executor) && !copy.former.contains(&copy.executor) {
            copy.former.push(copy.executor);
        }
        copy.executor = writer;
        copy.fence = offset;
        Ok(())
    }

    /// Takes the end of an order.
    ///
    /// # Errors
    ///
    /// Rejects the outcome of an order that is no longer the present one.
    pub fn outcome(
        &mut self,
        now: Millis,
        id: Offset,
        fence: Offset,
        outcome: OrderOutcome,
    ) -> Result<(), Rejection> {
        let copy = self.copies.get_mut(&id).ok_or(Rejection::WrongCopyState)?;
        if copy.fence != fence {
            return Err(Rejection::StaleFence);
        }
        match (copy.state, outcome) {
            (CopyState::Loading, OrderOutcome::Done) => {
                copy.state = CopyState::Ready;
                copy.decided_ms = now;
            }
            (CopyState::Unloading, OrderOutcome::Failed | OrderOutcome::NotSent) => {
                copy.state = CopyState::Ready;
            }
            (CopyState::Loading, OrderOutcome::Failed | OrderOutcome::NotSent)
            | (CopyState::Unloading, OrderOutcome::Done) => {
                self.copies.shift_remove(&id);
            }
            (CopyState::Ready, _) => return Err(Rejection::WrongCopyState),
        }
        Ok(())
    }

    /// Takes note that a host's process no longer exists, so that it sends nothing any more.
    pub fn executor_gone(&mut self, host: Incarnation) {
        for copy in self.copies.values_mut() {
            copy.former.retain(|former| *former != host);
        }
    }

    fn check_model(&self, load: &LoadDecision, table: &Table) -> Result<(), Rejection> {
        let model = table.model(&load.model).ok_or(Rejection::UnknownModel)?;
        if model.version != load.version || model.reserved_bytes != load.reserved_bytes {
            return Err(Rejection::UnknownModel);
        }
        Ok(())
    }

    fn check_count(&self, load: &LoadDecision, table: &Table) -> Result<(), Rejection> {
        let mut count = 0;
        for (_, copy) in self.copies_of(&load.model) {
            if copy.load.copy_index == load.copy_index {
                return Err(Rejection::CopyExists);
            }
            count += 1;
        }
        let allowed = table.copies_allowed(&load.model);
        if count >= allowed || load.copy_index >= allowed {
            return Err(Rejection::CopiesReached);
        }
        Ok(())
    }

    fn check_upstream(&self, load: &LoadDecision) -> Result<(), Rejection> {
        let upstream = self
            .upstreams
            .get(&load.upstream)
            .ok_or(Rejection::UnknownUpstream)?;
        if upstream.role != UpstreamRole::Engine {
            return Err(Rejection::UnknownUpstream);
        }
        if upstream.leaving {
            return Err(Rejection::UpstreamLeaving);
        }
        let reserved_bytes = self.reserved_bytes(&load.upstream);
        if reserved_bytes.saturating_add(load.reserved_bytes) > upstream.memory_bytes {
            return Err(Rejection::NoMemory);
        }
        Ok(())
    }

    fn check_base(&self, load: &LoadDecision, table: &Table) -> Result<(), Rejection> {
        let Some(base) = table
            .model(&load.model)
            .and_then(|model| model.base.clone())
        else {
            return Ok(());
        };
        let ready = self
            .copies_of(&base)
            .any(|(_, copy)| copy.load.upstream == load.upstream && copy.state == CopyState::Ready);
        if ready {
            Ok(())
        } else {
            Err(Rejection::NoBase)
        }
    }

    fn check_store(&mut self, now: Millis, table: &Table) -> Result<(), Rejection> {
        while self
            .recent_loads
            .front()
            .is_some_and(|at| now.since(*at) >= SECOND_MS)
        {
            self.recent_loads.pop_front();
        }
        let limits = table.store.value;
        let loading = self
            .copies
            .values()
            .filter(|copy| copy.state == CopyState::Loading)
            .count();
        let busy = loading >= limits.parallel_loads as usize
            || self.recent_loads.len() >= limits.loads_per_s as usize;
        if busy {
            Err(Rejection::StoreBusy)
        } else {
            Ok(())
        }
    }
}
