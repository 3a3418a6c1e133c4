//! The checks that a load must pass before it is accepted into the placement state.

use crate::membership::message::UpstreamRole;
use crate::placement::copies::{CopyState, MAX_COPIES, Placement};
use crate::placement::message::LoadDecision;
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::StoreLimits;

/// The span over which the weight store's limit of loads per second counts.
const RATE_WINDOW_MS: Millis = Millis(1_000);

impl Placement {
    /// Checks a load against the table, the existing copies, the engine's memory, an adapter's base
    /// model and the weight store's limits.
    ///
    /// # Errors
    ///
    /// Returns the rejection of the first check that fails.
    pub(super) fn check_load(
        &mut self,
        now: Millis,
        load: &LoadDecision,
        table: &Table,
    ) -> Result<(), Rejection> {
        check_model(load, table)?;
        self.configured.refresh(table);
        self.check_count(load)?;
        self.check_upstream(load)?;
        self.check_base(load, table)?;
        self.check_store(now, table)?;
        if self.copies.len() >= MAX_COPIES {
            return Err(Rejection::Full);
        }
        Ok(())
    }

    /// Checks the number of copies of the model. Engines unload and check fencing numbers by model,
    /// so an engine holds at most one copy of each model.
    fn check_count(&self, load: &LoadDecision) -> Result<(), Rejection> {
        let mut count = 0;
        for (_, copy) in self.copies_of(&load.model) {
            let same_engine = copy.load.upstream == load.upstream;
            if same_engine || copy.load.copy_index == load.copy_index {
                return Err(Rejection::CopyExists);
            }
            count += 1;
        }
        let configured = self.configured.of(&load.model);
        if count >= configured || load.copy_index >= configured {
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
        let Some(model) = table.model(&load.model) else {
            return Ok(());
        };
        let Some(base) = &model.base else {
            return Ok(());
        };
        let is_ready = self
            .copies_of(base)
            .any(|(_, copy)| copy.load.upstream == load.upstream && copy.state == CopyState::Ready);
        if is_ready {
            Ok(())
        } else {
            Err(Rejection::NoBase)
        }
    }

    /// Returns how many more loads may start now under the weight store's limits of parallel loads
    /// and loads per second. `now` is a time of the log's clock.
    pub fn available_loads(&self, now: Millis, limits: &StoreLimits) -> usize {
        let is_recent = |at: &&Millis| now.since(**at) < RATE_WINDOW_MS;
        let started = self.recent_loads.iter().filter(is_recent).count();
        let parallel = (limits.parallel_loads as usize).saturating_sub(self.loading());
        parallel.min((limits.loads_per_s as usize).saturating_sub(started))
    }

    fn check_store(&mut self, now: Millis, table: &Table) -> Result<(), Rejection> {
        while self
            .recent_loads
            .front()
            .is_some_and(|at| now.since(*at) >= RATE_WINDOW_MS)
        {
            self.recent_loads.pop_front();
        }
        let is_busy = self.available_loads(now, &table.store.value) == 0;
        if is_busy {
            Err(Rejection::StoreBusy)
        } else {
            Ok(())
        }
    }
}

fn check_model(load: &LoadDecision, table: &Table) -> Result<(), Rejection> {
    let model = table.model(&load.model).ok_or(Rejection::UnknownModel)?;
    if model.version != load.version || model.reserved_bytes != load.reserved_bytes {
        return Err(Rejection::UnknownModel);
    }
    Ok(())
}
