//! Indexes of the copies by model and by upstream, derived from the copies themselves.

use crate::placement::copies::{Copy, CopyState};
use crate::prelude::*;

/// The ids of the copies by model and by upstream, with the memory reserved on each upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    by_model: IndexMap<Name, Vec<Offset>>,
    by_upstream: IndexMap<Name, UpstreamTotals>,
    unsettled: IndexSet<Offset>,
    loading: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct UpstreamTotals {
    copies: Vec<Offset>,
    reserved_bytes: u64,
}

impl Index {
    /// Builds the index of the copies.
    pub fn new(copies: &IndexMap<Offset, Copy>) -> Self {
        let mut index = Self::default();
        for (id, copy) in copies {
            index.add(*id, copy);
        }
        index
    }

    /// Adds a copy.
    pub fn add(&mut self, id: Offset, copy: &Copy) {
        let model = copy.load.model.clone();
        insert_sorted(self.by_model.entry(model).or_default(), id);
        let upstream = copy.load.upstream.clone();
        let totals = self.by_upstream.entry(upstream).or_default();
        insert_sorted(&mut totals.copies, id);
        totals.reserved_bytes = totals
            .reserved_bytes
            .saturating_add(copy.load.reserved_bytes);
        if copy.is_unsettled() {
            self.unsettled.insert(id);
        }
        if copy.state == CopyState::Loading {
            self.loading += 1;
        }
    }

    /// Removes a copy. `copy` must be the same as when it was added, or the sums become wrong.
    pub fn remove(&mut self, id: Offset, copy: &Copy) {
        if let Some(ids) = self.by_model.get_mut(&copy.load.model) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_model.swap_remove(&copy.load.model);
            }
        }
        if let Some(totals) = self.by_upstream.get_mut(&copy.load.upstream) {
            totals.copies.retain(|other| *other != id);
            totals.reserved_bytes = totals
                .reserved_bytes
                .saturating_sub(copy.load.reserved_bytes);
            if totals.copies.is_empty() {
                self.by_upstream.swap_remove(&copy.load.upstream);
            }
        }
        self.unsettled.swap_remove(&id);
        if copy.state == CopyState::Loading {
            self.loading -= 1;
        }
    }

    /// Returns the ids of the copies of a model, in ascending order.
    pub fn of_model(&self, model: &str) -> &[Offset] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the ids of the copies on an upstream, in ascending order.
    pub fn on_upstream(&self, upstream: &str) -> &[Offset] {
        self.by_upstream
            .get(upstream)
            .map_or(&[], |totals| totals.copies.as_slice())
    }

    /// Returns the accelerator memory that is reserved for copies on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.by_upstream
            .get(upstream)
            .map_or(0, |totals| totals.reserved_bytes)
    }

    /// Returns the ids of the copies for which [`Copy::is_unsettled`] holds, in no fixed order.
    pub fn unsettled(&self) -> impl Iterator<Item = &Offset> {
        self.unsettled.iter()
    }

    /// Returns the number of copies that are being loaded.
    pub fn loading(&self) -> usize {
        self.loading
    }
}

/// Inserts an id in ascending order, so that a host that started from a checkpoint has the same
/// list as one that applied all records.
fn insert_sorted(ids: &mut Vec<Offset>, id: Offset) {
    if let Err(at) = ids.binary_search(&id) {
        ids.insert(at, id);
    }
}
