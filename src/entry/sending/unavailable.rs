//! Requests that no upstream can take, and for which waiting is in vain: every upstream that could
//! serve them is leaving or has asked this host for rest.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::attempts::RETRY_AFTER_MS;
use crate::entry::sending::choice::holders;
use crate::prelude::*;
use crate::upstreams::Upstream;

/// Why no upstream takes a request now, although some could serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// All of them are leaving.
    Leaving,
    /// All that stay have asked this host for rest.
    Resting {
        /// The time until the first rest ends.
        for_ms: Millis,
    },
}

impl Unavailable {
    /// Returns the refusal for the request.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Leaving => {
                let why = "every upstream of the service is leaving";
                Refusal::new(ErrorKind::NoCapacity, why).with_retry_after(RETRY_AFTER_MS)
            }
            Self::Resting { for_ms } => {
                let why = "every upstream that could serve the request has asked for rest";
                Refusal::new(ErrorKind::Overloaded, why).with_retry_after(for_ms)
            }
        }
    }
}

/// Tells whether every upstream that could serve a request is leaving or rests, and no load of its
/// model is announced, so that waiting is in vain.
pub fn unavailable<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Unavailable> {
    let now = host.now();
    let upstreams = host.upstreams.borrow();
    let orderer_state = host.orderer_state.borrow();
    let mut serving = upstreams.serving(&request.service).peekable();
    serving.peek()?;
    let mut staying = serving.filter(|upstream| !upstream.is_leaving()).peekable();
    if staying.peek().is_none() {
        return Some(Unavailable::Leaving);
    }
    let for_ms = match (&request.facts.model, request.at_engine) {
        (Some(model), true) => {
            if orderer_state.ready_at(model).is_some() {
                return None;
            }
            let service = &request.service;
            let mut holding = holders(&upstreams, &orderer_state, now, service, model).peekable();
            match holding.peek() {
                Some(_) => shortest_rest_ms(now, holding),
                None => shortest_rest_ms(now, staying),
            }
        }
        _ => shortest_rest_ms(now, staying),
    };
    for_ms.map(|for_ms| Unavailable::Resting { for_ms })
}

/// Returns when the first of these upstreams accepts requests again; none if one of them accepts
/// requests now.
fn shortest_rest_ms<'a>(
    now: Millis,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<Millis> {
    let mut shortest_ms = Millis::NEVER;
    for upstream in upstreams {
        shortest_ms = shortest_ms.min(upstream.notices.rests_until(now)?.since(now));
    }
    Some(shortest_ms)
}
