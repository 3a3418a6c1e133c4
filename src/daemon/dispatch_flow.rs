//! Dispatch of waiting requests to upstreams: which request is sent next, and to which upstream.

use crate::attempt::message::{Attempt, Repeatable, RequestId};
use crate::attempt::requests::{MAX_FAILURES, Phase, TrackedRequest};
use crate::daemon::node::Node;
use crate::daemon::request_flow::RETRY_AFTER_MS;
use crate::placement::copies::CopyState;
use crate::prelude::*;
use std::net::SocketAddr;

/// The longest time between the decision on an attempt and its start.
pub const MAX_BEGIN_DELAY_MS: Millis = Millis(500);
/// The number of concurrent requests of one host at an upstream whose entry names no slots, as that
/// of a service.
pub const SERVICE_SLOTS: u32 = 256;

/// An upstream that can take a request.
struct Candidate {
    name: Name,
    address: SocketAddr,
    slots: u32,
}

impl Node {
    /// Begins an attempt for each waiting request for which an upstream has a free slot.
    pub fn begin_attempts(&mut self, now: Millis, fx: &mut Effects) {
        self.demand.decided.refresh(&self.shared.table);
        for target in self.queues.targets() {
            self.begin_attempts_for(now, &target, fx);
        }
    }

    fn begin_attempts_for(&mut self, now: Millis, target: &Name, fx: &mut Effects) {
        if !self.is_fresh(now) {
            return;
        }
        let candidates = self.candidates(target);
        let is_model = self.shared.table.model(target).is_some();
        if candidates.is_empty() && is_model {
            self.load_or_refuse(now, target, fx);
            return;
        }
        if let Some(refusal) = self.unavailable(now, &candidates, is_model) {
            self.refuse_waiting(now, target, &refusal, fx);
            return;
        }
        loop {
            let slots = candidates
                .iter()
                .map(|candidate| (&candidate.name, candidate.slots));
            let Some(chosen) = self.routing.choose(now, slots).cloned() else {
                return;
            };
            let Some(waiting) = self.queues.pop(now, target) else {
                return;
            };
            let chosen = candidates.iter().find(|candidate| candidate.name == chosen);
            if let Some(chosen) = chosen {
                self.begin(now, waiting.request, chosen, fx);
            }
        }
    }

    /// Requests a copy of a model without a usable one. If the model has no copy at all and the
    /// log, on which loads are decided, is unreachable, refuses all its waiting requests instead.
    fn load_or_refuse(&mut self, now: Millis, model: &Name, fx: &mut Effects) {
        let has_copy = self.shared.placement.copies_of(model).next().is_some();
        if has_copy || self.driver.is_reachable() {
            self.ensure_loading(now, model);
            return;
        }
        let message = format!("{model} has no copy, and the log is out of reach");
        let refusal =
            Refusal::new(ErrorKind::LogUnavailable, message).with_retry_after(RETRY_AFTER_MS);
        self.refuse_waiting(now, model, &refusal, fx);
    }

    fn refuse_waiting(&mut self, now: Millis, target: &Name, refusal: &Refusal, fx: &mut Effects) {
        while let Some(waiting) = self.queues.pop(now, target) {
            self.refuse(now, waiting.request, refusal.clone(), fx);
        }
    }

    /// Returns the refusal for the requests of a target whose upstreams are all leaving, or, those
    /// that stay, have all asked for rest. A model whose copies are all on engines that leave can be
    /// loaded elsewhere.
    fn unavailable(
        &self,
        now: Millis,
        candidates: &[Candidate],
        is_model: bool,
    ) -> Option<Refusal> {
        let is_leaving = |candidate: &&Candidate| {
            let view = self.routing.get(&candidate.name);
            view.is_some_and(|view| view.leaving)
        };
        let mut staying = candidates.iter().filter(|one| !is_leaving(one)).peekable();
        if staying.peek().is_none() {
            let why = "every upstream of the service is leaving";
            let refusal = Refusal::new(ErrorKind::NoCapacity, why);
            let is_refused = !is_model && !candidates.is_empty();
            return is_refused.then(|| refusal.with_retry_after(RETRY_AFTER_MS));
        }
        let mut rest_ms = Millis::NEVER;
        for candidate in staying {
            let until = self.routing.asked_rest_until(now, &candidate.name)?;
            rest_ms = rest_ms.min(until.since(now));
        }
        let why = "every upstream that could serve the request has asked for rest";
        Some(Refusal::new(ErrorKind::Overloaded, why).with_retry_after(rest_ms))
    }

    fn candidates(&self, target: &str) -> Vec<Candidate> {
        let upstreams = &self.shared.placement.upstreams;
        let data_centres = self.demand.decided.data_centres_of(target);
        let names: Vec<&Name> = match self.shared.table.service(target) {
            Some(service) => service.upstreams.iter().collect(),
            None => self
                .shared
                .placement
                .copies_of(target)
                .filter(|(_, copy)| copy.state == CopyState::Ready)
                .map(|(_, copy)| &copy.load.upstream)
                .collect(),
        };
        names
            .into_iter()
            .filter_map(|name| upstreams.get(name))
            .filter(|upstream| data_centres.allow(&upstream.data_centre))
            .map(|upstream| Candidate {
                name: upstream.name.clone(),
                address: upstream.address,
                slots: if upstream.slots == 0 {
                    SERVICE_SLOTS
                } else {
                    upstream.slots
                },
            })
            .collect()
    }

    fn begin(&mut self, now: Millis, id: RequestId, chosen: &Candidate, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !self.may_run(request) {
            let message = "the claim of the operation is no longer this host's";
            self.refuse(
                now,
                id,
                Refusal::new(ErrorKind::OutcomeUnknown, message),
                fx,
            );
            return;
        }
        let (head, brand) = (request.head.clone(), request.row.brand.clone());
        if let Err(refusal) = self.check_quarantine(now, &head, &brand) {
            self.refuse(now, id, refusal, fx);
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let first_byte_ms = self.first_byte_bound(request, &chosen.name);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.attempts += 1;
        request.answer_began_at = None;
        let upstream = chosen.name.clone();
        request.enter(now, Phase::Running { upstream });
        let attempt = Attempt {
            request: id,
            number: request.attempts,
            upstream: chosen.name.clone(),
            address: chosen.address,
            begin_by: now + MAX_BEGIN_DELAY_MS,
            deadline_at: request.deadline_at,
            first_byte_ms,
            urgency: request.urgency,
        };
        self.routing.view_mut(&chosen.name).in_flight += 1;
        fx.push(Effect::Begin { attempt });
    }

    /// Records the time to the first byte of an attempt's answer for its upstream.
    pub fn on_attempt_started(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        first_byte_ms: Millis,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Phase::Running { upstream } = &request.phase else {
            return;
        };
        if request.attempts == number {
            request.answer_began_at = Some(now);
            let streamed = request.head.streamed;
            self.routing
                .view_mut(upstream)
                .note_first_byte(streamed, first_byte_ms);
        }
    }

    /// Returns how long to wait for the first byte: the bound for the upstream, doubled for each
    /// failed attempt of the request, but not beyond the deadline. A request that must not run
    /// twice waits until its deadline.
    fn first_byte_bound(&self, request: &TrackedRequest, upstream: &Name) -> Millis {
        let to_deadline_ms = request.deadline_at.since(request.phase_since);
        if request.head.repeatable == Repeatable::No {
            // The request cannot be retried, so a timeout before the deadline would only replace a
            // possible answer by an unknown outcome.
            return to_deadline_ms;
        }
        let bound_ms = self
            .routing
            .first_byte_timeout(upstream, request.head.streamed);
        let backoff_factor = 1 << request.failures.min(MAX_FAILURES);
        Millis(bound_ms.0 * backoff_factor).min(to_deadline_ms)
    }
}
