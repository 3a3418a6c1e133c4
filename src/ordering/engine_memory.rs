//! The memory and the adapter slots of one engine that are in use.

use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::ordering::copy::ModelCopy;
use crate::ordering::engine::Engine;
use crate::ordering::late_orders::FormerStartOrders;
use crate::ordering::model_sizes::{ModelSize, ModelSizes};
use crate::prelude::*;

impl Engine {
    /// Returns the memory in use, including models and adapters that are being loaded, those that an
    /// unanswered order may load, and room for what a former holder's order to an earlier start may
    /// load. It is infinite if the size of a copy is unknown.
    pub fn used_mb(&self, now: Millis, spec: &EngineSpec) -> f64 {
        let mb = |ask: &ModelRef| {
            let size = self.size_of(&ask.model, spec);
            size.map_or(f64::INFINITY, |size| match ask.adapter {
                Some(_) => size.adapter_mb,
                None => size.weights_mb,
            })
        };
        let models: f64 = self
            .copies
            .keys()
            .map(|model| {
                let size = self.size_of(model, spec);
                size.map_or(f64::INFINITY, |size| size.weights_mb)
            })
            .sum();
        let adapters: f64 = self.adapters.keys().map(mb).sum();
        let late_loads: f64 = self.late_loads(now).map(mb).sum();
        let reserved = match self.former_start_orders(now) {
            FormerStartOrders::Possible => self.largest_mb.max(spec.largest_model_mb()),
            FormerStartOrders::None | FormerStartOrders::Expected => 0.0,
        };
        models + adapters + late_loads + reserved
    }

    /// Returns the adapter slots in use, including adapters that are being loaded and those that an
    /// order to an earlier start may still load.
    pub fn used_adapter_slots(&self, now: Millis) -> usize {
        let late_loads = self.late_loads(now);
        let late_slots = late_loads.filter(|ask| ask.adapter.is_some()).count();
        let is_reserved = self.former_start_orders(now) == FormerStartOrders::Possible;
        self.adapters.len() + late_slots + usize::from(is_reserved)
    }

    /// Returns the size of a model's copy on this engine: the larger one of what was stated when it was
    /// loaded and what is stated now. None if neither is known.
    pub(super) fn size_of(&self, model: &str, spec: &EngineSpec) -> Option<ModelSize> {
        let stated = spec.models.get(model).map(ModelSize::from);
        match (self.sizes.get(model).copied(), stated) {
            (Some(known), Some(stated)) => Some(known.max(stated)),
            (known, stated) => known.or(stated),
        }
    }

    /// Records the sizes of copies, and of models that unanswered orders may load, that are new here.
    /// Forgets those of copies that are gone.
    pub(super) fn note_sizes(&mut self, stated: &ModelSizes) {
        let Self {
            sizes,
            copies,
            late_orders,
            ..
        } = self;
        sizes.retain(|model, _| copies.contains_key(model) || late_orders.concern(model));
        for (model, copy) in copies.iter() {
            if sizes.contains_key(model) {
                continue;
            }
            let size = match copy {
                ModelCopy::Loading { .. } => stated.of_new_copy(model),
                ModelCopy::Held | ModelCopy::Unloading => stated.of_found_copy(model),
            };
            if let Some(size) = size {
                sizes.insert(model.clone(), size);
            }
        }
        self.largest_mb = stated.largest_mb;
    }

    /// Returns the copies whose size is unknown.
    pub(super) fn copies_of_unknown_size<'a>(
        &'a self,
        spec: &'a EngineSpec,
    ) -> impl Iterator<Item = (&'a Name, &'a ModelCopy)> {
        let copies = self.copies.iter();
        copies.filter(|(model, _)| self.size_of(model, spec).is_none())
    }

    /// Returns whether the engine has refused to unload a model, so that it is not ordered again.
    pub(super) fn refuses_to_unload(&self, model: &str) -> bool {
        let mut refused = self.refused_unloads.iter();
        refused.any(|ask| ask.adapter.is_none() && &*ask.model == model)
    }
}
