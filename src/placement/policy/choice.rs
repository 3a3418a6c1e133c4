//! Where to load a model.

use crate::placement::copies::Placement;
use crate::placement::message::LoadDecision;
use crate::table::Table;

/// Chooses the engine for the next copy of a model: the one with the most memory left.
///
/// Returns nothing when the model has all of its copies, or no engine has room.
pub fn choose_load(placement: &Placement, table: &Table, model: &str) -> Option<LoadDecision> {
    let spec = table.model(model)?;
    let copy_index = free_copy_index(placement, table, model)?;
    let (upstream, _) = placement
        .upstreams
        .values()
        .filter(|upstream| !upstream.leaving)
        .filter_map(|upstream| {
            let reserved_bytes = placement.reserved_bytes(&upstream.name);
            let left_bytes = upstream.memory_bytes.checked_sub(reserved_bytes)?;
            (left_bytes >= spec.reserved_bytes).then_some((upstream, left_bytes))
        })
        .max_by_key(|(_, left_bytes)| *left_bytes)?;
    Some(LoadDecision {
        model: model.into(),
        version: spec.version.clone(),
        copy_index,
        upstream: upstream.name.clone(),
        reserved_bytes: spec.reserved_bytes,
    })
}

fn free_copy_index(placement: &Placement, table: &Table, model: &str) -> Option<u32> {
    (0..table.copies_allowed(model)).find(|index| {
        placement
            .copies_of(model)
            .all(|(_, copy)| copy.load.copy_index != *index)
    })
}
