//! Where the copies are, derived from the copies themselves.

use crate::placement::copies::{Copy, CopyState};
use crate::prelude::*;

/// The copies by model and by upstream, with sums.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    by_model: IndexMap<Name, Vec<Offset>>,
    by_upstream: IndexMap<Name, UpstreamSum>,
    unsettled: IndexSet<Offset>,
    loading: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct UpstreamSum {
    copies: Vec<Offset>,
    reserved_bytes: u64,
}

impl Index {
    /// Makes the index of the copies.
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
        let sum = self.by_upstream.entry(upstream).or_default();
        insert_sorted(&mut sum.copies, id);
        sum.reserved_bytes = sum.reserved_bytes.saturating_add(copy.load.reserved_bytes);
        if copy.is_unsettled() {
            self.unsettled.insert(id);
        }
        if copy.state == CopyState::Loading {
            self.loading += 1;
        }
    }

    /// Takes out a copy in the state in which it was added.
    pub fn remove(&mut self, id: Offset, copy: &Copy) {
        if let Some(ids) = self.by_model.get_mut(&copy.load.model) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_model.swap_remove(&copy.load.model);
            }
        }
        if let Some(sum) = self.by_upstream.get_mut(&copy.load.upstream) {
            sum.copies.retain(|other| *other != id);
            sum.reserved_bytes = sum.reserved_bytes.saturating_sub(copy.load.reserved_bytes);
            if sum.copies.is_empty() {
                self.by_upstream.swap_remove(&copy.load.upstream);
            }
        }
        self.unsettled.swap_remove(&id);
        if copy.state == CopyState::Loading {
            self.loading -= 1;
        }
    }

    /// Returns the copies of a model.
    pub fn of_model(&self, model: &str) -> &[Offset] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the copies on an upstream.
    pub fn on_upstream(&self, upstream: &str) -> &[Offset] {
        self.by_upstream
            .get(upstream)
            .map_or(&[], |sum| sum.copies.as_slice())
    }

    /// Returns the memory reserved on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.by_upstream
            .get(upstream)
            .map_or(0, |sum| sum.reserved_bytes)
    }

    /// Returns the copies whose last order may still change something.
    pub fn unsettled(&self) -> impl Iterator<Item = &Offset> {
        self.unsettled.iter()
    }

    /// Returns how many copies are being loaded.
    pub fn loading(&self) -> usize {
        self.loading
    }
}

/// Keeps the order of a list equal at hosts that began from a checkpoint.
fn insert_sorted(ids: &mut Vec<Offset>, id: Offset) {
    if let Err(at) = ids.binary_search(&id) {
        ids.insert(at, id);
    }
}
