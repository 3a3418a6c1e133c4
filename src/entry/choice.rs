//! Choosing the upstream of a request's next try from what this host knows.

use crate::entry::ask::Ask;
use crate::entry::host::Host;
use crate::entry::platform::{ModelAsk, Platform, RequestFacts};
use crate::entry::tries::Tries;
use crate::ordering::view::View;
use crate::prelude::*;
use crate::routing::pick::{self, ModelCopies, PromptShape};
use crate::routing::prefix;
use crate::upstreams::{Registry, Upstream};
use rapidhash::v3::rapidhash_v3;
use std::net::SocketAddr;

/// Chooses the upstream of the next try.
pub fn choose<P: Platform>(host: &Host<P>, ask: &Ask, tries: &Tries) -> Option<Name> {
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let view = host.view.borrow();
    let cap = connection_cap(host, ask);
    let is_open = |upstream: &&Upstream| {
        upstream.in_flight < cap && !tries.passed_over.contains(&upstream.entry.id)
    };
    let chosen = match (&ask.facts.model, ask.at_engine) {
        (Some(model), true) => {
            let holding = holders(&upstreams, &view, now, &ask.service, model).filter(is_open);
            let with_work = holding.map(|upstream| (upstream, view.work(&upstream.entry.id)));
            let copies = model_copies(&view, model, fetch_share(host, ask));
            pick::engine(
                now,
                &copies,
                with_work,
                prompt_shape(&ask.facts),
                host.occupancy(&ask.service),
                &mut fastrand::Rng::new(),
            )
        }
        _ => {
            let data_centre = host.settings().data_centre.clone();
            let open = upstreams.usable(&ask.service).filter(is_open);
            pick::service(now, open, &data_centre, fastrand::f64())
        }
    };
    chosen.map(|upstream| upstream.entry.id.clone())
}

fn model_copies<'a>(view: &View, model: &'a ModelAsk, fetch_share: Option<f64>) -> ModelCopies<'a> {
    ModelCopies {
        name: &model.model,
        separates_prompt_lengths: view.is_separate(&model.model),
        prefix_miss_cost: fetch_share.unwrap_or(1.0),
    }
}

/// Returns how long fetching the shared beginning of a prompt takes against reading it, where engines are to fetch it.
fn fetch_share<P: Platform>(host: &Host<P>, ask: &Ask) -> Option<f64> {
    let routes = host.routes.borrow();
    let service = routes.as_ref()?.services.get(&ask.service)?;
    let shared_tokens = prompt_shape(&ask.facts).shared_tokens;
    prefix::prefix_fetch_ratio(
        service.engine.as_ref()?,
        pick::PREFILL_TOKENS_PER_MS,
        shared_tokens,
    )
}

/// Returns the engine from which an upstream is to fetch the beginning of a prompt.
pub fn prefix_source<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    upstream: &Name,
) -> Option<SocketAddr> {
    let model = ask.facts.model.as_ref()?;
    let fetch_share = fetch_share(host, ask)?;
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let view = host.view.borrow();
    let holding: Vec<&Upstream> = holders(&upstreams, &view, now, &ask.service, model)
        .filter(|other| !other.health.is_resting(now))
        .collect();
    let copies = model_copies(&view, model, Some(fetch_share));
    let shape = prompt_shape(&ask.facts);
    let source = pick::prefix_source(&copies, holding.into_iter(), shape, upstream)?;
    Some(source.address())
}

/// Returns the engines of a service that may get new work and hold a model, by the orderer's word or else by their entries.
pub fn holders<'a>(
    upstreams: &'a Registry,
    view: &'a View,
    now: Millis,
    service: &'a str,
    model: &'a ModelAsk,
) -> impl Iterator<Item = &'a Upstream> {
    let listing = upstreams.listing(&model.model);
    let told = view.holders(model);
    let told = told.filter_map(|engine| upstreams.get_lifetime(engine));
    let told_alone = told.filter(|upstream| !upstream.holds(&model.model, None));
    let serving = listing
        .chain(told_alone)
        .filter(move |upstream| &*upstream.entry.service == service && !upstream.entry.leaving);
    serving.filter(move |upstream| holds(view, now, upstream, model))
}

/// Tells whether an engine holds a model, as far as this host knows.
pub fn holds(view: &View, now: Millis, upstream: &Upstream, model: &ModelAsk) -> bool {
    let id = &upstream.entry.id;
    if view.is_lacking(now, id, model) {
        return false;
    }
    view.holds(&upstream.lifetime(), model)
        .unwrap_or_else(|| upstream.holds(&model.model, model.adapter.as_deref()))
}

/// Returns how many requests this host may have under way at one upstream, so that all hosts together stay
/// under the connections that it accepts.
fn connection_cap<P: Platform>(host: &Host<P>, ask: &Ask) -> u32 {
    let routes = host.routes.borrow();
    let service = routes
        .as_ref()
        .and_then(|table| table.services.get(&ask.service));
    let members = host.members.borrow().count() as u32;
    match service.map_or(0, |service| service.max_connections) {
        0 => u32::MAX,
        all => (all / members).max(2),
    }
}

fn prompt_shape(facts: &RequestFacts) -> PromptShape {
    let (_, shared) = facts.parts.split_last().unzip();
    let shared = shared.unwrap_or_default();
    let mut digested = Vec::new();
    if let Some(model) = &facts.model {
        digested.extend_from_slice(model.model.as_bytes());
        digested.extend_from_slice(model.adapter.as_deref().unwrap_or_default().as_bytes());
    }
    for part in shared {
        digested.extend_from_slice(&part.id.to_le_bytes());
    }
    PromptShape {
        prefix_digest: rapidhash_v3(&digested),
        shared_tokens: shared.iter().map(|part| part.tokens).sum(),
        tokens: facts.prompt_tokens,
    }
}
