//! Holds back requests for engines that have too much to read, by rank, where the routes of a
//! service differ in rank.

use crate::desired::UrgentRank;
use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::request_log::RequestLog;
use crate::entry::sending::attempts::{Attempts, BUSY_RETRY_AFTER_MS};
use crate::entry::sending::choice::choose;
use crate::entry::sending::prediction::{Prediction, predict};
use crate::entry::sending::waiting::late_start_refusal;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::routing::engine_admission::{CHECK_MS, Candidate};

/// Waits until a request may be sent, and returns the upstream to which; none if no upstream can
/// take it any more. `upstream` is the one that was chosen for it.
///
/// # Errors
///
/// Returns the refusal when the first event is predicted to come too late.
pub async fn wait_for_admission<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
    upstream: Name,
    log: &mut RequestLog<'_, P>,
) -> Result<Option<Name>, Refusal> {
    if let Some(refusal) = late_start_refusal(host, request, &upstream) {
        return Err(refusal);
    }
    let Some((model, urgent)) = urgent_rank(host, request) else {
        return Ok(Some(upstream));
    };
    let began_at = host.now();
    let admitted = hold(host, request, attempts, upstream, model, urgent).await;
    log.summary.waited_ms += host.now().since(began_at);
    admitted
}

/// Returns the model of a request and the rank that goes before it; none if none does.
fn urgent_rank<'a, P: Platform>(
    host: &Host<P>,
    request: &'a ActiveRequest,
) -> Option<(&'a Name, UrgentRank)> {
    let model = &request
        .facts
        .model
        .as_ref()
        .filter(|_| request.at_engine)?
        .model;
    let urgent = host
        .routes
        .borrow()
        .as_ref()?
        .urgent_ranks
        .of(&request.service)?;
    let is_urgent = request.rank() <= urgent.rank;
    let now = host.now();
    let mut demand = host.urgent_demand.borrow_mut();
    demand.note(now, model, is_urgent);
    (!is_urgent && demand.is_expected(now, model)).then_some((model, urgent))
}

async fn hold<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
    mut engine: Name,
    model: &Name,
    urgent: UrgentRank,
) -> Result<Option<Name>, Refusal> {
    let candidate = Candidate {
        rank: request.rank(),
        arrived_at: request.arrived_at,
        goal_at: request.arrived_at + request.route.goal_ms,
        caller_leaves_at: request.first_byte_deadline_at,
    };
    let place = Place::take(host, model, candidate)?;
    let mut drawn_at = host.now();
    let mut is_new = true;
    loop {
        let change = host.next_change();
        let now = host.now();
        let Some(prediction) = predict(host, request, &engine) else {
            return Ok(None);
        };
        let longest_ms = candidate.longest_wait_ms(now, urgent);
        if candidate.excess_ms(now, prediction.first_event_ms) > Millis::ZERO {
            return Err(too_late(now, candidate, prediction, longest_ms));
        }
        let has_room = prediction.wait_ms <= longest_ms;
        if std::mem::replace(&mut is_new, false) && has_room {
            place.let_first_begin(now);
        }
        if place.may_begin() {
            return Ok(Some(engine));
        }
        if now.since(drawn_at) >= CHECK_MS {
            drawn_at = now;
            let chance = candidate.begin_chance(now, prediction.first_event_ms);
            if has_room && place.is_first(now) && fastrand::f64() < chance {
                return Ok(Some(engine));
            }
        }
        if host.is_stopping() {
            let why = "this host stops, and the engines have too much to read";
            return Err(Refusal::new(ErrorKind::Stopping, why).with_retry_after(Millis::ZERO));
        }
        with_timeout(CHECK_MS, change).await;
        match choose(host, request, attempts) {
            Some(chosen) => engine = chosen,
            None => return Ok(None),
        }
    }
}

/// Returns the refusal of a request whose first event would come too late. It is told to retry when
/// its first event would come in time, or when its engine would have little enough to read.
fn too_late(
    now: Millis,
    candidate: Candidate,
    prediction: Prediction,
    longest_ms: Millis,
) -> Refusal {
    let excess_ms = candidate.excess_ms(now, prediction.first_event_ms);
    let retry_after_ms = excess_ms
        .max(prediction.wait_ms - longest_ms)
        .max(BUSY_RETRY_AFTER_MS);
    let why = "the engines have too much to read for a request of this rank";
    Refusal::new(ErrorKind::Overloaded, why).with_retry_after(retry_after_ms)
}

/// The place of a request among those that wait; given up when it is dropped.
struct Place<'a, P: Platform> {
    host: &'a Host<P>,
    model: &'a Name,
    id: u64,
}

impl<'a, P: Platform> Place<'a, P> {
    fn take(host: &'a Host<P>, model: &'a Name, candidate: Candidate) -> Result<Self, Refusal> {
        let id = host.engine_line.borrow_mut().join(model, candidate);
        match id {
            Some(id) => Ok(Self { host, model, id }),
            None => {
                let why = "too many requests wait for engines at this host";
                let refusal = Refusal::new(ErrorKind::Overloaded, why);
                Err(refusal.with_retry_after(BUSY_RETRY_AFTER_MS))
            }
        }
    }

    fn let_first_begin(&self, now: Millis) {
        let mut line = self.host.engine_line.borrow_mut();
        line.let_first_begin(now, self.model);
        drop(line);
        if !self.may_begin() {
            self.host.note_change();
        }
    }

    fn may_begin(&self) -> bool {
        self.host
            .engine_line
            .borrow()
            .may_begin(self.model, self.id)
    }

    fn is_first(&self, now: Millis) -> bool {
        let line = self.host.engine_line.borrow();
        line.is_first(now, self.model, self.id)
    }
}

impl<P: Platform> Drop for Place<'_, P> {
    fn drop(&mut self) {
        let mut line = self.host.engine_line.borrow_mut();
        line.leave(self.model, self.id);
    }
}
