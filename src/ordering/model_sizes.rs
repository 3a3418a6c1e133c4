//! The sizes of models, in use and stated.
//!
//! The operator may take a model out of the desired state, or state another size, while engines hold
//! it. What an engine holds is what its report says, so its copies keep the size that was stated when
//! they were loaded. A size that this host was never told is unknown, which is not zero: an engine with
//! such a copy has no known free memory.

use crate::desired::{EngineSpec, ModelSpec};
use crate::prelude::*;

/// The most models that are remembered beside those of the desired state, for each service.
const MAX_FORMER_MODELS: usize = 4_096;

/// The memory that a copy of a model takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelSize {
    /// The size of its weights in megabytes.
    pub weights_mb: f64,
    /// The size of one of its adapters in megabytes.
    pub adapter_mb: f64,
}

impl ModelSize {
    /// Returns the sizes of which each is the larger one of the two.
    pub fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapter_mb: self.adapter_mb.max(other.adapter_mb),
        }
    }
}

impl From<&ModelSpec> for ModelSize {
    fn from(spec: &ModelSpec) -> Self {
        Self {
            weights_mb: spec.weights_mb,
            adapter_mb: spec.adapter_mb,
        }
    }
}

/// The sizes of one model that the desired states of this process's life have stated.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StatedSizes {
    /// In the present desired state; none if it does not have the model.
    present: Option<ModelSize>,
    /// The largest ones.
    largest: ModelSize,
}

/// The sizes of the models of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSizes {
    models: IndexMap<Name, StatedSizes>,
    /// The size of the largest model's weights in megabytes, those of models that are not in the desired
    /// state any more included.
    pub largest_mb: f64,
}

impl ModelSizes {
    /// Records the sizes in a new desired state. Of the models that it lacks, those that were stated
    /// first are forgotten beyond a bound.
    pub fn note_spec(&mut self, spec: &EngineSpec) {
        for stated in self.models.values_mut() {
            stated.present = None;
        }
        for (model, model_spec) in &spec.models {
            let size = ModelSize::from(model_spec);
            let stated = self.models.entry(model.clone()).or_insert(StatedSizes {
                present: None,
                largest: size,
            });
            stated.present = Some(size);
            stated.largest = stated.largest.max(size);
        }
        let most = spec.models.len() + MAX_FORMER_MODELS;
        let mut excess = self.models.len().saturating_sub(most);
        self.models.retain(|_, stated| {
            let is_forgotten = excess > 0 && stated.present.is_none();
            excess -= usize::from(is_forgotten);
            !is_forgotten
        });
        let sizes = self.models.values();
        let sizes = sizes.map(|stated| stated.largest.weights_mb);
        self.largest_mb = sizes.fold(0.0, f64::max);
    }

    /// Returns the size of a copy that is loaded now; none if it was never stated.
    pub fn of_new_copy(&self, model: &str) -> Option<ModelSize> {
        let stated = self.models.get(model)?;
        Some(stated.present.unwrap_or(stated.largest))
    }

    /// Returns the largest size of a copy of which it is unknown when it was loaded; none if no size of
    /// the model was ever stated.
    pub fn of_found_copy(&self, model: &str) -> Option<ModelSize> {
        Some(self.models.get(model)?.largest)
    }
}
