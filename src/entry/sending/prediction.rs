//! Predicts the first event of a request at an engine, from what this host knows of it.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::choice::unread_tokens;
use crate::prelude::*;
use crate::routing::first_event::EngineBacklog;

/// The prediction for a request that is sent to an engine now.
#[derive(Clone, Copy, Debug)]
pub struct Prediction {
    /// The time until the engine begins to read the prompt.
    pub wait_ms: Millis,
    /// The time until the first event.
    pub first_event_ms: Millis,
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
    Some(Prediction {
        wait_ms: backlog.wait_ms(),
        first_event_ms: backlog.first_event_ms(unread_tokens),
    })
}

fn backlog<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    engine: &Name,
) -> Option<EngineBacklog> {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get(engine)?;
    let of_others = host.orderer_state.borrow().work(engine);
    let occupancy = host.occupancy(&request.service);
    Some(EngineBacklog {
        slot_wait_ms: occupancy.wait_ms(known.entry.slots, of_others.under_way(known)),
        waiting_tokens: known.prompt_tokens.saturating_add(of_others.prompt_tokens),
        ..EngineBacklog::default()
    })
}
