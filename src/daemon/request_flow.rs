//! Joins a request's way: admission, placement's demand, routing, attempts, the final answer.

use crate::admission::queue::Waiting;
use crate::attempt::message::{
    Attempt, AttemptOutcome, Repeatable, RequestHead, RequestId, TargetKind,
};
use crate::attempt::requests::{HeldRequest, MAX_ATTEMPTS, Phase};
use crate::daemon::node::{Life, Node};
use crate::placement::copies::CopyState;
use crate::prelude::*;
use crate::routing::upstreams::{FAILURE_REST_MS, FIRST_BYTE_MS};
use crate::shared_log::fold::Applied;
use crate::table::message::RowKey;
use std::net::SocketAddr;

/// How long after its decision an attempt may begin.
pub const BEGIN_WITHIN_MS: Millis = Millis(500);
/// How many requests of one host a service upstream may have at once.
pub const SERVICE_SLOTS: u32 = 256;

const RETRY_MS: Millis = Millis(1_000);

/// An upstream that can take a request.
struct Candidate {
    name: Name,
    address: SocketAddr,
    slots: u32,
}

impl Node {
    /// Takes a caller's request.
    pub fn on_request(&mut self, now: Millis, head: RequestHead, fx: &mut Effects) {
        let request = head.id;
        if let Err(refusal) = self.admit(now, head) {
            self.refuse(request, refusal, fx);
        }
    }

    fn admit(&mut self, now: Millis, head: RequestHead) -> Result<(), Refusal> {
        self.check_serving(now)?;
        let brand = self.brand_of(&head.key_sha256)?;
        let key = RowKey {
            brand,
            model: head.name.clone(),
        };
        let Some(row) = self.shared.table.row(&key).cloned() else {
            let message = format!("no row for brand {} and {}", key.brand, key.model);
            return Err(Refusal::new(ErrorKind::UnknownModel, message));
        };
        if !self.requests.has_room() {
            let message = "this host holds too many requests";
            return Err(Refusal::new(ErrorKind::Overloaded, message).after(RETRY_MS));
        }
        if let Err(retry_after_ms) = self.limits.admit(now, &key, &row) {
            let message = format!(
                "the limit of brand {} for {} is reached",
                key.brand, key.model
            );
            return Err(Refusal::new(ErrorKind::RowLimit, message).after(retry_after_ms));
        }
        let deadline_ms = head
            .deadline_ms
            .map_or(row.deadline_ms, |own| own.min(row.deadline_ms));
        let waiting = Waiting {
            request: head.id,
            brand: key.brand.clone(),
            weight: row.weight,
            urgency: row.urgency,
            since: now,
        };
        let name = head.name.clone();
        self.requests.insert(HeldRequest {
            row: key,
            urgency: row.urgency,
            arrived_at: now,
            deadline_at: now + deadline_ms,
            attempts: 0,
            failed_upstreams: Vec::new(),
            phase: Phase::Waiting,
            head,
        });
        self.demand.note_use(now, &name);
        self.queues
            .push(&name, waiting)
            .map_err(|_| Refusal::new(ErrorKind::Overloaded, "the queue is full").after(RETRY_MS))
    }

    fn check_serving(&self, now: Millis) -> Result<(), Refusal> {
        let refusal = |kind, message: &str| {
            let mut refusal = Refusal::new(kind, message).after(RETRY_MS);
            refusal.try_hosts = self.other_hosts();
            Err(refusal)
        };
        match self.life {
            Life::CatchingUp | Life::Joining => {
                refusal(ErrorKind::Starting, "this host is still starting")
            }
            // Entry answers given earlier may still lead here while this host stops.
            Life::Serving | Life::Stopping { .. } if !self.is_fresh(now) => refusal(
                ErrorKind::CutOff,
                "this host cannot tell whether its state is current",
            ),
            Life::Serving | Life::Stopping { .. } => Ok(()),
            Life::Leaving { .. } | Life::Ended => {
                refusal(ErrorKind::Stopping, "this host has stopped")
            }
        }
    }

    fn other_hosts(&self) -> Vec<Name> {
        const MAX_OTHERS: usize = 4;
        self.shared
            .members
            .iter()
            .filter(|(host, _)| **host != self.config.me && !self.probes.is_suspected(**host))
            .take(MAX_OTHERS)
            .map(|(_, member)| member.entry.caller_address.to_string().into())
            .collect()
    }

    /// Returns the brand of an API key.
    ///
    /// # Errors
    ///
    /// Refuses a key that no brand has.
    pub fn brand_of(&self, key_sha256: &str) -> Result<Name, Refusal> {
        self.shared
            .table
            .brand_of_key(key_sha256)
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::BadCredential, "no brand has this API key"))
    }

    /// Refuses what is overdue.
    pub fn tick_requests(&mut self, now: Millis, fx: &mut Effects) {
        for request in self.requests.overdue(now) {
            let refusal = Refusal::new(
                ErrorKind::DeadlinePassed,
                "the deadline passed in the queue",
            )
            .after(RETRY_MS);
            self.refuse(request, refusal, fx);
        }
        self.queues.tidy();
    }

    /// Begins every attempt that can begin.
    pub fn pump(&mut self, now: Millis, fx: &mut Effects) {
        for target in self.queues.targets() {
            self.pump_target(now, &target, fx);
        }
    }

    fn pump_target(&mut self, now: Millis, target: &Name, fx: &mut Effects) {
        if !self.is_fresh(now) {
            return;
        }
        let candidates = self.candidates(target);
        let is_model = self.shared.table.model(target).is_some();
        if candidates.is_empty() && is_model {
            self.ensure_loading(now, target);
            return;
        }
        loop {
            let slots = candidates
                .iter()
                .map(|candidate| (&candidate.name, candidate.slots));
            let Some(chosen) = self.routing.choose(now, slots).cloned() else {
                return;
            };
            let Some(waiting) = self.queues.pop(target) else {
                return;
            };
            let chosen = candidates.iter().find(|candidate| candidate.name == chosen);
            if let Some(chosen) = chosen {
                self.begin(now, waiting.request, chosen, fx);
            }
        }
    }

    fn candidates(&self, target: &str) -> Vec<Candidate> {
        let upstreams = &self.shared.placement.upstreams;
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
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.attempts += 1;
        request.phase = Phase::Running {
            upstream: chosen.name.clone(),
        };
        let attempt = Attempt {
            request: id,
            number: request.attempts,
            upstream: chosen.name.clone(),
            address: chosen.address,
            begin_by: now + BEGIN_WITHIN_MS,
            deadline_at: request.deadline_at,
            first_byte_ms: FIRST_BYTE_MS,
            urgency: request.urgency,
        };
        self.routing.view(&chosen.name).in_flight += 1;
        fx.push(Effect::Begin { attempt });
    }

    /// Takes the end of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        outcome: AttemptOutcome,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Phase::Running { upstream } = request.phase.clone() else {
            return;
        };
        if request.attempts != number {
            return;
        }
        let view = self.routing.view(&upstream);
        view.in_flight = view.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::CallerGone | AttemptOutcome::Broken(_) => {
                self.finish(id);
            }
            AttemptOutcome::NotRun(why) => {
                view.resting_until = now + FAILURE_REST_MS;
                self.retry_or_refuse(now, id, ErrorKind::UpstreamFailed, &why, fx);
            }
            AttemptOutcome::Unknown(why) => {
                view.resting_until = now + FAILURE_REST_MS;
                let kind = match request.head.repeatable {
                    Repeatable::Yes => ErrorKind::UpstreamFailed,
                    Repeatable::No => ErrorKind::OutcomeUnknown,
                };
                self.retry_or_refuse(now, id, kind, &why, fx);
            }
        }
    }

    fn retry_or_refuse(
        &mut self,
        now: Millis,
        id: RequestId,
        kind: ErrorKind,
        why: &str,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let may_retry = kind == ErrorKind::UpstreamFailed
            && request.attempts < MAX_ATTEMPTS
            && now < request.deadline_at;
        if !may_retry {
            self.refuse(id, Refusal::new(kind, why).after(RETRY_MS), fx);
            return;
        }
        request.phase = Phase::Waiting;
        let waiting = Waiting {
            request: id,
            brand: request.row.brand.clone(),
            weight: 1,
            urgency: request.urgency,
            since: request.arrived_at,
        };
        let target = request.head.name.clone();
        if self.queues.push(&target, waiting).is_err() {
            let refusal = Refusal::new(ErrorKind::Overloaded, "the queue is full").after(RETRY_MS);
            self.refuse(id, refusal, fx);
        }
    }

    /// Takes the end of a request's task: whatever is still held of the request is let go.
    pub fn on_caller_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Phase::Running { upstream } = request.phase.clone() {
            let view = self.routing.view(&upstream);
            view.in_flight = view.in_flight.saturating_sub(1);
        }
        self.finish(id);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, fx: &mut Effects) {
        LogEvent::RequestRefused.write(&format!("request={id} kind={:?}", refusal.kind));
        self.finish(id);
        fx.push(Effect::Refuse {
            request: id,
            refusal,
        });
    }

    fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.queues.remove(&request.head.name, id);
        self.limits.end(&request.row);
        if request.head.target == TargetKind::Model {
            let last_use_at = request.arrived_at;
            self.demand.note_use(last_use_at, &request.head.name);
        }
    }

    /// Takes an applied record.
    pub fn requests_applied(&mut self, _now: Millis, _applied: &Applied, _fx: &mut Effects) {}
}
