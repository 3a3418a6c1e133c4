//! Chooses the upstream for a request's next attempt, from this host's view of the upstreams.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::{ModelRef, Platform, RequestFacts};
use crate::entry::rejections::{Room, rejection_room};
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::engine_wait::KvNeed;
use crate::handoff::Offer;
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::prelude::*;
use crate::routing::pick::{self, ModelCopies, PromptShape};
use crate::routing::prefix;
use crate::upstreams::{Registry, Upstream};
use rapidhash::v3::rapidhash_v3;
use std::net::SocketAddr;

/// Chooses the upstream for the next attempt: an engine that holds the request's model, or any
/// usable upstream of a plain service. Returns none when no upstream may get the request now.
pub fn choose<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
) -> Option<Name> {
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    let cap = connection_cap(host, request);
    let leaves_lost_paths = request.leaves_lost_paths(host);
    if leaves_lost_paths && !attempts.may_reach_more(&upstreams) {
        return None;
    }
    let is_candidate = |upstream: &&Upstream| {
        upstream.in_flight < cap
            && !attempts.excluded.contains(&upstream.entry.id)
            && upstream.has_software_version(attempts.software_version.as_ref())
            && !(leaves_lost_paths && upstreams.is_out_of_reach(now, upstream))
            && rejection_room(host, &upstreams, now, upstream) == Room::Free
    };
    let chosen = match (&request.facts.model, request.at_engine) {
        (Some(model), true) => {
            let holding = holders(&upstreams, &orderer_state, now, &request.service, model)
                .filter(is_candidate);
            let kv_need = KvNeed::new(host, request);
            let with_work = holding.map(|upstream| kv_need.candidate(&orderer_state, upstream));
            let copies = model_copies(&orderer_state, model, fetch_share(host, request));
            pick::engine(
                now,
                &copies,
                with_work,
                prompt_shape(&request.facts),
                host.occupancy(&request.service),
                &mut fastrand::Rng::new(),
            )
        }
        _ => {
            let data_centre = host.settings().data_centre.clone();
            let candidates = upstreams.usable(&request.service).filter(is_candidate);
            let mut random = fastrand::Rng::new();
            pick::service(now, candidates, &data_centre, &mut random)
        }
    };
    chosen.map(|upstream| upstream.entry.id.clone())
}

/// Returns an upstream that could serve a request and that this host does not seem to reach, so
/// that another host may be asked. None if there is none, or if no other host took the request just
/// now.
pub fn out_of_reach<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
) -> Option<Name> {
    let now = host.now();
    if !attempts.may_offer(now) || !request.leaves_lost_paths(host) {
        return None;
    }
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    let model = request.facts.model.as_ref().filter(|_| request.at_engine);
    let may_be_cut_off = !attempts.may_reach_more(&upstreams);
    let is_lost = |upstream: &&Upstream| {
        let id = &upstream.entry.id;
        let is_unreached = attempts.unreached.contains(id);
        upstream.accepts_requests(now)
            && upstream.has_software_version(attempts.software_version.as_ref())
            && (is_unreached || !attempts.excluded.contains(id))
            && (is_unreached
                || may_be_cut_off
                || !is_in_reach(&upstreams, now, upstream)
                || rejection_room(host, &upstreams, now, upstream) == Room::NotAssigned)
    };
    let serving = could_serve(&upstreams, &orderer_state, now, &request.service, model);
    let lost: Vec<&Upstream> = serving.into_iter().filter(is_lost).collect();
    fastrand::choice(lost).map(|upstream| upstream.entry.id.clone())
}

/// Tells whether this host reaches an upstream that could serve an offered request.
pub fn reaches<P: Platform>(host: &Host<P>, offer: &Offer) -> bool {
    let Offer {
        service,
        model,
        software_version,
        ..
    } = offer;
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    could_serve(&upstreams, &orderer_state, now, service, model.as_ref())
        .into_iter()
        .any(|upstream| {
            upstream.accepts_requests(now)
                && upstream.has_software_version(software_version.as_ref())
                && is_in_reach(&upstreams, now, upstream)
                && rejection_room(host, &upstreams, now, upstream) != Room::NotAssigned
        })
}

fn is_in_reach(upstreams: &Registry, now: Millis, upstream: &Upstream) -> bool {
    !upstreams.is_out_of_reach(now, upstream) && !upstream.health.is_backing_off(now)
}

/// Returns the upstreams that could serve a request if they are reached: the engines that hold its
/// model, or all of a plain service.
fn could_serve<'a>(
    upstreams: &'a Registry,
    orderer_state: &'a CachedOrdererState,
    now: Millis,
    service: &'a str,
    model: Option<&'a ModelRef>,
) -> Vec<&'a Upstream> {
    match model {
        Some(model) => holders(upstreams, orderer_state, now, service, model).collect(),
        None => upstreams.usable(service).collect(),
    }
}

fn model_copies<'a>(
    orderer_state: &CachedOrdererState,
    model: &'a ModelRef,
    fetch_share: Option<f64>,
) -> ModelCopies<'a> {
    ModelCopies {
        name: &model.model,
        separates_prompt_lengths: orderer_state.is_separate(&model.model),
        prefix_miss_cost: fetch_share.unwrap_or(1.0),
    }
}

/// Returns the time that an engine takes to fetch the shared prefix of a prompt from another
/// engine, as a fraction of the time to compute it. None where engines must not fetch it.
fn fetch_share<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<f64> {
    let routes = host.routes.borrow();
    let service = routes.as_ref()?.services.get(&request.service)?;
    let shared_tokens = prompt_shape(&request.facts).shared_tokens;
    prefix::prefix_fetch_ratio(
        service.engine.as_ref()?,
        pick::PREFILL_TOKENS_PER_MS,
        shared_tokens,
    )
}

/// Returns the address of the engine from which an upstream should fetch the computed prefix of a
/// prompt; none when it should compute the prefix itself.
pub fn prefix_source<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Name,
) -> Option<SocketAddr> {
    let model = request.facts.model.as_ref()?;
    let fetch_share = fetch_share(host, request)?;
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    // What two software versions keep of a prompt does not fit together.
    let version = upstreams.get(upstream)?.software_version();
    let holding: Vec<&Upstream> = holders(&upstreams, &orderer_state, now, &request.service, model)
        .filter(|other| pick::is_available(now, other) && other.software_version() == version)
        .collect();
    let copies = model_copies(&orderer_state, model, Some(fetch_share));
    let shape = prompt_shape(&request.facts);
    let source = pick::prefix_source(&copies, holding.into_iter(), shape, upstream)?;
    Some(source.address())
}

/// Returns how many tokens of a request's prompt an engine would read.
pub fn unread_tokens<P: Platform>(host: &Host<P>, request: &ActiveRequest, engine: &Name) -> f64 {
    let shape = prompt_shape(&request.facts);
    let Some(model) = &request.facts.model else {
        return shape.tokens as f64;
    };
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    let copies = model_copies(&orderer_state, model, fetch_share(host, request));
    let holding: Vec<&Upstream> = holders(&upstreams, &orderer_state, now, &request.service, model)
        .filter(|other| pick::is_available(now, other))
        .collect();
    pick::unread_tokens(&copies, holding.into_iter(), shape, engine)
}

/// Returns the engines of a service that hold a model and are not leaving. What the orderer
/// published about an engine takes precedence over the engine's own entry in the list of upstreams.
pub fn holders<'a>(
    upstreams: &'a Registry,
    orderer_state: &'a CachedOrdererState,
    now: Millis,
    service: &'a str,
    model: &'a ModelRef,
) -> impl Iterator<Item = &'a Upstream> {
    let listing = upstreams.listing_model(&model.model);
    let published = orderer_state.holders(model);
    let published = published.filter_map(|engine| upstreams.get_lifetime(engine));
    let published_only = published.filter(|upstream| !upstream.holds(&model.model, None));
    let serving = listing
        .chain(published_only)
        .filter(move |upstream| &*upstream.entry.service == service && !upstream.is_leaving());
    serving.filter(move |upstream| holds(orderer_state, now, upstream, model))
}

/// Tells whether an engine holds a model, as far as this host knows. An engine that recently
/// refused a request because it lacks the model does not hold it.
pub fn holds(
    orderer_state: &CachedOrdererState,
    now: Millis,
    upstream: &Upstream,
    model: &ModelRef,
) -> bool {
    let id = &upstream.entry.id;
    if orderer_state.is_lacking(now, id, model) {
        return false;
    }
    orderer_state
        .holds(&upstream.lifetime(), model)
        .unwrap_or_else(|| upstream.holds(&model.model, model.adapter.as_deref()))
}

/// Returns how many requests this host may have in flight at one upstream, so that all hosts
/// together do not exceed the connections that the upstream accepts.
fn connection_cap<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> u32 {
    let routes = host.routes.borrow();
    let service = routes
        .as_ref()
        .and_then(|table| table.services.get(&request.service));
    let members = host.members.borrow().count() as u32;
    match service.map_or(0, |service| service.max_connections) {
        0 => u32::MAX,
        max_connections => (max_connections / members).max(2),
    }
}

/// Returns the lengths of a prompt and of its shared prefix, and a hash that identifies the prefix
/// of that model and adapter. The last part of a prompt is not shared.
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
