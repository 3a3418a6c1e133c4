//! What an engine's slowness and KV cache mean for a request, as far as this host knows.
//!
//! Handles engines whose KV cache is full before their slots are, and engines of unequal speed.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::routing::occupancy::Occupancy;
use crate::routing::pick::Candidate;
use crate::upstreams::Upstream;

/// What a request needs of an engine's KV cache, and how long others take to release it.
#[derive(Clone, Copy, Debug)]
pub struct KvNeed {
    /// The size of an engine's KV cache in tokens; zero if it is not known.
    kv_tokens: u64,
    /// The tokens that the request may take of it.
    needed_tokens: u64,
    occupancy: Occupancy,
}

impl KvNeed {
    /// Returns what a request needs of the engines of its service.
    pub fn new<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Self {
        Self {
            kv_tokens: kv_tokens(host, request),
            needed_tokens: kv_tokens_of(host, request),
            occupancy: host.occupancy(&request.service),
        }
    }

    /// Returns an engine with its slowness and with the wait for its KV cache at mean speed.
    pub fn candidate<'a>(
        &self,
        orderer_state: &CachedOrdererState,
        upstream: &'a Upstream,
    ) -> Candidate<'a> {
        let load = orderer_state.work(&upstream.entry.id);
        let held_tokens = upstream.held_tokens.saturating_add(load.held_tokens);
        Candidate {
            upstream,
            load,
            slowness: orderer_state.slowness(upstream.lifetime_key()),
            kv_wait_ms: self
                .occupancy
                .kv_wait_ms(self.kv_tokens, held_tokens, self.needed_tokens),
        }
    }
}

/// Returns the size of the KV cache of the engines that serve a request, in tokens; zero if it is not
/// known.
fn kv_tokens<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> u64 {
    let routes = host.routes.borrow();
    let service = routes
        .as_ref()
        .and_then(|table| table.services.get(&request.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(0, |engine| engine.kv_tokens)
}

/// Returns the tokens that a request may take of an engine's KV cache. What it states beyond the
/// size of the cache cannot be taken; zero if that size is not known.
pub fn kv_tokens_of<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> u64 {
    request.facts.held_tokens().min(kv_tokens(host, request))
}
