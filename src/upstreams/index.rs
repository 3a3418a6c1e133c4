//! Indexes of the upstreams by service and by model.
//!
//! Of thousands of upstreams a few dozen may hold the model of a request; with the index the choice
//! of an upstream looks only at those.

use crate::prelude::*;
use crate::upstreams::UpstreamEntry;

/// The names of upstreams by the services and models in their entries.
#[derive(Clone, Debug, Default)]
pub struct ListIndex {
    /// Upstreams by service.
    services: IndexMap<Name, IndexSet<Name>>,
    /// Upstreams by model.
    models: IndexMap<Name, IndexSet<Name>>,
}

impl ListIndex {
    /// Adds an entry.
    pub fn add(&mut self, entry: &UpstreamEntry) {
        let serving = self.services.entry(entry.service.clone()).or_default();
        serving.insert(entry.id.clone());
        for held in &entry.models {
            let holding = self.models.entry(held.name.clone()).or_default();
            holding.insert(entry.id.clone());
        }
    }

    /// Removes an entry, which must be equal to the one that was added.
    pub fn remove(&mut self, entry: &UpstreamEntry) {
        remove_name(&mut self.services, &entry.service, &entry.id);
        for held in &entry.models {
            remove_name(&mut self.models, &held.name, &entry.id);
        }
    }

    /// Returns the names of the upstreams of a service, leaving ones included.
    pub fn serving(&self, service: &str) -> impl Iterator<Item = &Name> {
        self.services.get(service).into_iter().flatten()
    }

    /// Returns the names of the upstreams whose entries list a model.
    pub fn listing(&self, model: &str) -> impl Iterator<Item = &Name> {
        self.models.get(model).into_iter().flatten()
    }
}

fn remove_name(names: &mut IndexMap<Name, IndexSet<Name>>, key: &Name, id: &Name) {
    let Some(ids) = names.get_mut(key) else {
        return;
    };
    ids.swap_remove(id);
    if ids.is_empty() {
        names.swap_remove(key);
    }
}
