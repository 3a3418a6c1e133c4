//! Indexes which engines hold which models and adapters, updated with each change of an engine.
//!
//! A site may have thousands of engines, of which a few change per second. The planner asks for the
//! next order many times per second, and counting over all engines each time would cost more than
//! everything else that it does.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::ModelCopy;
use crate::ordering::engine::Engine;
use crate::prelude::*;

/// The engines that hold a model or have its weights cached.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holders {
    /// Engines that hold the model or will hold it.
    engines: IndexSet<Name>,
    /// How many of `engines` hold it now.
    held: usize,
    /// Engines that have its weights cached.
    cached: IndexSet<Name>,
}

impl Holders {
    /// Returns how many engines hold the model or will hold it.
    pub fn copies(&self) -> usize {
        self.engines.len()
    }

    /// Returns how many engines hold the model now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the engines that hold the model or will hold it.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.engines.iter()
    }

    /// Returns the engines that have the weights cached in memory or on disk.
    pub fn cached(&self) -> impl Iterator<Item = &Name> {
        self.cached.iter()
    }

    fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.cached.is_empty()
    }
}

/// The index of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceIndex {
    engines: usize,
    unreported: usize,
    models: IndexMap<Name, Holders>,
    adapters: IndexMap<ModelRef, usize>,
}

impl ServiceIndex {
    /// Returns how many engines the service has.
    pub fn engines(&self) -> usize {
        self.engines
    }

    /// Returns how many engines have not reported yet.
    pub fn unreported(&self) -> usize {
        self.unreported
    }

    /// Returns the engines that hold a model or have its weights cached; `None` if there are none.
    pub fn model(&self, model: &str) -> Option<&Holders> {
        self.models.get(model)
    }

    /// Returns how many engines have an adapter or are loading it.
    pub fn adapter(&self, model_ref: &ModelRef) -> usize {
        self.adapters.get(model_ref).copied().unwrap_or_default()
    }

    fn add(&mut self, engine: &Engine) {
        self.engines += 1;
        self.unreported += usize::from(!engine.is_known);
        for (model, copy) in staying_copies(engine) {
            let holders = self.models.entry(model.clone()).or_default();
            holders.engines.insert(engine.id.clone());
            holders.held += usize::from(*copy == ModelCopy::Held);
        }
        for model in &engine.cached_models {
            let holders = self.models.entry(model.clone()).or_default();
            holders.cached.insert(engine.id.clone());
        }
        for model_ref in engine.adapters.keys() {
            *self.adapters.entry(model_ref.clone()).or_default() += 1;
        }
    }

    /// Removes an engine. `engine` must be in the state in which it was added by
    /// [`ServiceIndex::add`].
    fn remove(&mut self, engine: &Engine) {
        self.engines -= 1;
        self.unreported -= usize::from(!engine.is_known);
        for (model, copy) in staying_copies(engine) {
            self.update_holders(model, |holders| {
                holders.engines.swap_remove(&engine.id);
                holders.held -= usize::from(*copy == ModelCopy::Held);
            });
        }
        for model in &engine.cached_models {
            self.update_holders(model, |holders| {
                holders.cached.swap_remove(&engine.id);
            });
        }
        for model_ref in engine.adapters.keys() {
            if let Some(count) = self.adapters.get_mut(model_ref) {
                *count -= 1;
                if *count == 0 {
                    self.adapters.swap_remove(model_ref);
                }
            }
        }
    }

    fn update_holders(&mut self, model: &Name, update: impl FnOnce(&mut Holders)) {
        let Some(holders) = self.models.get_mut(model) else {
            return;
        };
        update(holders);
        if holders.is_empty() {
            self.models.swap_remove(model);
        }
    }
}

/// The index of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineIndex {
    services: IndexMap<Name, ServiceIndex>,
    store_loads: usize,
    /// The engines that are loading from the weight store.
    loading: IndexSet<Name>,
}

impl EngineIndex {
    /// Returns the index of a service; `None` if it has no engines.
    pub fn service(&self, service: &str) -> Option<&ServiceIndex> {
        self.services.get(service)
    }

    /// Returns how many loads from the weight store are running.
    pub fn store_loads(&self) -> usize {
        self.store_loads
    }

    /// Returns the engines that are loading from the weight store.
    pub fn loading(&self) -> impl Iterator<Item = &Name> {
        self.loading.iter()
    }

    /// Adds an engine.
    pub fn add(&mut self, engine: &Engine) {
        let loads = store_loads(engine);
        self.store_loads += loads;
        if loads > 0 {
            self.loading.insert(engine.id.clone());
        }
        let service = self.services.entry(engine.service.clone());
        service.or_default().add(engine);
    }

    /// Removes an engine. `engine` must be in the state in which it was added.
    pub fn remove(&mut self, engine: &Engine) {
        self.store_loads -= store_loads(engine);
        self.loading.swap_remove(&engine.id);
        let Some(service) = self.services.get_mut(&engine.service) else {
            return;
        };
        service.remove(engine);
        if service.engines == 0 {
            self.services.swap_remove(&engine.service);
        }
    }
}

/// Returns the copies on an engine that are not being unloaded.
fn staying_copies(engine: &Engine) -> impl Iterator<Item = (&Name, &ModelCopy)> {
    let copies = engine.copies.iter();
    copies.filter(|(_, copy)| **copy != ModelCopy::Unloading)
}

fn store_loads(engine: &Engine) -> usize {
    let copies = engine.copies.values();
    copies.filter(|copy| copy.is_loading_from_store()).count()
}
