//! The placement state derived from the log: upstreams, copies, and the memory reserved for them.
//!
//! Like all state that is folded from the log, it is the same at every host that has applied the
//! same records. An order is a request to an engine to load or unload a copy. Each order has an
//! executor, the host that sends it; when the executor departs, another host takes the order over
//! under a higher fencing number.

use crate::membership::members::Members;
use crate::membership::message::UpstreamEntry;
use crate::placement::configured::ConfiguredCopies;
use crate::placement::index::Index;
use crate::placement::message::{LoadDecision, OrderAction, OrderOutcome};
use crate::prelude::*;
use crate::table::Table;
use std::collections::VecDeque;

/// Most upstreams in the state.
pub const MAX_UPSTREAMS: usize = 16_384;
/// Most copies in the state.
pub const MAX_COPIES: usize = 131_072;

/// The state of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyState {
    /// The copy's load order is under way.
    Loading,
    /// The copy is loaded and serves requests.
    Ready,
    /// The copy's unload order is under way.
    Unloading,
    /// The load failed or the unload is done, so that the engine holds no memory for the copy. A
    /// former executor may still send the last order, so its memory stays reserved.
    Ended,
}

/// A copy of a model on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    /// The decision that created the copy.
    pub load: LoadDecision,
    /// The base model that an adapter needs on the same engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Name>,
    /// The state of the copy.
    pub state: CopyState,
    /// The id of the order under way, or of the last one: the offset of the record that decided it.
    pub order: Offset,
    /// The fencing number of that order: the offset of its decision or of its latest takeover.
    pub fence: Offset,
    /// The host that sends that order.
    pub executor: Incarnation,
    /// Earlier executors of that order that may still send it.
    pub former: Vec<Incarnation>,
    /// When the order was decided, or when the load was done, by the log's clock.
    pub decided_ms: Millis,
}

impl Copy {
    /// Returns the action of the order under way, or `None` if there is no order under way.
    pub fn action_under_way(&self) -> Option<OrderAction> {
        match self.state {
            CopyState::Loading => Some(OrderAction::Load),
            CopyState::Unloading => Some(OrderAction::Unload),
            CopyState::Ready | CopyState::Ended => None,
        }
    }

    /// Returns whether an order is under way, or a former executor may still send one.
    pub fn is_unsettled(&self) -> bool {
        self.action_under_way().is_some() || !self.former.is_empty()
    }
}

/// The upstreams and copies, as all hosts agree on them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredPlacement")]
pub struct Placement {
    /// The registered upstreams by name.
    pub upstreams: IndexMap<Name, UpstreamEntry>,
    /// The copies by id, which is the offset of their load decision. Only this module changes them,
    /// since the index must follow.
    pub copies: IndexMap<Offset, Copy>,
    /// When the loads of the last second were decided, by the log's clock, oldest first.
    pub(super) recent_loads: VecDeque<Millis>,
    #[serde(skip)]
    pub(super) index: Index,
    #[serde(skip)]
    pub(super) configured: ConfiguredCopies,
}

/// The part of [`Placement`] that a checkpoint holds; the index is rebuilt from it.
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
            configured: ConfiguredCopies::default(),
        }
    }
}

impl Placement {
    /// Adds or updates an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::WrongHostState`] if the entry changes nothing, and [`Rejection::Full`]
    /// if there are [`MAX_UPSTREAMS`] already.
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

    /// Removes an upstream that no longer exists, and its copies.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::UnknownUpstream`] if the upstream is not known.
    pub fn remove_upstream(&mut self, name: &str) -> Result<(), Rejection> {
        if self.upstreams.swap_remove(name).is_none() {
            return Err(Rejection::UnknownUpstream);
        }
        for id in self.index.on_upstream(name).to_vec() {
            self.remove(id);
        }
        Ok(())
    }

    /// Returns the accelerator memory that is reserved for copies on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.index.reserved_bytes(upstream)
    }

    /// Returns the copies of a model, of all versions, in the order of their ids.
    pub fn copies_of<'a>(&'a self, model: &str) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        self.entries(self.index.of_model(model))
    }

    /// Returns the copies on an upstream, in the order of their ids.
    pub fn copies_on<'a>(&'a self, upstream: &str) -> impl Iterator<Item = (&'a Offset, &'a Copy)> {
        self.entries(self.index.on_upstream(upstream))
    }

    /// Returns the copies for which [`Copy::is_unsettled`] holds: an order is under way, or a
    /// former executor may still send one.
    pub fn unsettled(&self) -> impl Iterator<Item = (&Offset, &Copy)> {
        self.index
            .unsettled()
            .filter_map(|id| self.copies.get_key_value(id))
    }

    /// Returns the number of loads under way.
    pub fn loading(&self) -> usize {
        self.index.loading()
    }

    /// Returns whether an adapter on the same engine needs this copy as its base model.
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

    /// Replaces an existing copy.
    fn replace(&mut self, id: Offset, copy: Copy) {
        self.remove(id);
        self.insert(id, copy);
    }

    /// Applies the decision to load a copy, and reserves its memory. The copy's id is `offset`.
    ///
    /// # Errors
    ///
    /// Rejects a load that does not fit the table, the configured number of copies, the engine's
    /// memory, an adapter's base model or the weight store's limits, and any load once there are
    /// [`MAX_COPIES`].
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

    /// Applies the decision to unload a ready copy.
    ///
    /// # Errors
    ///
    /// Rejects the unload of a copy that is not ready, of a base model that adapters on the engine
    /// still need, and, on an engine that ignores fencing numbers, of a copy whose load order a
    /// former executor may still send.
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
        self.replace(id, copy);
        Ok(())
    }

    /// Makes the writer the executor of the order under way; `offset` becomes the fencing number.
    ///
    /// The previous executor is kept as a former one until it relinquishes the order or its process
    /// is known to have ended.
    ///
    /// # Errors
    ///
    /// Rejects the takeover if no order is under way, and if its executor is still a member.
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
        self.replace(id, copy);
        Ok(())
    }

    /// Applies the outcome of an order.
    ///
    /// A load that failed and an unload that is done remove the copy and free its memory, unless a
    /// former executor may still send the order to an engine that ignores fencing numbers.
    ///
    /// # Errors
    ///
    /// Rejects the outcome if its fencing number is not the current one or no order is under way,
    /// and [`OrderOutcome::NotSent`] while a former executor may still send the order to an engine
    /// that ignores fencing numbers.
    pub fn apply_outcome(
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
        let may_still_be_sent = !copy.former.is_empty() && !self.checks_fencing(&copy);
        if may_still_be_sent && outcome == OrderOutcome::NotSent {
            return Err(Rejection::ExecutorAlive);
        }
        match (copy.state, outcome) {
            (CopyState::Loading, OrderOutcome::Done) => {
                copy.state = CopyState::Ready;
                copy.decided_ms = now;
                self.replace(id, copy);
            }
            (CopyState::Unloading, OrderOutcome::Failed | OrderOutcome::NotSent) => {
                copy.state = CopyState::Ready;
                self.replace(id, copy);
            }
            (CopyState::Loading, OrderOutcome::Failed | OrderOutcome::NotSent)
            | (CopyState::Unloading, OrderOutcome::Done) => {
                copy.state = CopyState::Ended;
                self.replace(id, copy);
                if !may_still_be_sent {
                    self.remove(id);
                }
            }
            (CopyState::Ready | CopyState::Ended, _) => return Err(Rejection::WrongCopyState),
        }
        Ok(())
    }

    /// Applies a former executor's statement that it will not send the order any more.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::WrongCopyState`] if the writer is not a former executor of the copy's
    /// order.
    pub fn relinquish(&mut self, writer: Incarnation, id: Offset) -> Result<(), Rejection> {
        if !self.copy(id)?.former.contains(&writer) {
            return Err(Rejection::WrongCopyState);
        }
        self.remove_former_executor(id, writer);
        Ok(())
    }

    /// Records that a host's process has ended, so that it cannot send any order any more.
    pub fn executor_gone(&mut self, host: Incarnation) {
        let affected: Vec<Offset> = self
            .unsettled()
            .filter(|(_, copy)| copy.former.contains(&host))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.remove_former_executor(id, host);
        }
    }

    fn remove_former_executor(&mut self, id: Offset, host: Incarnation) {
        let Some(mut copy) = self.copies.get(&id).cloned() else {
            return;
        };
        copy.former.retain(|former| *former != host);
        let is_settled = copy.state == CopyState::Ended && copy.former.is_empty();
        self.replace(id, copy);
        if is_settled {
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
