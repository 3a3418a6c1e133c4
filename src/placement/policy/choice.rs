//! Where to load a model, when it can be ready, and what must go for it.

use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::placement::copies::{Copy, CopyState, Placement};
use crate::placement::decided::Places;
use crate::placement::message::{EngineReport, LoadDecision, StoreReport};
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{Model, StoreLimits};

/// The rate of a checkpoint in host memory, until measured.
pub const MEMORY_BYTES_PER_S: u64 = 20_000_000_000;
/// The rate of a checkpoint on disk, until measured.
pub const DISK_BYTES_PER_S: u64 = 2_000_000_000;

/// What a choice is made from.
pub struct LoadView<'a> {
    /// The copies and upstreams.
    pub placement: &'a Placement,
    /// The table.
    pub table: &'a Table,
    /// How many copies the model is to have at most.
    pub decided: u32,
    /// Where the model may run.
    pub places: Places<'a>,
    /// The weight store's last report.
    pub store: Option<&'a StoreReport>,
    /// How long a load of this model takes, by earlier ones.
    pub load_ms: Option<Millis>,
}

/// What is known of an upstream beside the fold.
#[derive(Clone, Copy)]
pub struct UpstreamHint<'a> {
    /// Whether it takes new work.
    pub usable: bool,
    /// Its last report.
    pub report: Option<&'a EngineReport>,
}

/// What can be done for a model.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Load this.
    Load(LoadDecision),
    /// Memory must be freed on this upstream first.
    MakeRoom {
        /// The upstream.
        upstream: Name,
        /// How much must be free.
        bytes: u64,
    },
    /// Wait: copies end or a base is on its way.
    Wait,
    /// No engine can ever take it, or the table asks for no copy.
    Never,
}

/// Chooses what to do for the next copy of a model.
///
/// Of the engines with room, the one that can have the copy ready first is taken, and of equal ones the
/// one with the most memory left. An adapter goes where its base is ready; else its base is loaded, where
/// both have room.
pub fn choose<'a>(
    view: &LoadView<'a>,
    model: &str,
    hint: impl Fn(&str) -> UpstreamHint<'a>,
) -> Choice {
    let Some(spec) = view.table.model(model) else {
        return Choice::Never;
    };
    if view.decided == 0 {
        return Choice::Never;
    }
    let Some(copy_index) = free_copy_index(view, model) else {
        return Choice::Wait;
    };
    let base = spec.base.as_deref();
    let base_copies: Vec<&Copy> = base
        .map(|base| view.placement.copies_of(base).map(|(_, copy)| copy))
        .into_iter()
        .flatten()
        .collect();
    let needs_base = base.is_some() && base_copies.is_empty();
    let base_spec = base.and_then(|base| view.table.model(base));
    let extra_bytes = match base_spec {
        Some(base_spec) if needs_base => base_spec.reserved_bytes,
        _ => 0,
    };
    let bytes = spec.reserved_bytes.saturating_add(extra_bytes);
    let fits = |upstream: &&UpstreamEntry| {
        upstream.role == UpstreamRole::Engine
            && upstream.memory_bytes >= bytes
            && !upstream.leaving
            && view.places.allow(&upstream.data_centre)
            && !has_copy(view.placement, model, &upstream.name)
            && hint(&upstream.name).usable
    };
    let engines: Vec<&UpstreamEntry> = view
        .placement
        .upstreams
        .values()
        .filter(fits)
        .filter(|upstream| needs_base || base.is_none() || has_ready(&base_copies, &upstream.name))
        .collect();
    if engines.is_empty() {
        let is_possible = view
            .placement
            .upstreams
            .values()
            .filter(|upstream| view.places.allow(&upstream.data_centre))
            .any(|upstream| upstream.memory_bytes >= bytes);
        return if is_possible {
            Choice::Wait
        } else {
            Choice::Never
        };
    }
    let best = engines
        .iter()
        .filter(|upstream| left_bytes(view, upstream, hint(&upstream.name).report) >= bytes)
        .min_by_key(|upstream| {
            let report = hint(&upstream.name).report;
            let left_bytes = left_bytes(view, upstream, report);
            (fetch_ms(view, model, spec, report), u64::MAX - left_bytes)
        });
    let (Some(upstream), true) = (best, !needs_base || base_spec.is_some()) else {
        return make_room(view, &engines, bytes, &hint);
    };
    match base.zip(base_spec) {
        Some((base, base_spec)) if needs_base => {
            Choice::Load(decision(base, base_spec, 0, &upstream.name))
        }
        _ => Choice::Load(decision(model, spec, copy_index, &upstream.name)),
    }
}

fn decision(model: &str, spec: &Model, copy_index: u32, upstream: &Name) -> LoadDecision {
    LoadDecision {
        model: model.into(),
        version: spec.version.clone(),
        copy_index,
        upstream: upstream.clone(),
        reserved_bytes: spec.reserved_bytes,
    }
}

/// Memory is freed where the least is missing.
fn make_room<'a>(
    view: &LoadView<'a>,
    engines: &[&UpstreamEntry],
    bytes: u64,
    hint: &impl Fn(&str) -> UpstreamHint<'a>,
) -> Choice {
    let is_freeing = engines.iter().any(|upstream| {
        view.placement
            .copies_on(&upstream.name)
            .any(|(_, copy)| copy.state == CopyState::Unloading)
    });
    if is_freeing {
        return Choice::Wait;
    }
    engines
        .iter()
        .max_by_key(|upstream| left_bytes(view, upstream, hint(&upstream.name).report))
        .map_or(Choice::Wait, |upstream| Choice::MakeRoom {
            upstream: upstream.name.clone(),
            bytes,
        })
}

/// The engine's own figure counts too: it may hold copies that the fold does not know.
fn left_bytes(view: &LoadView<'_>, upstream: &UpstreamEntry, report: Option<&EngineReport>) -> u64 {
    let reserved_bytes = view.placement.reserved_bytes(&upstream.name);
    let unknown_bytes: u64 = report.map_or(0, |report| {
        report
            .copies
            .iter()
            .filter(|copy| !view.placement.copies.contains_key(&copy.order))
            .map(|copy| copy.bytes)
            .sum()
    });
    upstream
        .memory_bytes
        .saturating_sub(reserved_bytes)
        .saturating_sub(unknown_bytes)
}

fn has_copy(placement: &Placement, model: &str, upstream: &str) -> bool {
    placement
        .copies_of(model)
        .any(|(_, copy)| &*copy.load.upstream == upstream)
}

fn has_ready(copies: &[&Copy], upstream: &str) -> bool {
    copies
        .iter()
        .any(|copy| &*copy.load.upstream == upstream && copy.state == CopyState::Ready)
}

fn free_copy_index(view: &LoadView<'_>, model: &str) -> Option<u32> {
    let copies = view.placement.copies_of(model).count();
    if copies >= view.decided as usize {
        return None;
    }
    (0..view.decided).find(|index| {
        view.placement
            .copies_of(model)
            .all(|(_, copy)| copy.load.copy_index != *index)
    })
}

/// Predicts how long the weights take to an engine, by where its nearest checkpoint is.
pub fn fetch_ms(
    view: &LoadView<'_>,
    model: &str,
    spec: &Model,
    report: Option<&EngineReport>,
) -> Millis {
    let name = format!("{model}@{}", spec.version);
    let bytes = spec.checkpoint_bytes;
    let holds = |names: &[Arc<str>]| names.iter().any(|held| **held == *name);
    match report {
        Some(report) if holds(&report.cache.memory) => at_rate(bytes, MEMORY_BYTES_PER_S),
        Some(report) if holds(&report.cache.disk) => at_rate(bytes, DISK_BYTES_PER_S),
        _ => remote_ms(view, bytes),
    }
}

fn remote_ms(view: &LoadView<'_>, bytes: u64) -> Millis {
    let by_rate = view
        .store
        .filter(|store| store.bytes_per_s > 0)
        .map(|store| at_rate(bytes, store.bytes_per_s));
    view.load_ms.or(by_rate).unwrap_or(Millis::ZERO)
}

/// Predicts how long a load waits for the weight store's slots.
pub fn store_wait_ms(loading: usize, limits: &StoreLimits, load_ms: Millis) -> Millis {
    let parallel = limits.parallel_loads.max(1) as u64;
    let ahead = (loading as u64 + 1).saturating_sub(parallel);
    Millis(load_ms.0.saturating_mul(ahead) / parallel)
}

fn at_rate(bytes: u64, bytes_per_s: u64) -> Millis {
    let ms = u128::from(bytes) * 1_000 / u128::from(bytes_per_s.max(1));
    Millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
