//! The copies in accelerator memory, the orders taken, and their peaks.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::engine::ModelVersion;
use crate::engine::args::EngineSettings;
use crate::engine::order::{Order, OrderKey, OrderState, OrderStatus};
use crate::engine::peaks::Peaks;
use crate::error::Refusal;

/// How many finished and running orders are remembered.
const MAX_ORDERS: usize = 10_000;
/// How many copies are held at once.
const MAX_COPIES: usize = 10_000;
/// For how many models fencing numbers are kept.
const MAX_MODELS: usize = 100_000;

/// Where a copy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyState {
    /// Its weights are on their way.
    Loading,
    /// It takes requests.
    Ready,
    /// It finishes its requests, then its memory is freed.
    Unloading,
}

/// Which part of requests a copy computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyRole {
    /// Prompts and tokens.
    #[default]
    Mixed,
    /// Prompts only: it takes no chat requests.
    Prefill,
    /// Tokens, and prompts for want of another copy.
    Decode,
}

impl CopyRole {
    fn is_mixed(&self) -> bool {
        *self == Self::Mixed
    }
}

/// One copy of a model in accelerator memory.
#[derive(Clone, Debug, Serialize)]
pub struct ModelCopy {
    #[serde(skip)]
    id: u64,
    #[serde(skip)]
    model_version: ModelVersion,
    model: Arc<str>,
    version: Arc<str>,
    bytes: u64,
    state: CopyState,
    #[serde(skip_serializing_if = "CopyRole::is_mixed")]
    role: CopyRole,
    order: u64,
    #[serde(skip)]
    base: Option<Arc<str>>,
    #[serde(skip)]
    active_runs: u32,
}

/// A load that an accepted order starts.
#[derive(Clone, Debug)]
pub struct LoadTask {
    /// The copy to be filled.
    pub copy_id: u64,
    /// What is loaded.
    pub model_version: ModelVersion,
    /// How much is loaded.
    pub bytes: u64,
}

/// An unload that an accepted order starts.
#[derive(Clone, Debug)]
pub struct UnloadTask {
    /// The order, which ends when all copies are gone.
    pub order: OrderKey,
    /// What is unloaded.
    pub model_version: ModelVersion,
    /// The copies to be freed.
    pub copy_ids: Vec<u64>,
}

/// What an accepted order asks for next.
#[derive(Clone, Debug)]
pub enum NextStep {
    /// A load is to be started.
    Load(LoadTask),
    /// An unload is to be started.
    Unload(UnloadTask),
    /// Nothing: the order was seen before, or joins a load under way.
    Nothing,
}

/// An order and the copy whose load it waits for.
#[derive(Debug)]
struct OrderRecord {
    status: OrderStatus,
    copy_id: Option<u64>,
}

/// All copies and orders of one engine.
#[derive(Debug)]
pub struct CopyTable {
    memory_bytes: u64,
    enforce_memory: bool,
    checks_fencing: bool,
    next_copy_id: u64,
    copies: Vec<ModelCopy>,
    orders: IndexMap<OrderKey, OrderRecord>,
    highest_fences: IndexMap<Arc<str>, u64>,
    peaks: Peaks,
}

impl CopyTable {
    /// Builds an empty table.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            memory_bytes: settings.memory_bytes,
            enforce_memory: settings.enforce_memory,
            checks_fencing: settings.checks_fencing,
            next_copy_id: 0,
            copies: Vec::new(),
            orders: IndexMap::new(),
            highest_fences: IndexMap::new(),
            peaks: Peaks::new(settings.memory_bytes),
        }
    }

    /// Returns the accelerator memory.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes
    }

    /// Returns the memory that copies take, in whatever state they are.
    pub fn used_bytes(&self) -> u64 {
        let bytes = self.copies.iter().map(|copy| copy.bytes);
        bytes.fold(0, u64::saturating_add)
    }

    /// Copies the list of copies.
    pub fn list(&self) -> Vec<ModelCopy> {
        self.copies.clone()
    }

    /// Copies the peaks.
    pub fn peaks(&self) -> Peaks {
        self.peaks.clone()
    }

    /// Returns the latest order under a number.
    pub fn order_status(&self, order: u64) -> Option<OrderStatus> {
        let records = self.orders.iter().rev();
        let mut matching = records.filter(|(key, _)| key.order == order);
        matching.next().map(|(_, record)| record.status.clone())
    }

    /// Returns one order.
    pub fn status(&self, key: OrderKey) -> Option<OrderStatus> {
        self.orders.get(&key).map(|record| record.status.clone())
    }

    /// Takes a load order.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number, and a load without room or base.
    pub fn take_load(&mut self, order: &Order) -> Result<NextStep, Refusal> {
        self.check_fence(order)?;
        if self.orders.contains_key(&order.key()) {
            return Ok(NextStep::Nothing);
        }
        if let Some(copy_id) = self.copy_to_adopt(order) {
            self.record(order, Some(copy_id));
            return Ok(NextStep::Nothing);
        }
        self.check_room(order)?;
        self.check_base(order)?;
        let task = self.add_copy(order);
        self.record(order, Some(task.copy_id));
        Ok(NextStep::Load(task))
    }

    /// Takes an unload order, which ends all copies of the model and version.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number.
    pub fn take_unload(&mut self, order: &Order) -> Result<NextStep, Refusal> {
        self.check_fence(order)?;
        if self.orders.contains_key(&order.key()) {
            return Ok(NextStep::Nothing);
        }
        let model_version = order.model_version();
        let copy_ids = self.start_unloading(&model_version);
        self.record(order, None);
        Ok(NextStep::Unload(UnloadTask {
            order: order.key(),
            model_version,
            copy_ids,
        }))
    }

    /// Changes the role of the ready copies of a model and version.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number, and a model that is not ready.
    pub fn take_role(&mut self, order: &Order, role: CopyRole) -> Result<NextStep, Refusal> {
        self.check_fence(order)?;
        if self.orders.contains_key(&order.key()) {
            return Ok(NextStep::Nothing);
        }
        let model_version = order.model_version();
        let is_meant = |copy: &&mut ModelCopy| {
            copy.state == CopyState::Ready && copy.model_version == model_version
        };
        let mut changed = 0;
        for copy in self.copies.iter_mut().filter(is_meant) {
            copy.role = role;
            changed += 1;
        }
        if changed == 0 {
            return Err(Refusal::NotLoaded);
        }
        self.record(order, None);
        self.finish_order(order.key());
        Ok(NextStep::Nothing)
    }

    fn check_fence(&mut self, order: &Order) -> Result<(), Refusal> {
        if !self.checks_fencing {
            return Ok(());
        }
        match self.highest_fences.get(&order.model) {
            Some(&highest) if order.fence < highest => {
                self.peaks.count_fenced();
                Err(Refusal::Fenced { highest })
            }
            None if self.highest_fences.len() >= MAX_MODELS => Err(Refusal::Busy),
            _ => Ok(()),
        }
    }

    /// Finds the copy that a fence-checking engine hands to a takeover of the same order.
    fn copy_to_adopt(&self, order: &Order) -> Option<u64> {
        if !self.checks_fencing {
            return None;
        }
        let is_same = |copy: &&ModelCopy| {
            copy.order == order.order
                && copy.model_version == order.model_version()
                && copy.state != CopyState::Unloading
        };
        self.copies.iter().find(is_same).map(|copy| copy.id)
    }

    fn check_room(&self, order: &Order) -> Result<(), Refusal> {
        if self.copies.len() >= MAX_COPIES {
            return Err(Refusal::Busy);
        }
        let needed = self.used_bytes().saturating_add(order.bytes);
        if self.enforce_memory && needed > self.memory_bytes {
            return Err(Refusal::Memory);
        }
        Ok(())
    }

    fn check_base(&self, order: &Order) -> Result<(), Refusal> {
        match &order.base {
            Some(base) if !self.is_ready(base) => Err(Refusal::BaseNotLoaded),
            _ => Ok(()),
        }
    }

    fn is_ready(&self, name: &str) -> bool {
        self.ready_copies(name).next().is_some()
    }

    fn ready_copies(&self, name: &str) -> impl DoubleEndedIterator<Item = &ModelCopy> {
        let is_ready = move |copy: &&ModelCopy| {
            copy.state == CopyState::Ready && copy.model_version.is_named(name)
        };
        self.copies.iter().filter(is_ready)
    }

    fn add_copy(&mut self, order: &Order) -> LoadTask {
        let copy_id = self.next_copy_id;
        self.next_copy_id += 1;
        let model_version = order.model_version();
        self.copies.push(ModelCopy {
            id: copy_id,
            model_version: model_version.clone(),
            model: Arc::clone(&order.model),
            version: Arc::clone(&order.version),
            bytes: order.bytes,
            state: CopyState::Loading,
            role: CopyRole::default(),
            order: order.order,
            base: order.base.clone(),
            active_runs: 0,
        });
        self.note_peaks(&model_version);
        LoadTask {
            copy_id,
            model_version,
            bytes: order.bytes,
        }
    }

    fn note_peaks(&mut self, added: &ModelVersion) {
        let same = self.copies.iter();
        let copies = same.filter(|copy| copy.model_version == *added).count() as u64;
        let used_bytes = self.used_bytes();
        self.peaks.count_load(added, copies, used_bytes);
    }

    /// Remembers an order that was taken, and its fencing number.
    fn record(&mut self, order: &Order, copy_id: Option<u64>) {
        self.forget_oldest_order();
        if self.checks_fencing {
            self.highest_fences
                .insert(Arc::clone(&order.model), order.fence);
        }
        let is_ready = self
            .copies
            .iter()
            .any(|copy| Some(copy.id) == copy_id && copy.state == CopyState::Ready);
        let state = match is_ready {
            true => OrderState::Done,
            false => OrderState::Running,
        };
        let status = OrderStatus::new(order.order, state);
        self.orders
            .insert(order.key(), OrderRecord { status, copy_id });
    }

    fn forget_oldest_order(&mut self) {
        if self.orders.len() < MAX_ORDERS {
            return;
        }
        let is_over = |record: &OrderRecord| record.status.state != OrderState::Running;
        let oldest = self.orders.values().position(is_over);
        self.orders.shift_remove_index(oldest.unwrap_or(0));
    }

    fn start_unloading(&mut self, model_version: &ModelVersion) -> Vec<u64> {
        let copies = self.copies.iter_mut();
        let mut ended = Vec::new();
        let mut interrupted = Vec::new();
        for copy in copies.filter(|copy| copy.model_version == *model_version) {
            if copy.state == CopyState::Loading {
                interrupted.push(copy.id);
            }
            copy.state = CopyState::Unloading;
            ended.push(copy.id);
        }
        for copy_id in interrupted {
            self.finish_orders_of(copy_id, OrderState::Failed, Some("unloaded"));
        }
        ended
    }

    /// Reports whether a copy still waits for its weights.
    pub fn is_loading(&self, copy_id: u64) -> bool {
        let mut copies = self.copies.iter();
        copies.any(|copy| copy.id == copy_id && copy.state == CopyState::Loading)
    }

    /// Makes a loaded copy ready, unless it is being unloaded already.
    pub fn finish_load(&mut self, copy_id: u64) {
        if !self.is_loading(copy_id) {
            return;
        }
        for copy in self.copies.iter_mut().filter(|copy| copy.id == copy_id) {
            copy.state = CopyState::Ready;
        }
        self.peaks.count_done();
        self.finish_orders_of(copy_id, OrderState::Done, None);
    }

    /// Drops a copy whose load failed.
    pub fn fail_load(&mut self, copy_id: u64, error: &str) {
        if !self.is_loading(copy_id) {
            return;
        }
        self.remove_copy(copy_id);
        self.peaks.count_failed();
        self.finish_orders_of(copy_id, OrderState::Failed, Some(error));
    }

    /// Frees the memory of a copy.
    pub fn remove_copy(&mut self, copy_id: u64) {
        self.copies.retain(|copy| copy.id != copy_id);
    }

    /// Ends an order.
    pub fn finish_order(&mut self, key: OrderKey) {
        if let Some(record) = self.orders.get_mut(&key) {
            record.status.state = OrderState::Done;
        }
    }

    fn finish_orders_of(&mut self, copy_id: u64, state: OrderState, error: Option<&str>) {
        let records = self.orders.values_mut();
        let waiting = records.filter(|record| record.copy_id == Some(copy_id));
        for record in waiting.filter(|record| record.status.state == OrderState::Running) {
            record.status.state = state;
            record.status.error = error.map(Arc::from);
        }
    }

    /// Takes the latest ready copy for a request and returns its identity.
    ///
    /// # Errors
    ///
    /// Refuses where the model, or the base of an adapter, is not ready.
    pub fn start_run(&mut self, name: &str) -> Result<CopyInUse, Refusal> {
        let takes_chats = |copy: &&ModelCopy| copy.role != CopyRole::Prefill;
        let copy = self.ready_copies(name).rfind(takes_chats);
        let copy = copy.ok_or(Refusal::NotLoaded)?;
        if copy.base.as_ref().is_some_and(|base| !self.is_ready(base)) {
            return Err(Refusal::NotLoaded);
        }
        let in_use = CopyInUse {
            copy_id: copy.id,
            model_version: copy.model_version.clone(),
        };
        let copies = self.copies.iter_mut();
        for copy in copies.filter(|copy| copy.id == in_use.copy_id) {
            copy.active_runs += 1;
        }
        Ok(in_use)
    }

    /// Gives back a copy taken by [`Self::start_run`].
    pub fn finish_run(&mut self, copy_id: u64) {
        let copies = self.copies.iter_mut();
        for copy in copies.filter(|copy| copy.id == copy_id) {
            copy.active_runs = copy.active_runs.saturating_sub(1);
        }
    }

    /// Reports whether any request runs on one of the copies.
    pub fn is_any_in_use(&self, copy_ids: &[u64]) -> bool {
        let mut copies = self.copies.iter();
        copies.any(|copy| copy.active_runs > 0 && copy_ids.contains(&copy.id))
    }
}

/// A copy that a request runs on.
#[derive(Clone, Debug)]
pub struct CopyInUse {
    /// The copy.
    pub copy_id: u64,
    /// What it holds.
    pub model_version: ModelVersion,
}
