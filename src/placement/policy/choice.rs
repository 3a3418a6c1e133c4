//! Chooses the engine on which to load a model, or the one on which memory must be freed first, and
//! predicts how long the load takes.

use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::placement::configured::AllowedDataCentres;
use crate::placement::copies::{Copy, CopyState, Placement};
use crate::placement::message::{EngineReport, LoadDecision, StoreReport};
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{Model, StoreLimits};

/// The assumed rate at which an engine reads a checkpoint that is cached in main memory.
pub const MEMORY_BYTES_PER_S: u64 = 20_000_000_000;
/// The assumed rate at which an engine reads a checkpoint that is cached on disk.
pub const DISK_BYTES_PER_S: u64 = 2_000_000_000;

/// The inputs of a choice, all for one model.
pub struct LoadContext<'a> {
    /// The upstreams and copies.
    pub placement: &'a Placement,
    /// The table.
    pub table: &'a Table,
    /// The configured number of copies: the most that the model may have.
    pub configured_copies: u32,
    /// The data centres in which the model may run.
    pub data_centres: AllowedDataCentres<'a>,
    /// The weight store's last report, if there is one.
    pub store: Option<&'a StoreReport>,
    /// How long a load of this model takes, estimated from earlier loads.
    pub load_ms: Option<Millis>,
}

/// What this host knows of an upstream beyond the log.
#[derive(Clone, Copy)]
pub struct UpstreamStatus<'a> {
    /// Whether the upstream accepts new work.
    pub usable: bool,
    /// The upstream's last report, if there is one.
    pub report: Option<&'a EngineReport>,
}

/// The next step to give a model a further copy.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Load this copy, which may be one of the base model that an adapter needs.
    Load(LoadDecision),
    /// Unload idle copies on an upstream first, since no engine has enough free memory.
    FreeMemory {
        /// The upstream.
        upstream: Name,
        /// The memory that must be free on it.
        bytes: u64,
    },
    /// Wait: the base model is being loaded, copies are being unloaded, all configured copies
    /// exist, or no suitable engine is usable now.
    Wait,
    /// No engine in the allowed data centres has enough memory in all, or the table configures no
    /// copy of the model.
    Never,
}

/// Chooses what to do for the next copy of a model.
///
/// Of the engines with enough free memory, the one that can have the copy ready first is chosen,
/// and of equal ones the one with the most free memory. An adapter is loaded where its base model
/// is ready. If the base model has no copy yet, the base model is loaded first, on an engine with
/// enough free memory for both.
pub fn choose<'a>(
    context: &LoadContext<'a>,
    model: &str,
    status: impl Fn(&str) -> UpstreamStatus<'a>,
) -> Choice {
    let Some(spec) = context.table.model(model) else {
        return Choice::Never;
    };
    if context.configured_copies == 0 {
        return Choice::Never;
    }
    let Some(copy_index) = free_copy_index(context, model) else {
        return Choice::Wait;
    };
    let base = spec.base.as_deref();
    let base_copies: Vec<&Copy> = base
        .map(|base| context.placement.copies_of(base).map(|(_, copy)| copy))
        .into_iter()
        .flatten()
        .collect();
    let needs_base = base.is_some() && base_copies.is_empty();
    let base_spec = base.and_then(|base| context.table.model(base));
    let extra_bytes = match base_spec {
        Some(base_spec) if needs_base => base_spec.reserved_bytes,
        _ => 0,
    };
    let bytes = spec.reserved_bytes.saturating_add(extra_bytes);
    let is_suitable = |upstream: &&UpstreamEntry| {
        upstream.role == UpstreamRole::Engine
            && upstream.memory_bytes >= bytes
            && !upstream.leaving
            && context.data_centres.allow(&upstream.data_centre)
            && !has_copy(context.placement, model, &upstream.name)
            && status(&upstream.name).usable
    };
    let engines: Vec<&UpstreamEntry> = context
        .placement
        .upstreams
        .values()
        .filter(is_suitable)
        .filter(|upstream| needs_base || base.is_none() || has_ready(&base_copies, &upstream.name))
        .collect();
    if engines.is_empty() {
        let is_possible = context
            .placement
            .upstreams
            .values()
            .filter(|upstream| context.data_centres.allow(&upstream.data_centre))
            .any(|upstream| upstream.memory_bytes >= bytes);
        return if is_possible {
            Choice::Wait
        } else {
            Choice::Never
        };
    }
    let best = engines
        .iter()
        .filter(|upstream| free_bytes(context, upstream, status(&upstream.name).report) >= bytes)
        .min_by_key(|upstream| {
            let report = status(&upstream.name).report;
            let free_bytes = free_bytes(context, upstream, report);
            (
                fetch_ms(context, model, spec, report),
                u64::MAX - free_bytes,
            )
        });
    let (Some(upstream), true) = (best, !needs_base || base_spec.is_some()) else {
        return choose_where_to_free(context, &engines, bytes, &status);
    };
    match base.zip(base_spec) {
        Some((base, base_spec)) if needs_base => {
            Choice::Load(load_decision(base, base_spec, 0, &upstream.name))
        }
        _ => Choice::Load(load_decision(model, spec, copy_index, &upstream.name)),
    }
}

fn load_decision(model: &str, spec: &Model, copy_index: u32, upstream: &Name) -> LoadDecision {
    LoadDecision {
        model: model.into(),
        version: spec.version.clone(),
        copy_index,
        upstream: upstream.clone(),
        reserved_bytes: spec.reserved_bytes,
    }
}

/// Chooses the engine with the most free memory, where the least must be freed; waits while copies
/// are being unloaded.
fn choose_where_to_free<'a>(
    context: &LoadContext<'a>,
    engines: &[&UpstreamEntry],
    bytes: u64,
    status: &impl Fn(&str) -> UpstreamStatus<'a>,
) -> Choice {
    let is_unloading = engines.iter().any(|upstream| {
        context
            .placement
            .copies_on(&upstream.name)
            .any(|(_, copy)| copy.state == CopyState::Unloading)
    });
    if is_unloading {
        return Choice::Wait;
    }
    engines
        .iter()
        .max_by_key(|upstream| free_bytes(context, upstream, status(&upstream.name).report))
        .map_or(Choice::Wait, |upstream| Choice::FreeMemory {
            upstream: upstream.name.clone(),
            bytes,
        })
}

/// Returns the free memory of an engine. Copies that only the engine's own report lists count as
/// used memory too: the engine may hold copies that the placement state does not have.
fn free_bytes(
    context: &LoadContext<'_>,
    upstream: &UpstreamEntry,
    report: Option<&EngineReport>,
) -> u64 {
    let reserved_bytes = context.placement.reserved_bytes(&upstream.name);
    let unlisted_bytes: u64 = report.map_or(0, |report| {
        report
            .copies
            .iter()
            .filter(|copy| !context.placement.copies.contains_key(&copy.order))
            .map(|copy| copy.bytes)
            .sum()
    });
    upstream
        .memory_bytes
        .saturating_sub(reserved_bytes)
        .saturating_sub(unlisted_bytes)
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

fn free_copy_index(context: &LoadContext<'_>, model: &str) -> Option<u32> {
    let copies = context.placement.copies_of(model).count();
    if copies >= context.configured_copies as usize {
        return None;
    }
    (0..context.configured_copies).find(|index| {
        context
            .placement
            .copies_of(model)
            .all(|(_, copy)| copy.load.copy_index != *index)
    })
}

/// Predicts how long an engine takes to fetch a model's weights: from its memory cache, its disk
/// cache or the weight store, whichever is the nearest that holds the checkpoint. Without an
/// estimate for the weight store the result is zero.
pub fn fetch_ms(
    context: &LoadContext<'_>,
    model: &str,
    spec: &Model,
    report: Option<&EngineReport>,
) -> Millis {
    let name = format!("{model}@{}", spec.version);
    let bytes = spec.checkpoint_bytes;
    let holds = |names: &[Arc<str>]| names.iter().any(|held| **held == *name);
    match report {
        Some(report) if holds(&report.cache.memory) => transfer_ms(bytes, MEMORY_BYTES_PER_S),
        Some(report) if holds(&report.cache.disk) => transfer_ms(bytes, DISK_BYTES_PER_S),
        _ => store_fetch_ms(context, bytes),
    }
}

fn store_fetch_ms(context: &LoadContext<'_>, bytes: u64) -> Millis {
    let by_rate = context
        .store
        .filter(|store| store.bytes_per_s > 0)
        .map(|store| transfer_ms(bytes, store.bytes_per_s));
    context.load_ms.or(by_rate).unwrap_or(Millis::ZERO)
}

/// Predicts how long a further load waits until the weight store's limit of parallel loads admits
/// it. `loading` is the number of loads under way, `load_ms` the duration of one.
pub fn store_wait_ms(loading: usize, limits: &StoreLimits, load_ms: Millis) -> Millis {
    let parallel = limits.parallel_loads.max(1) as u64;
    let loads_ahead = (loading as u64 + 1).saturating_sub(parallel);
    Millis(load_ms.0.saturating_mul(loads_ahead) / parallel)
}

fn transfer_ms(bytes: u64, bytes_per_s: u64) -> Millis {
    let ms = u128::from(bytes) * 1_000 / u128::from(bytes_per_s.max(1));
    Millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
