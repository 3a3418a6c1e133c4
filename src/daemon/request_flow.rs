//! Joins a request's way: admission, the ends of its attempts, the final answer.

use crate::admission::queue::QueuedRequest;
use crate::attempt::message::{AttemptOutcome, Repeatable, RequestHead, RequestId, TargetKind};
use crate::attempt::requests::{HeldRequest, MAX_FAILURES, Phase};
use crate::daemon::node::{Life, Node};
use crate::error::Ran;
use crate::idempotency::message::OperationKey;
use crate::prelude::*;
use crate::routing::upstreams::{BUSY_BACKOFF_MS, FAILURE_BACKOFF_MS};
use crate::shared_log::fold::Applied;
use crate::table::message::RowKey;

/// When to come back, where nothing better is known.
pub const RETRY_MS: Millis = Millis(1_000);

impl Node {
    /// Takes a caller's request.
    pub fn on_request(&mut self, now: Millis, head: RequestHead, fx: &mut Effects) {
        let request = head.id;
        if let Err(refusal) = self.admit(now, head) {
            self.refuse(now, request, refusal, fx);
            return;
        }
        let held = self.requests.get(request);
        let row = held.and_then(|held| self.shared.table.row(&held.row));
        match row.is_some_and(|row| row.requests_per_s.is_some()) {
            true => self.meter(now, request, fx),
            false => self.proceed(now, request, fx),
        }
    }

    /// Lets an admitted request go on to its claim or its queue.
    pub fn proceed(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match request.operation.is_some() {
            true => self.claim_or_follow(now, id, fx),
            false => self.enqueue(now, id, fx),
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
            return Err(Refusal::new(ErrorKind::Overloaded, message).with_retry_after(RETRY_MS));
        }
        let deadline_ms = head
            .deadline_ms
            .map_or(row.deadline_ms, |own| own.min(row.deadline_ms));
        self.check_cold_start(now, &head.name, deadline_ms)?;
        if let Err(retry_after_ms) = self.limits.admit(&key, &row) {
            let message = format!(
                "the limit of brand {} for {} is reached",
                key.brand, key.model
            );
            return Err(Refusal::new(ErrorKind::RowLimit, message).with_retry_after(retry_after_ms));
        }
        let name = head.name.clone();
        let operation = operation_of(&head, &key);
        self.requests.insert(HeldRequest {
            row: key,
            urgency: row.urgency,
            arrived_at: now,
            deadline_at: now + deadline_ms,
            attempts: 0,
            failures: 0,
            failed_upstreams: Vec::new(),
            may_have_run: false,
            operation,
            phase_since: now,
            phase: Phase::Arrived,
            head,
        });
        self.demand.note_use(now, &name);
        Ok(())
    }

    /// Puts a request into the queue of its model or service.
    pub fn enqueue(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.enter(now, Phase::Waiting);
        let waiting = QueuedRequest {
            request: id,
            brand: request.row.brand.clone(),
            weight: self
                .shared
                .table
                .row(&request.row)
                .map_or(1, |row| row.weight),
            urgency: request.urgency,
            since: request.arrived_at,
            deadline_at: request.deadline_at,
            came_back: request.attempts > 0,
        };
        let target = request.head.name.clone();
        if self.queues.push(&target, waiting).is_err() {
            let refusal =
                Refusal::new(ErrorKind::Overloaded, "the queue is full").with_retry_after(RETRY_MS);
            self.refuse(now, id, refusal, fx);
        }
    }

    fn check_serving(&self, now: Millis) -> Result<(), Refusal> {
        let refusal = |kind, message: &str| {
            let mut refusal = Refusal::new(kind, message).with_retry_after(RETRY_MS);
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

    /// Acts on what is due by time alone.
    pub fn tick_requests(&mut self, now: Millis, fx: &mut Effects) {
        self.pending_claims
            .note_log(now, self.driver.is_reachable());
        self.note_incarnation(now, fx);
        self.settle_claims(now, fx);
        self.finished.expire(now);
        for id in self.requests.due(now) {
            self.tick_request(now, id, fx);
        }
        self.tick_limits(now, fx);
        self.refuse_hopeless(now, fx);
        self.queues.remove_empty();
    }

    /// Refuses whoever cannot be served by the deadline, with the time by which the queue is through.
    fn refuse_hopeless(&mut self, now: Millis, fx: &mut Effects) {
        for hopeless in self.queues.predicted_timeouts(now) {
            let message = "the queue is longer than the request's deadline allows";
            let refusal = Refusal::new(ErrorKind::Overloaded, message);
            let refusal = refusal.with_retry_after(hopeless.wait_ms.max(RETRY_MS));
            self.refuse(now, hopeless.request, refusal, fx);
        }
    }

    fn tick_request(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match &request.phase {
            Phase::Metered => self.tick_metered(now, id, fx),
            Phase::Claiming => self.tick_claiming(now, id, fx),
            Phase::Following { .. } => self.tick_following(now, id, fx),
            Phase::Releasing { .. } => self.tick_releasing(now, id, fx),
            Phase::Arrived | Phase::Waiting => {
                let message = "the deadline passed in the queue";
                let refusal =
                    Refusal::new(ErrorKind::DeadlinePassed, message).with_retry_after(RETRY_MS);
                self.refuse(now, id, refusal, fx);
            }
            Phase::Running { .. } => {
                self.end_in_flight(id);
                self.note_may_have_run(id);
                let why = "the attempt did not end by the deadline";
                self.retry_or_refuse(now, id, why, fx);
            }
        }
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
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Phase::Running { upstream } = request.phase.clone() else {
            return;
        };
        if request.attempts != number {
            return;
        }
        self.end_in_flight(id);
        self.note_failure(id, &outcome);
        match outcome {
            AttemptOutcome::Answered => {
                self.keep_answer(now, id, None);
                self.finish(now, id);
            }
            AttemptOutcome::OperationAnswered(answer) => {
                self.keep_answer(now, id, Some(answer));
                self.finish(now, id);
            }
            AttemptOutcome::CallerGone | AttemptOutcome::Broken(_) => self.finish(now, id),
            AttemptOutcome::NotRun(why) => {
                self.routing.view_mut(&upstream).resting_until = now + FAILURE_BACKOFF_MS;
                self.retry_or_refuse(now, id, &why, fx);
            }
            AttemptOutcome::Busy(why) => {
                self.routing.view_mut(&upstream).resting_until = now + BUSY_BACKOFF_MS;
                self.retry_or_refuse(now, id, &why, fx);
            }
            AttemptOutcome::Silent(why) => {
                self.retry_or_refuse(now, id, &why, fx);
            }
            AttemptOutcome::Unknown(why) => {
                self.routing.view_mut(&upstream).resting_until = now + FAILURE_BACKOFF_MS;
                self.retry_or_refuse(now, id, &why, fx);
            }
        }
    }

    fn note_failure(&mut self, id: RequestId, outcome: &AttemptOutcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        match outcome {
            AttemptOutcome::NotRun(_) => request.failures += 1,
            AttemptOutcome::Silent(_) | AttemptOutcome::Unknown(_) => {
                request.failures += 1;
                request.may_have_run = true;
            }
            AttemptOutcome::Answered
            | AttemptOutcome::OperationAnswered(_)
            | AttemptOutcome::Busy(_)
            | AttemptOutcome::Broken(_)
            | AttemptOutcome::CallerGone => {}
        }
    }

    fn note_may_have_run(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.may_have_run = true;
        }
    }

    fn retry_or_refuse(&mut self, now: Millis, id: RequestId, why: &str, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        LogEvent::AttemptFailed.write(&format!("request={id} why={why}"));
        let repeatable = request.head.repeatable == Repeatable::Yes;
        if !repeatable && request.may_have_run {
            LogEvent::OutcomeUnknown.write(&format!("request={id} why={why}"));
            self.refuse(now, id, Refusal::new(ErrorKind::OutcomeUnknown, why), fx);
            return;
        }
        let may_retry = repeatable || request.operation.is_some();
        if may_retry && request.failures < MAX_FAILURES && now < request.deadline_at {
            self.enqueue(now, id, fx);
            return;
        }
        let kind = if now < request.deadline_at {
            ErrorKind::UpstreamFailed
        } else {
            ErrorKind::DeadlinePassed
        };
        self.refuse(
            now,
            id,
            Refusal::new(kind, why).with_retry_after(RETRY_MS),
            fx,
        );
    }

    /// Takes the end of a request's task: whatever is still held of the request is let go.
    pub fn on_caller_gone(&mut self, now: Millis, id: RequestId) {
        self.end_in_flight(id);
        self.finish(now, id);
    }

    fn end_in_flight(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Phase::Running { upstream } = &request.phase {
            let view = self.routing.view_mut(upstream);
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Gives a request its final answer; one that claimed its operation and did not run releases the
    /// claim first.
    pub fn refuse(&mut self, now: Millis, id: RequestId, refusal: Refusal, fx: &mut Effects) {
        let must_release = self
            .requests
            .get(id)
            .is_some_and(|request| !request.may_have_run && self.holds_claim(request));
        if must_release && refusal.ran == Ran::NotRun {
            self.release(now, id, refusal);
            return;
        }
        self.give_refusal(now, id, refusal, fx);
    }

    /// Gives a request its final answer now.
    pub fn give_refusal(
        &mut self,
        now: Millis,
        id: RequestId,
        mut refusal: Refusal,
        fx: &mut Effects,
    ) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| request.may_have_run) {
            refusal.ran = Ran::Unknown;
        }
        LogEvent::RequestRefused.write(&format!("request={id} kind={:?}", refusal.kind));
        self.finish(now, id);
        fx.push(Effect::Refuse {
            request: id,
            refusal,
        });
    }

    /// Lets a request go.
    pub fn finish(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.let_go_of_operation(now, &request);
        self.queues.remove(&request.head.name, id);
        self.metered.remove(&request.row, id);
        self.limits.release(&request.row);
        if request.head.target == TargetKind::Model {
            let last_use_at = request.arrived_at;
            self.demand.note_use(last_use_at, &request.head.name);
        }
    }

    /// Takes an applied record.
    pub fn requests_applied(&mut self, now: Millis, applied: &Applied, fx: &mut Effects) {
        if applied.record.id.host == self.config.me {
            self.settle_claims(now, fx);
        }
    }
}

fn operation_of(head: &RequestHead, row: &RowKey) -> Option<OperationKey> {
    if head.repeatable == Repeatable::Yes {
        return None;
    }
    let key = head.idempotency_key.clone()?;
    Some(OperationKey {
        brand: row.brand.clone(),
        service: row.model.clone(),
        key,
    })
}
