//! The lifecycle of a request: admission, the results of its attempts, and its final answer.

use crate::admission::queue::QueuedRequest;
use crate::attempt::message::{AttemptOutcome, Repeatable, RequestHead, RequestId, TargetKind};
use crate::attempt::requests::{MAX_FAILURES, Phase, TrackedRequest};
use crate::daemon::node::{Life, Node};
use crate::error::Ran;
use crate::idempotency::message::OperationKey;
use crate::prelude::*;
use crate::routing::upstreams::{BUSY_BACKOFF_MS, FAILURE_BACKOFF_MS};
use crate::shared_log::fold::Applied;
use crate::table::message::RowKey;

/// The retry time that a refusal gives to the caller when no better estimate is known.
pub const RETRY_AFTER_MS: Millis = Millis(1_000);

impl Node {
    /// Handles the arrival of a caller's request.
    pub fn on_request(&mut self, now: Millis, head: RequestHead, fx: &mut Effects) {
        let request = head.id;
        if let Err(refusal) = self.admit(now, head) {
            self.refuse(now, request, refusal, fx);
            return;
        }
        let held = self.requests.get(request);
        let row = held.and_then(|held| self.shared.table.row(&held.row));
        match row.is_some_and(|row| row.requests_per_s.is_some()) {
            true => self.wait_for_quota(now, request, fx),
            false => self.claim_or_enqueue(now, request, fx),
        }
    }

    /// Continues with an admitted request that no rate limit holds back: claims its operation if it
    /// has an idempotency key, else puts it into its queue.
    pub fn claim_or_enqueue(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
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
            return Err(
                Refusal::new(ErrorKind::Overloaded, message).with_retry_after(RETRY_AFTER_MS)
            );
        }
        let deadline_ms = head
            .deadline_ms
            .map_or(row.deadline_ms, |requested| requested.min(row.deadline_ms));
        self.check_quarantine(now, &head, &key.brand)?;
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
        self.requests.insert(TrackedRequest {
            row: key,
            urgency: row.urgency,
            arrived_at: now,
            deadline_at: now + deadline_ms,
            attempts: 0,
            failures: 0,
            failed_upstreams: Vec::new(),
            may_have_run: false,
            operation,
            answer_began_at: None,
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
            let refusal = Refusal::new(ErrorKind::Overloaded, "the queue is full")
                .with_retry_after(RETRY_AFTER_MS);
            self.refuse(now, id, refusal, fx);
        }
    }

    fn check_serving(&self, now: Millis) -> Result<(), Refusal> {
        let refusal = |kind, message: &str| {
            let mut refusal = Refusal::new(kind, message).with_retry_after(RETRY_AFTER_MS);
            refusal.try_hosts = self.other_hosts();
            Err(refusal)
        };
        match self.life {
            Life::CatchingUp | Life::Joining => {
                refusal(ErrorKind::Starting, "this host is still starting")
            }
            // A stopping host serves as well, since answers given before the stop still tell
            // callers to connect to it.
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

    /// Returns the addresses of up to `MAX_OTHERS` other hosts that are not suspected, which the
    /// caller may try instead of this one.
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

    /// Returns the brand to which an API key belongs, by the SHA-256 of the key in hex digits.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no brand has the key.
    pub fn brand_of(&self, key_sha256: &str) -> Result<Name, Refusal> {
        self.shared
            .table
            .brand_of_key(key_sha256)
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::BadCredential, "no brand has this API key"))
    }

    /// Handles all requests whose deadline or waiting time has passed. Runs at each tick.
    pub fn tick_requests(&mut self, now: Millis, fx: &mut Effects) {
        self.pending_claims
            .note_log_reachable(now, self.driver.is_reachable());
        self.restart_claims_after_rejoin(now, fx);
        self.settle_claims(now, fx);
        self.finished.expire(now);
        for id in self.requests.due(now) {
            self.tick_request(now, id, fx);
        }
        self.tick_limits(now, fx);
        self.refuse_unservable(now, fx);
        self.queues.remove_empty();
    }

    /// Refuses the waiting requests that cannot be served by their deadlines at the present rate.
    /// The retry time is the time in which the queue is expected to be served.
    fn refuse_unservable(&mut self, now: Millis, fx: &mut Effects) {
        for unservable in self.queues.predicted_timeouts(now) {
            let message = "the queue is longer than the request's deadline allows";
            let refusal = Refusal::new(ErrorKind::Overloaded, message);
            let refusal = refusal.with_retry_after(unservable.wait_ms.max(RETRY_AFTER_MS));
            self.refuse(now, unservable.request, refusal, fx);
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
                let refusal = Refusal::new(ErrorKind::DeadlinePassed, message)
                    .with_retry_after(RETRY_AFTER_MS);
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

    /// Handles the end of an attempt: finishes, retries or refuses the request. The result of an
    /// attempt that is not the request's latest one is ignored.
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
        self.note_crash_evidence(now, id, &upstream, &outcome, fx);
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

    /// Records what the end of an attempt tells about crashes of its upstream.
    fn note_crash_evidence(
        &mut self,
        now: Millis,
        id: RequestId,
        upstream: &Name,
        outcome: &AttemptOutcome,
        fx: &mut Effects,
    ) {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::OperationAnswered(_) => {
                self.note_answered(now, id);
            }
            AttemptOutcome::Unknown(_) | AttemptOutcome::Broken(_) => {
                self.note_interrupted(now, id, upstream, fx);
            }
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::Busy(_)
            | AttemptOutcome::Silent(_)
            | AttemptOutcome::CallerGone => {}
        }
    }

    fn note_may_have_run(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.may_have_run = true;
        }
    }

    /// Queues a request again after a failed attempt, or refuses it if it may not be retried: it
    /// may have run and must not run twice, has failed too often, or is past its deadline.
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
        let carries_crash = request.may_have_run && self.is_suspected(request);
        let may_retry = (repeatable || request.operation.is_some()) && !carries_crash;
        if may_retry && request.failures < MAX_FAILURES && now < request.deadline_at {
            self.enqueue(now, id, fx);
            return;
        }
        let kind = if now < request.deadline_at {
            ErrorKind::UpstreamFailed
        } else {
            ErrorKind::DeadlinePassed
        };
        let mut refusal = Refusal::new(kind, why).with_retry_after(RETRY_AFTER_MS);
        // Other hosts may reach upstreams that this one does not.
        if kind == ErrorKind::UpstreamFailed && !request.may_have_run {
            refusal.try_hosts = self.other_hosts();
        }
        self.refuse(now, id, refusal, fx);
    }

    /// Drops a request whose task has ended, if it has no final answer yet.
    pub fn on_caller_gone(&mut self, now: Millis, id: RequestId) {
        self.end_in_flight(id);
        self.finish(now, id);
    }

    /// Removes a running request from the count of requests in flight at its upstream.
    fn end_in_flight(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Phase::Running { upstream } = &request.phase {
            let view = self.routing.view_mut(upstream);
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Refuses a request. If the request holds a claim and certainly did not run, the claim is
    /// released first, and the refusal is sent once the release is applied.
    pub fn refuse(&mut self, now: Millis, id: RequestId, refusal: Refusal, fx: &mut Effects) {
        let must_release = self
            .requests
            .get(id)
            .is_some_and(|request| !request.may_have_run && self.holds_claim(request));
        if must_release && refusal.ran == Ran::NotRun {
            self.release_claim(now, id, refusal);
            return;
        }
        self.send_refusal(now, id, refusal, fx);
    }

    /// Sends the refusal of a request and forgets the request. The outcome is given as unknown if
    /// an attempt may have run.
    pub fn send_refusal(
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

    /// Forgets a request and frees what it holds: its claim, its place in queues and its share of
    /// limits.
    pub fn finish(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.settle_operation(now, &request);
        self.queues.remove(&request.head.name, id);
        self.metered.remove(&request.row, id);
        self.limits.release(&request.row);
        if request.head.target == TargetKind::Model {
            let last_use_at = request.arrived_at;
            self.demand.note_use(last_use_at, &request.head.name);
        }
    }

    /// Updates the requests after a record was applied to the replicated state: claims settle with
    /// records of this host.
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
