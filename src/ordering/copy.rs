//! A copy of a model on an engine, and its load.

use crate::prelude::*;

/// How long after the stated time a load from disk is taken for done.
const READY_MARGIN_MS: Millis = Millis(25);

/// A model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copy {
    /// It can run.
    Held,
    /// It is being loaded.
    Loading {
        /// When the order was accepted.
        since: Millis,
        /// When it should be ready.
        ready_at: Millis,
        /// Whether the weights come from the weight store.
        from_store: bool,
        /// How many loads from the weight store ran beside it at most, itself included.
        beside: usize,
    },
    /// It is being dropped.
    Unloading,
}

impl Copy {
    /// Tells whether the copy is being loaded from the weight store.
    pub fn is_from_store(&self) -> bool {
        matches!(
            self,
            Self::Loading {
                from_store: true,
                ..
            }
        )
    }

    /// Returns the load of the copy's model, as it is by now; nothing when it is not being loaded.
    pub(super) fn as_load(&self, now: Millis, model: &Name) -> Option<Loaded> {
        match *self {
            Self::Loading {
                since,
                from_store,
                beside,
                ..
            } => Some(Loaded {
                model: model.clone(),
                took_ms: (since != Millis::NEVER).then(|| now.since(since)),
                from_store,
                beside,
            }),
            Self::Held | Self::Unloading => None,
        }
    }

    /// Tells whether the copy can run, as far as that can be told. A load from the engine's own disk takes the stated
    /// time, and the report of its end lags by some hundred milliseconds; an engine that is not ready says so.
    pub fn should_run(&self, now: Millis) -> bool {
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

/// A load that was seen to be done, or to be still under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loaded {
    /// The model.
    pub model: Name,
    /// How long it took so far; nothing when it is not known when it began, because its order got no answer.
    pub took_ms: Option<Millis>,
    /// Whether the weights came from the weight store.
    pub from_store: bool,
    /// How many loads from the weight store ran beside it at most, itself included.
    pub beside: usize,
}

/// How long a load should take.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTime {
    /// The time.
    pub takes_ms: Millis,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}
