//! The fold's part of placement: upstreams, copies, and the memory reserved for them.

use crate::membership::members::Members;
use crate::membership::message::UpstreamEntry;
use crate::placement::decided::DecidedCopies;
use crate::placement::index::Index;
use crate::placement::message::{LoadDecision, OrderAction, OrderOutcome};
use crate::prelude::*;
use crate::table::Table;
use std::collections::VecDeque;

/// Most upstreams in the fold.
pub const MAX_UPSTREAMS: usize = 16_384;
/// Most copies in the fold.
pub const MAX_COPIES: usize = 131_072;

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
    /// The engine holds nothing of it, but a former executor may still send its last order.
    Ended,
}

/// A copy of a model on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    /// The decision that made it.
    pub load: LoadDecision,
    /// The base model that it needs beside it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Name>,
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
            CopyState::Ready | CopyState::Ended => None,
        }
    }

    /// Tells whether an order is under way, or a former executor may still send one.
    pub fn is_unsettled(&self) -> bool {
        self.action_under_way().is_some() || !self.former.is_empty()
    }
}

/// Upstreams and copies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredPlacement")]
pub struct Placement {
    /// The upstreams by name.
    pub upstreams: IndexMap<Name, UpstreamEntry>,
    /// The copies by the offset of their load. Only this module changes them.
    pub copies: IndexMap<Offset, Copy>,
    /// When the loads of the last second were decided, by the log's clock.
    pub(super) recent_loads: VecDeque<Millis>,
    #[serde(skip)]
    pub(super) index: Index,
    #[serde(skip)]
    pub(super) decided: DecidedCopies,
}

/// What a checkpoint holds of [`Placement`]; the index is made anew.
#[derive(Deserialize)]
struct StoredPlacement {
    upstreams: IndexMap<Name, UpstreamEntry>,
    copies: IndexMap<Offset, Copy>,
    recent_loads: VecDeque<Millis>,
}

impl From<StoredPlacement> for Placement {
    fn from(stored: StoredPlacement) -> Self {
        let index = Index::new(&stored.copies);
        Self {
            upstreams: stored.upstreams,
            copies: stored.copies,
            recent_loads: stored.recent_loads,
            index,
            decided: DecidedCopies::default(),
        }
    }
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
        if self.upstreams.swap_remove(name).is_none() {
            return Err(Rejection::UnknownUpstream);
        }
        for id in self.index.on_upstream(name).to_vec() {
            self.remove(id);
        }
        Ok(())
    }

    /// Returns the memory reserved on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.index.reserved_bytes(upstream)
    }

    /// Returns the copies of a model, all versions.
    pub fn copies_of<'a>(&'a self, model: &str) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        self.entries(self.index.of_model(model))
    }

    /// Returns the copies on an upstream.
    pub fn copies_on<'a>(&'a self, upstream: &str) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        self.entries(self.index.on_upstream(upstream))
    }

    /// Returns the copies with an order under way, or with a former executor that may still send one.
    pub fn unsettled(&self) -> impl Iterator<Item = (&Offset, &Copy)> {
        self.index
            .unsettled()
            .filter_map(|id| self.copies.get_key_value(id))
    }

    /// Returns how many loads are under way.
    pub fn loading(&self) -> usize {
        self.index.loading()
    }

    /// Tells whether another model's copy on the same engine needs this copy as its base.
    pub fn is_base_in_use(&self, copy: &Copy) -> bool {
        self.copies_on(&copy.load.upstream)
            .any(|(_, other)| other.base.as_ref() == Some(&copy.load.model))
    }

    fn entries<'a>(&'a self, ids: &'a [Offset]) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        ids.iter().filter_map(|id| self.copies.get_key_value(id))
    }

    fn insert(&mut self, id: Offset, copy: Copy) {
        self.index.add(id, &copy);
        self.copies.insert(id, copy);
    }

    fn remove(&mut self, id: Offset) {
        if let Some(copy) = self.copies.swap_remove(&id) {
            self.index.remove(id, &copy);
        }
    }

    /// Replaces a copy that is there.
    fn put(&mut self, id: Offset, copy: Copy) {
        self.remove(id);
        self.insert(id, copy);
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
        self.check_load(now, load, table)?;
        let base = table
            .model(&load.model)
            .and_then(|model| model.base.clone());
        let copy = Copy {
            load: load.clone(),
            base,
            state: CopyState::Loading,
            order: offset,
            fence: offset,
            executor,
            former: Vec::new(),
            decided_ms: now,
        };
        self.insert(offset, copy);
        self.recent_loads.push_back(now);
        Ok(())
    }

    /// Decides the unload of a ready copy.
    ///
    /// # Errors
    ///
    /// Rejects a copy that is not ready, a base whose adapters are still there, and on an engine that
    /// ignores fencing numbers a copy whose load may still be sent by a former executor.
    pub fn unload(
        &mut self,
        offset: Offset,
        now: Millis,
        executor: Incarnation,
        id: Offset,
    ) -> Result<(), Rejection> {
        let mut copy = self.copy(id)?.clone();
        if copy.state != CopyState::Ready {
            return Err(Rejection::WrongCopyState);
        }
        if self.is_base_in_use(&copy) {
            return Err(Rejection::BaseInUse);
        }
        if !self.checks_fencing(&copy) && !copy.former.is_empty() {
            return Err(Rejection::ExecutorAlive);
        }
        copy.state = CopyState::Unloading;
        copy.order = offset;
        copy.fence = offset;
        copy.executor = executor;
        copy.former.clear();
        copy.decided_ms = now;
        self.put(id, copy);
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
        let mut copy = self.copy(id)?.clone();
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
        self.put(id, copy);
        Ok(())
    }

    /// Takes the end of an order.
    ///
    /// An order that leaves no copy behind frees the memory, unless a former executor may still send
    /// it to an engine that ignores fencing numbers.
    ///
    /// # Errors
    ///
    /// Rejects the outcome of an order that is no longer the present one, and the word that an order
    /// was never sent while a former executor may still send it.
    pub fn outcome(
        &mut self,
        now: Millis,
        id: Offset,
        fence: Offset,
        outcome: OrderOutcome,
    ) -> Result<(), Rejection> {
        let mut copy = self.copy(id)?.clone();
        if copy.fence != fence {
            return Err(Rejection::StaleFence);
        }
        let is_held = !copy.former.is_empty() && !self.checks_fencing(&copy);
        if is_held && outcome == OrderOutcome::NotSent {
            return Err(Rejection::ExecutorAlive);
        }
        match (copy.state, outcome) {
            (CopyState::Loading, OrderOutcome::Done) => {
                copy.state = CopyState::Ready;
                copy.decided_ms = now;
                self.put(id, copy);
            }
            (CopyState::Unloading, OrderOutcome::Failed | OrderOutcome::NotSent) => {
                copy.state = CopyState::Ready;
                self.put(id, copy);
            }
            (CopyState::Loading, OrderOutcome::Failed | OrderOutcome::NotSent)
            | (CopyState::Unloading, OrderOutcome::Done) => {
                copy.state = CopyState::Ended;
                self.put(id, copy);
                if !is_held {
                    self.remove(id);
                }
            }
            (CopyState::Ready | CopyState::Ended, _) => return Err(Rejection::WrongCopyState),
        }
        Ok(())
    }

    /// Takes a former executor's word that it sends an order no more.
    ///
    /// # Errors
    ///
    /// Rejects a host that is not a former executor of the copy's order.
    pub fn relinquish(&mut self, writer: Incarnation, id: Offset) -> Result<(), Rejection> {
        if !self.copy(id)?.former.contains(&writer) {
            return Err(Rejection::WrongCopyState);
        }
        self.drop_former(id, writer);
        Ok(())
    }

    /// Takes note that a host's process no longer exists, so that it sends nothing any more.
    pub fn executor_gone(&mut self, host: Incarnation) {
        let held: Vec<Offset> = self
            .unsettled()
            .filter(|(_, copy)| copy.former.contains(&host))
            .map(|(id, _)| *id)
            .collect();
        for id in held {
            self.drop_former(id, host);
        }
    }

    fn drop_former(&mut self, id: Offset, host: Incarnation) {
        let Some(mut copy) = self.copies.get(&id).cloned() else {
            return;
        };
        copy.former.retain(|former| *former != host);
        let is_over = copy.state == CopyState::Ended && copy.former.is_empty();
        self.put(id, copy);
        if is_over {
            self.remove(id);
        }
    }

    fn copy(&self, id: Offset) -> Result<&Copy, Rejection> {
        self.copies.get(&id).ok_or(Rejection::WrongCopyState)
    }

    fn checks_fencing(&self, copy: &Copy) -> bool {
        self.upstreams
            .get(&copy.load.upstream)
            .is_some_and(|upstream| upstream.checks_fencing)
    }
}
