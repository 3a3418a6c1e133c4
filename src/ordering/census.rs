//! How many engines hold what, kept as engines change.
//!
//! Answers the pattern of thousands of engines of which a few change a second: the next order is asked for many times a
//! second, and counting anew what all engines hold takes longer than everything else that it needs.

use crate::entry::platform::ModelAsk;
use crate::ordering::copy::Copy;
use crate::ordering::engine::Engine;
use crate::prelude::*;

/// How many engines hold a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Engines that hold it, or will.
    pub copies: usize,
    /// Engines that hold it now.
    pub held: usize,
}

/// The counts of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCensus {
    engines: usize,
    unknown: usize,
    models: IndexMap<Name, Tally>,
    adapters: IndexMap<ModelAsk, usize>,
}

impl ServiceCensus {
    /// Returns how many engines there are.
    pub fn engines(&self) -> usize {
        self.engines
    }

    /// Returns how many engines' reports were not read yet.
    pub fn unknown(&self) -> usize {
        self.unknown
    }

    /// Returns how many engines hold a model.
    pub fn model(&self, model: &str) -> Tally {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Returns how many engines have an adapter, or are bringing it.
    pub fn adapter(&self, ask: &ModelAsk) -> usize {
        self.adapters.get(ask).copied().unwrap_or_default()
    }

    fn add(&mut self, engine: &Engine) {
        self.engines += 1;
        self.unknown += usize::from(!engine.is_known);
        for (model, copy) in staying(engine) {
            let tally = self.models.entry(model.clone()).or_default();
            tally.copies += 1;
            tally.held += usize::from(*copy == Copy::Held);
        }
        for ask in engine.adapters.keys() {
            *self.adapters.entry(ask.clone()).or_default() += 1;
        }
    }

    /// Takes out what [`ServiceCensus::add`] counted of the engine as it was then.
    fn remove(&mut self, engine: &Engine) {
        self.engines -= 1;
        self.unknown -= usize::from(!engine.is_known);
        for (model, copy) in staying(engine) {
            let Some(tally) = self.models.get_mut(model) else {
                continue;
            };
            tally.copies -= 1;
            tally.held -= usize::from(*copy == Copy::Held);
            if *tally == Tally::default() {
                self.models.swap_remove(model);
            }
        }
        for ask in engine.adapters.keys() {
            if let Some(count) = self.adapters.get_mut(ask) {
                *count -= 1;
                if *count == 0 {
                    self.adapters.swap_remove(ask);
                }
            }
        }
    }
}

/// The counts of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Census {
    services: IndexMap<Name, ServiceCensus>,
    store_loads: usize,
}

impl Census {
    /// Returns the counts of a service; nothing when it has no engines.
    pub fn of(&self, service: &str) -> Option<&ServiceCensus> {
        self.services.get(service)
    }

    /// Returns how many loads from the weight store are under way.
    pub fn store_loads(&self) -> usize {
        self.store_loads
    }

    /// Counts an engine.
    pub fn add(&mut self, engine: &Engine) {
        self.store_loads += store_loads(engine);
        let service = self.services.entry(engine.service.clone());
        service.or_default().add(engine);
    }

    /// Takes out an engine as it was counted.
    pub fn remove(&mut self, engine: &Engine) {
        self.store_loads -= store_loads(engine);
        let Some(service) = self.services.get_mut(&engine.service) else {
            return;
        };
        service.remove(engine);
        if service.engines == 0 {
            self.services.swap_remove(&engine.service);
        }
    }
}

/// Returns the copies on an engine that are not being dropped.
fn staying(engine: &Engine) -> impl Iterator<Item = (&Name, &Copy)> {
    let copies = engine.copies.iter();
    copies.filter(|(_, copy)| **copy != Copy::Unloading)
}

fn store_loads(engine: &Engine) -> usize {
    let copies = engine.copies.values();
    copies.filter(|copy| copy.is_from_store()).count()
}
