//! Which upstreams serve a service, and which list a model.
//!
//! Answers the pattern of thousands of upstreams of which a few dozen hold the model of a request: a choice looks at
//! those, not at the list.

use crate::prelude::*;
use crate::upstreams::UpstreamEntry;

/// The names of upstreams by what their entries say.
#[derive(Clone, Debug, Default)]
pub struct ListIndex {
    services: IndexMap<Name, IndexSet<Name>>,
    models: IndexMap<Name, IndexSet<Name>>,
}

impl ListIndex {
    /// Takes what an entry says.
    pub fn add(&mut self, entry: &UpstreamEntry) {
        let serving = self.services.entry(entry.service.clone()).or_default();
        serving.insert(entry.id.clone());
        for held in &entry.models {
            let holding = self.models.entry(held.name.clone()).or_default();
            holding.insert(entry.id.clone());
        }
    }

    /// Takes out what an entry said.
    pub fn remove(&mut self, entry: &UpstreamEntry) {
        take_out(&mut self.services, &entry.service, &entry.id);
        for held in &entry.models {
            take_out(&mut self.models, &held.name, &entry.id);
        }
    }

    /// Returns the upstreams of a service.
    pub fn serving(&self, service: &str) -> impl Iterator<Item = &Name> {
        self.services.get(service).into_iter().flatten()
    }

    /// Returns the upstreams that list a model.
    pub fn listing(&self, model: &str) -> impl Iterator<Item = &Name> {
        self.models.get(model).into_iter().flatten()
    }
}

fn take_out(names: &mut IndexMap<Name, IndexSet<Name>>, key: &Name, id: &Name) {
    let Some(ids) = names.get_mut(key) else {
        return;
    };
    ids.swap_remove(id);
    if ids.is_empty() {
        names.swap_remove(key);
    }
}
