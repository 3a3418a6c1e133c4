//! The requests that wait at one host until an engine with their model has less to read.
//!
//! Handles less urgent requests for models whose engines get more prompts than they read. Each new
//! request for which there is room lets the first one in the order begin, so that requests begin no
//! faster than they arrive, although hosts learn of a free engine at the same time.

use crate::prelude::*;
use crate::routing::engine_admission::Candidate;

/// The most requests that wait for one model.
pub const MAX_WAITING_PER_MODEL: usize = 256;
/// The most requests that wait for all models.
pub const MAX_WAITING: usize = 2_048;

/// The waiting requests of a host, by model.
#[derive(Clone, Debug, Default)]
pub struct EngineLine {
    models: IndexMap<Name, Vec<Entry>>,
    waiting: usize,
    last_id: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: u64,
    candidate: Candidate,
    may_begin: bool,
}

impl EngineLine {
    /// Adds a request and returns its id; none if too many wait.
    pub fn join(&mut self, model: &Name, candidate: Candidate) -> Option<u64> {
        let of_model = self.models.get(model).map_or(0, Vec::len);
        if of_model >= MAX_WAITING_PER_MODEL || self.waiting >= MAX_WAITING {
            return None;
        }
        self.waiting += 1;
        self.last_id += 1;
        self.models.entry(model.clone()).or_default().push(Entry {
            id: self.last_id,
            candidate,
            may_begin: false,
        });
        Some(self.last_id)
    }

    /// Removes a request.
    pub fn leave(&mut self, model: &Name, id: u64) {
        let Some(entries) = self.models.get_mut(model) else {
            return;
        };
        let before = entries.len();
        entries.retain(|entry| entry.id != id);
        self.waiting -= before - entries.len();
        if entries.is_empty() {
            self.models.swap_remove(model);
        }
    }

    /// Lets the first request for a model begin that may not yet.
    pub fn let_first_begin(&mut self, now: Millis, model: &str) {
        let entries = self.models.get_mut(model).into_iter().flatten();
        let first = entries
            .filter(|entry| !entry.may_begin)
            .min_by_key(|entry| entry.candidate.order(now));
        if let Some(first) = first {
            first.may_begin = true;
        }
    }

    /// Tells whether a request may begin because another one arrived when there was room.
    pub fn may_begin(&self, model: &str, id: u64) -> bool {
        let mut entries = self.models.get(model).into_iter().flatten();
        entries.any(|entry| entry.id == id && entry.may_begin)
    }

    /// Tells whether a request is the first for its model in the order.
    pub fn is_first(&self, now: Millis, model: &str, id: u64) -> bool {
        let entries = self.models.get(model).into_iter().flatten();
        let first = entries.min_by_key(|entry| entry.candidate.order(now));
        first.is_some_and(|entry| entry.id == id)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
