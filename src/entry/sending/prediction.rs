//! Predicts the first event of a request at an engine, from what this host knows of it.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::choice::unread_tokens;
use crate::entry::sending::engine_wait::KvNeed;
use crate::prelude::*;
use crate::routing::first_event::EngineBacklog;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::Lifetime;

/// The prediction for a request that is sent to an engine now.
#[derive(Clone, Copy, Debug)]
pub struct Prediction {
    /// The time until the first event.
    pub first_event_ms: Millis,
    /// The same without what this host has learned from its answers.
    pub unlearned_ms: Millis,
}

/// Predicts the first event of a request at an engine; none for upstreams that are no engines or
/// not known.
pub fn predict<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    engine: &Name,
) -> Option<Prediction> {
    if !request.at_engine {
        return None;
    }
    let backlog = backlog(host, request, engine)?;
    let unread_tokens = unread_tokens(host, request, engine);
    let factor = learned_factor(host, request);
    Some(Prediction {
        first_event_ms: backlog.first_event_ms(unread_tokens, factor),
        unlearned_ms: backlog.first_event_ms(unread_tokens, 1.0),
    })
}

/// Returns how long a request waits for a slot and for space in the KV cache of an engine; none for
/// upstreams that are no engines or not known.
pub fn start_wait_ms<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    engine: &Name,
) -> Option<Millis> {
    let backlog = request
        .at_engine
        .then(|| backlog(host, request, engine))??;
    Some(backlog.start_wait_ms())
}

/// Returns what is ahead of a request at an engine: the requests of all hosts, or those of this
/// host alone while it does not know of the others.
fn backlog<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    engine: &Name,
) -> Option<EngineBacklog> {
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    let known = upstreams.get(engine)?;
    let mut candidate = KvNeed::new(host, request).candidate(&orderer_state, known);
    if !host.knows_load_of_others(host.now()) {
        candidate.load = UpstreamLoad::default();
        candidate.kv_wait_ms = 0.0;
    }
    let of_others = candidate.load;
    let occupancy = host.occupancy(&request.service);
    Some(EngineBacklog {
        slot_wait_ms: occupancy.wait_ms(known.entry.slots, of_others.under_way(known)),
        memory_wait_ms: candidate.kv_wait_ms,
        waiting_tokens: known.prompt_tokens.saturating_add(of_others.prompt_tokens),
        slowness: candidate.slowness,
    })
}

fn learned_factor<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> f64 {
    let ratios = host.reading_ratios.borrow();
    let ratio = ratios.get(&request.service).copied().unwrap_or_default();
    ratio.factor(host.now())
}

/// Learns from a send how long the first event takes. A send that ends without an answer counts
/// with the time until then, if that is longer than was predicted and the engine is alive.
pub struct Observation<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
    engine: &'a Lifetime,
    prediction: Option<Prediction>,
    sent_at: Millis,
}

impl<'a, P: Platform> Observation<'a, P> {
    /// Begins when the request is sent.
    pub fn new(
        host: &'a Host<P>,
        request: &'a ActiveRequest,
        engine: &'a Lifetime,
        prediction: Option<Prediction>,
    ) -> Self {
        Self {
            host,
            request,
            engine,
            prediction,
            sent_at: host.now(),
        }
    }

    /// Records that the exchange ended, with this status if it gave an answer.
    pub fn end(&mut self, status: Option<u16>) {
        let prediction = self.prediction.take();
        if status == Some(200)
            && self.request.route.streams
            && let Some(prediction) = prediction
        {
            self.note(prediction);
        }
    }

    fn note(&self, prediction: Prediction) {
        let now = self.host.now();
        let mut ratios = self.host.reading_ratios.borrow_mut();
        let ratio = ratios.entry(self.request.service.clone()).or_default();
        ratio.note(now, prediction.unlearned_ms, now.since(self.sent_at));
    }
}

impl<P: Platform> Drop for Observation<'_, P> {
    fn drop(&mut self) {
        let Some(prediction) = self.prediction.take() else {
            return;
        };
        let heard_at = heard_at(self.host, self.engine);
        let is_alive = heard_at.is_some_and(|at| at >= self.sent_at);
        let took_ms = self.host.now().since(self.sent_at);
        if is_alive && took_ms > prediction.first_event_ms {
            self.note(prediction);
        }
    }
}

/// Returns when this host last got anything from an engine.
pub fn heard_at<P: Platform>(host: &Host<P>, engine: &Lifetime) -> Option<Millis> {
    let upstreams = host.upstreams.borrow();
    upstreams.get_lifetime(engine)?.heard_at
}
