//! Predicts when a model can serve, and refuses requests that cannot wait for it.

use crate::daemon::node::Node;
use crate::placement::copies::CopyState;
use crate::placement::policy::choice::{Choice, fetch_ms, store_wait_ms};
use crate::prelude::*;
use crate::table::message::Urgency;

/// How long a model stays wanted after a request was refused for its cold start.
pub const WANTED_MS: Millis = Millis(5_000);
/// When to come back when no engine can take the model.
pub const NO_CAPACITY_RETRY_MS: Millis = Millis(30_000);
/// When to come back when the log is out of reach.
pub const LOG_RETRY_MS: Millis = Millis(2_000);

/// When a model can be ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// A copy is ready, or nothing is known against one soon.
    Soon,
    /// After about this time.
    After(Millis),
    /// No engine can take it.
    Never,
}

impl Node {
    /// Predicts when a model can serve.
    pub fn predicted_ready(&self, now: Millis, model: &str) -> Ready {
        let placement = &self.shared.placement;
        let mut left_ms = None;
        for (_, copy) in placement.copies_of(model) {
            match copy.state {
                CopyState::Ready => return Ready::Soon,
                CopyState::Loading => {
                    let load_ms = self.demand.uses.load_ms(model).unwrap_or_default();
                    let gone_ms = self.shared.log_ms.max(now).since(copy.decided_ms);
                    left_ms = Some(load_ms - gone_ms);
                }
                CopyState::Unloading | CopyState::Ended => {}
            }
        }
        if let Some(left_ms) = left_ms {
            return Ready::After(left_ms);
        }
        match self.choose(now, model) {
            Choice::Never if self.is_engine_coming(model) => Ready::Soon,
            Choice::Never => Ready::Never,
            Choice::Wait => Ready::Soon,
            Choice::Load(_) | Choice::MakeRoom { .. } => Ready::After(self.cold_start_ms(model)),
        }
    }

    /// Tells whether the platform's list has, or may have, an engine for a model that is not on the log yet.
    fn is_engine_coming(&self, model: &str) -> bool {
        let wanted = self.demand.decided.of(model) > 0;
        let bytes = self
            .shared
            .table
            .model(model)
            .map(|spec| spec.reserved_bytes);
        let known = &self.shared.placement.upstreams;
        let places = self.demand.decided.places_of(model);
        let may_list = self.platform.may_list(|entry| {
            !known.contains_key(&entry.name)
                && places.allow(&entry.data_centre)
                && Some(entry.memory_bytes) >= bytes
        });
        wanted && may_list
    }

    fn cold_start_ms(&self, model: &str) -> Millis {
        let Some(spec) = self.shared.table.model(model) else {
            return Millis::ZERO;
        };
        let view = self.load_view(model);
        let reports = self.shared.placement.upstreams.keys();
        let reports = reports.filter_map(|name| self.routing.get(name)?.report.as_ref());
        let nearest_ms = reports
            .map(|report| fetch_ms(&view, model, spec, Some(report)))
            .min();
        let load_ms = nearest_ms.unwrap_or_else(|| fetch_ms(&view, model, spec, None));
        let limits = &self.shared.table.store.value;
        load_ms + store_wait_ms(self.shared.placement.loading(), limits, load_ms)
    }

    /// Checks that a model can be ready before a request's deadline.
    ///
    /// # Errors
    ///
    /// Refuses with the time after which the model can be ready. It is loaded all the same.
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
            return Err(refusal.with_retry_after(LOG_RETRY_MS));
        }
        match ready {
            Ready::Never => {
                let message = format!("no engine can take model {model}");
                Err(Refusal::new(ErrorKind::NoCapacity, message)
                    .with_retry_after(NO_CAPACITY_RETRY_MS))
            }
            Ready::After(ready_ms) if ready_ms > deadline_ms => {
                self.demand
                    .want(now, model, Urgency::Normal, 0, now + WANTED_MS);
                let message = format!("model {model} can be ready in {ready_ms}");
                Err(Refusal::new(ErrorKind::ColdStartTooLong, message).with_retry_after(ready_ms))
            }
            Ready::After(_) | Ready::Soon => Ok(()),
        }
    }
}
