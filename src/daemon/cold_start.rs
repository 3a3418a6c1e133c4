//! Prediction of cold starts: when a model will be ready, and the refusal of requests whose
//! deadline is earlier.

use crate::daemon::node::Node;
use crate::placement::copies::CopyState;
use crate::placement::policy::choice::{Choice, fetch_ms, store_wait_ms};
use crate::prelude::*;
use crate::table::message::Urgency;

/// How long a request that was refused for a cold start counts as demand, so that the model is
/// loaded.
pub const REFUSED_DEMAND_MS: Millis = Millis(5_000);
/// The retry time in a refusal because no engine can hold the model.
pub const NO_CAPACITY_RETRY_AFTER_MS: Millis = Millis(30_000);
/// The retry time in a refusal because the log is unreachable.
pub const LOG_RETRY_AFTER_MS: Millis = Millis(2_000);

/// The prediction of when a model is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// A copy is ready, or may be ready soon as far as is known.
    Soon,
    /// A copy is ready after about this time.
    After(Millis),
    /// No engine can hold the model, or the table configures no copy of it.
    Never,
}

impl Node {
    /// Predicts when a model is ready, from its copies or, without one, from the expected load.
    pub fn predicted_ready(&self, now: Millis, model: &str) -> Ready {
        let placement = &self.shared.placement;
        let mut remaining_ms = None;
        for (_, copy) in placement.copies_of(model) {
            match copy.state {
                CopyState::Ready => return Ready::Soon,
                CopyState::Loading => {
                    let load_ms = self.demand.uses.load_ms(model).unwrap_or_default();
                    let elapsed_ms = self.shared.log_ms.max(now).since(copy.decided_ms);
                    remaining_ms = Some(load_ms - elapsed_ms);
                }
                CopyState::Unloading | CopyState::Ended => {}
            }
        }
        if let Some(remaining_ms) = remaining_ms {
            return Ready::After(remaining_ms);
        }
        match self.choose_load(now, model) {
            Choice::Never if self.is_engine_expected(model) => Ready::Soon,
            Choice::Never => Ready::Never,
            Choice::Wait => Ready::Soon,
            Choice::Load(_) | Choice::FreeMemory { .. } => Ready::After(self.cold_start_ms(model)),
        }
    }

    /// Returns whether the platform's list names an engine that can hold a model and whose record
    /// is not on the log yet. True if the list was not read yet.
    fn is_engine_expected(&self, model: &str) -> bool {
        let wanted = self.demand.decided.of(model) > 0;
        let bytes = self
            .shared
            .table
            .model(model)
            .map(|spec| spec.reserved_bytes);
        let known = &self.shared.placement.upstreams;
        let data_centres = self.demand.decided.data_centres_of(model);
        let may_be_listed = self.platform.may_list_upstream(|entry| {
            !known.contains_key(&entry.name)
                && data_centres.allow(&entry.data_centre)
                && Some(entry.memory_bytes) >= bytes
        });
        wanted && may_be_listed
    }

    fn cold_start_ms(&self, model: &str) -> Millis {
        let Some(spec) = self.shared.table.model(model) else {
            return Millis::ZERO;
        };
        let context = self.load_context(model);
        let reports = self.shared.placement.upstreams.keys();
        let reports = reports.filter_map(|name| self.routing.get(name)?.report.as_ref());
        let shortest_ms = reports
            .map(|report| fetch_ms(&context, model, spec, Some(report)))
            .min();
        let load_ms = shortest_ms.unwrap_or_else(|| fetch_ms(&context, model, spec, None));
        let limits = &self.shared.table.store.value;
        load_ms + store_wait_ms(self.shared.placement.loading(), limits, load_ms)
    }

    /// Checks that a model can be ready before the deadline of a request that arrives now. Names
    /// that are not models, such as services, pass.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no engine can hold the model or the table configures no copy of it, if
    /// it has no copy and the log is unreachable, or if its cold start takes longer than
    /// `deadline_ms`. In the last case the refusal gives the predicted time, and the model is
    /// loaded nevertheless.
    pub fn check_cold_start(
        &mut self,
        now: Millis,
        model: &Name,
        deadline_ms: Millis,
    ) -> Result<(), Refusal> {
        if self.shared.table.model(model).is_none() {
            return Ok(());
        }
        self.demand.decided.refresh(&self.shared.table);
        let ready = self.predicted_ready(now, model);
        if ready == Ready::Soon {
            return Ok(());
        }
        let has_copy = self.shared.placement.copies_of(model).next().is_some();
        if !has_copy && !self.driver.is_reachable() {
            let message = "the model is not loaded, and the log that decides loads is out of reach";
            let refusal = Refusal::new(ErrorKind::LogUnavailable, message);
            return Err(refusal.after(LOG_RETRY_AFTER_MS));
        }
        match ready {
            Ready::Never => {
                let message = format!("no engine can take model {model}");
                Err(Refusal::new(ErrorKind::NoCapacity, message).after(NO_CAPACITY_RETRY_AFTER_MS))
            }
            Ready::After(ready_ms) if ready_ms > deadline_ms => {
                self.demand
                    .note_demand(now, model, Urgency::Normal, 0, now + REFUSED_DEMAND_MS);
                let message = format!("model {model} can be ready in {ready_ms}");
                Err(Refusal::new(ErrorKind::ColdStartTooLong, message).after(ready_ms))
            }
            Ready::After(_) | Ready::Soon => Ok(()),
        }
    }
}
