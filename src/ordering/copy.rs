//! A copy of a model on an engine, and its load.

use crate::prelude::*;

/// How long after its stated time a load from the engine's own disk is assumed to be done.
const READY_MARGIN_MS: Millis = Millis(25);

/// The state of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelCopy {
    /// The copy can run requests.
    Held,
    /// The copy is being loaded.
    Loading {
        /// When the engine accepted the order; [`Millis::NEVER`] if the order got no answer.
        since: Millis,
        /// When the load should be done; [`Millis::NEVER`] if the order got no answer.
        ready_at: Millis,
        /// Whether the weights come from the weight store rather than from the engine's cache.
        from_store: bool,
        /// The largest number of loads from the weight store that ran at the same time as this one,
        /// itself included.
        concurrent_loads: usize,
    },
    /// The copy is being unloaded.
    Unloading,
}

impl ModelCopy {
    /// Returns whether the copy is being loaded from the weight store.
    pub fn is_loading_from_store(&self) -> bool {
        matches!(
            self,
            Self::Loading {
                from_store: true,
                ..
            }
        )
    }

    /// Returns the progress of the load of `model`; `None` if the copy is not being loaded.
    pub(super) fn progress(&self, now: Millis, model: &Name) -> Option<LoadProgress> {
        match *self {
            Self::Loading {
                since,
                from_store,
                concurrent_loads,
                ..
            } => Some(LoadProgress {
                model: model.clone(),
                took_ms: (since != Millis::NEVER).then(|| now.since(since)),
                from_store,
                concurrent_loads,
            }),
            Self::Held | Self::Unloading => None,
        }
    }

    /// Returns whether the copy can presumably run requests. A load from the engine's own disk
    /// takes the stated time, and the report of its end lags by some hundred milliseconds. An
    /// engine that is not ready yet refuses the request.
    pub fn should_be_ready(&self, now: Millis) -> bool {
        match self {
            Self::Held => true,
            Self::Loading {
                ready_at,
                from_store: false,
                ..
            } => *ready_at != Millis::NEVER && now >= *ready_at + READY_MARGIN_MS,
            Self::Loading { .. } | Self::Unloading => false,
        }
    }
}

/// The progress of a load that finished or is still running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadProgress {
    /// The model that is loaded.
    pub model: Name,
    /// The time since the order was accepted; `None` if that is unknown because the order got no
    /// answer.
    pub took_ms: Option<Millis>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// The largest number of loads from the weight store that ran at the same time, itself
    /// included.
    pub concurrent_loads: usize,
}

/// How long a load should take, and where the weights come from.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTime {
    /// The stated time of the load.
    pub takes_ms: Millis,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}
