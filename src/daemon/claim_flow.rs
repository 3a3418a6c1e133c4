//! Claims of operations: a request with an idempotency key is claimed on the shared log before it
//! runs, so that the operation runs at most once.
//!
//! The host whose claim is first on the log, the claimant, runs the operation. Every other request
//! with the same key follows it: it waits for the claimant's answer. See
//! `docs/design/at-most-once.md`.

use crate::attempt::message::RequestId;
use crate::attempt::requests::{Phase, TrackedRequest};
use crate::daemon::node::Node;
use crate::idempotency::claims::Claim;
use crate::idempotency::finished::kept_state;
use crate::idempotency::message::{
    ClaimEnd, ClaimOutcome, ClaimRequest, KeptAnswer, OperationKey, OperationState,
};
use crate::idempotency::pending::PendingClaim;
use crate::membership::message::PeerRequest;
use crate::prelude::*;

/// How long a request waits until its claim is applied; then it is refused.
pub const CLAIM_TIMEOUT_MS: Millis = Millis(3_000);
/// How long the log may be unreachable before requests that wait for their claims are refused.
pub const MAX_LOG_OUTAGE_MS: Millis = Millis(500);
/// The shortest time that a request waits until the release of its claim is applied. It waits until
/// its deadline in any case.
pub const MIN_RELEASE_WAIT_MS: Millis = Millis(1_000);
/// The interval at which the claimant is asked for the outcome of an operation.
pub const FOLLOW_INTERVAL_MS: Millis = Millis(100);
/// How long a claim is kept, in addition to `RETENTION_LIFETIMES` times the time between the
/// request's arrival and its deadline.
pub const CLAIM_RETENTION_MS: Millis = Millis(60 * 60_000);

const RETENTION_LIFETIMES: u64 = 10;
/// The retry time in refusals for which the log is the cause.
const LOG_RETRY_AFTER_MS: Millis = Millis(2_000);

impl Node {
    /// Claims the operation of a request, or follows the request that holds the claim.
    pub fn claim_or_follow(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(operation) = request.operation.clone() else {
            return;
        };
        let Some(claim) = self.shared.claims.get(&operation).cloned() else {
            self.begin_claim(now, id, operation, fx);
            return;
        };
        if claim.request_sha256 != request.head.request_sha256 {
            let message = "this key was used for another request";
            self.refuse(now, id, Refusal::new(ErrorKind::KeyReused, message), fx);
            return;
        }
        if claim.claimant == self.config.me {
            let state = self.operation_state(&operation);
            self.follow(now, id, &state, fx);
            return;
        }
        self.ask_claimant(now, id, operation, &claim, fx);
    }

    fn begin_claim(
        &mut self,
        now: Millis,
        id: RequestId,
        operation: OperationKey,
        fx: &mut Effects,
    ) {
        if self.pending_claims.holder(&operation).is_some() {
            self.follow(now, id, &OperationState::Running, fx);
            return;
        }
        if !self.driver.is_reachable() {
            self.refuse(now, id, log_unavailable(), fx);
            return;
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let lifetime_ms = request.deadline_at.since(request.arrived_at).0;
        let claim = ClaimRequest {
            operation,
            request_sha256: request.head.request_sha256.clone(),
            keep_ms: CLAIM_RETENTION_MS + Millis(lifetime_ms.saturating_mul(RETENTION_LIFETIMES)),
        };
        request.enter(now, Phase::Claiming);
        let pending = PendingClaim { request: id, claim };
        if self.pending_claims.queue_claim(pending).is_err() {
            let refusal = Refusal::new(ErrorKind::Overloaded, "too many claims wait for the log");
            self.refuse(now, id, refusal.with_retry_after(LOG_RETRY_AFTER_MS), fx);
        }
    }

    fn ask_claimant(
        &mut self,
        now: Millis,
        id: RequestId,
        operation: OperationKey,
        claim: &Claim,
        fx: &mut Effects,
    ) {
        let suspected = self.probes.is_suspected(claim.claimant);
        let member = self.shared.members.get(claim.claimant);
        let address = member.map(|member| member.entry.peer_address);
        let reachable = self.shared.members.is_member(claim.claimant) && !suspected;
        let Some(address) = address.filter(|_| reachable) else {
            self.refuse(now, id, claimant_gone(claim), fx);
            return;
        };
        fx.push(Effect::AskPeer {
            peer: claim.claimant,
            address,
            asked_at: now,
            request: PeerRequest::Operation { operation },
        });
        self.follow(now, id, &OperationState::Running, fx);
    }

    /// Acts on the state of the operation that a request follows: waits on, answers or refuses.
    fn follow(&mut self, now: Millis, id: RequestId, state: &OperationState, fx: &mut Effects) {
        match state {
            // If the claim was released, its record shows that, and the next check claims the
            // operation again.
            OperationState::Running | OperationState::NotRun => {
                let ask_at = now + FOLLOW_INTERVAL_MS;
                if let Some(request) = self.requests.get_mut(id) {
                    request.enter(now, Phase::Following { ask_at });
                }
            }
            OperationState::Answered(answer) => {
                self.finish(now, id);
                fx.push(Effect::GiveAnswer {
                    request: id,
                    answer: answer.clone(),
                });
            }
            OperationState::AnswerNotKept => {
                let message = "the operation ran and was answered; the answer is no longer kept";
                self.refuse(
                    now,
                    id,
                    Refusal::new(ErrorKind::OutcomeUnknown, message),
                    fx,
                );
            }
            OperationState::Unknown => {
                let message = "an earlier request with this key may have run the operation";
                self.refuse(
                    now,
                    id,
                    Refusal::new(ErrorKind::OutcomeUnknown, message),
                    fx,
                );
            }
        }
    }

    /// Returns the state of an operation that this host claimed.
    pub fn operation_state(&self, operation: &OperationKey) -> OperationState {
        if let Some(state) = self.finished.get(operation) {
            return state.clone();
        }
        if self.pending_claims.holder(operation).is_some() {
            return OperationState::Running;
        }
        match self.own_claim(operation).and_then(|claim| claim.outcome) {
            Some(ClaimOutcome::Answered) => OperationState::AnswerNotKept,
            Some(ClaimOutcome::Unknown) => OperationState::Unknown,
            Some(ClaimOutcome::NotRun) | None => OperationState::NotRun,
        }
    }

    /// Handles the state of an operation as reported by a peer, for the requests that follow it.
    /// The report of a peer that is not the claimant is ignored.
    pub fn on_operation_state(
        &mut self,
        now: Millis,
        peer: Incarnation,
        operation: &OperationKey,
        state: &OperationState,
        fx: &mut Effects,
    ) {
        let claim = self.shared.claims.get(operation);
        let Some(claim) = claim.filter(|claim| claim.claimant == peer) else {
            return;
        };
        let sha256 = claim.request_sha256.clone();
        let follows = |request: &&TrackedRequest| {
            matches!(request.phase, Phase::Following { .. })
                && request.operation.as_ref() == Some(operation)
                && request.head.request_sha256 == sha256
        };
        let followers: Vec<RequestId> = self
            .requests
            .iter()
            .filter(follows)
            .map(|request| request.head.id)
            .collect();
        for id in followers {
            self.follow(now, id, state, fx);
        }
    }

    /// Queues the next records of claims and of ends of claims for the log.
    pub fn queue_claim_records(&mut self) {
        if let Some(claims) = self.pending_claims.next_claims()
            && let Some(record) = self.driver.queue(RecordBody::Claims { claims })
        {
            self.pending_claims.claims_sent(record);
        }
        if let Some(ends) = self.pending_claims.next_ends()
            && let Some(record) = self.driver.queue(RecordBody::ClaimEnds { ends })
        {
            self.pending_claims.ends_sent(record);
        }
    }

    /// Starts the pending claims again if this host rejoined under another incarnation, since
    /// records queued under the former one have no effect.
    pub fn restart_claims_after_rejoin(&mut self, now: Millis, fx: &mut Effects) {
        if !self.pending_claims.note_host(self.config.me) {
            return;
        }
        let is_pending = |request: &&TrackedRequest| {
            matches!(request.phase, Phase::Claiming | Phase::Releasing { .. })
        };
        let requests = self.requests.iter().filter(is_pending);
        let pending: Vec<TrackedRequest> = requests.cloned().collect();
        for request in pending {
            let id = request.head.id;
            if matches!(request.phase, Phase::Releasing { .. }) {
                self.send_refusal(now, id, not_released(), fx);
                continue;
            }
            if let Some(operation) = &request.operation {
                self.pending_claims.release(operation, id);
            }
            self.claim_or_follow(now, id, fx);
        }
    }

    /// Settles the claims and ends of claims whose records were applied.
    pub fn settle_claims(&mut self, now: Millis, fx: &mut Effects) {
        let members = &self.shared.members;
        let applied = |record| members.is_duplicate(record);
        let claims = self.pending_claims.take_claims(applied);
        let ends = self.pending_claims.take_ends(applied);
        for pending in claims.into_iter().flat_map(|batch| batch.claims) {
            self.settle_claim(now, &pending, fx);
        }
        for end in ends.into_iter().flat_map(|batch| batch.ends) {
            self.settle_end(now, &end, fx);
        }
    }

    /// Continues with the request of an applied claim: it is queued if the claim won.
    fn settle_claim(&mut self, now: Millis, pending: &PendingClaim, fx: &mut Effects) {
        let (id, operation) = (pending.request, &pending.claim.operation);
        let won = self.own_claim(operation).is_some();
        match self.pending_claims.holder(operation) {
            Some(holder) if holder == id && won => {
                LogEvent::ClaimMade.write(&format!("request={id} key={}", operation.key));
                self.enqueue(now, id, fx);
            }
            Some(holder) if holder == id => {
                self.pending_claims.release(operation, id);
                self.on_claim_lost(now, id, operation, fx);
            }
            // A later request holds the operation; its own record settles it.
            Some(_) => {}
            // The request ended before its claim was applied.
            None if won => self.end_claim(operation, ClaimOutcome::NotRun),
            None => {}
        }
    }

    /// Handles a claim that did not win: the request follows the claim that did, or is refused if
    /// the record had no effect.
    fn on_claim_lost(
        &mut self,
        now: Millis,
        id: RequestId,
        operation: &OperationKey,
        fx: &mut Effects,
    ) {
        if self.shared.claims.get(operation).is_some() {
            self.claim_or_follow(now, id, fx);
            return;
        }
        let kind = if self.shared.members.is_member(self.config.me) {
            ErrorKind::Overloaded
        } else {
            ErrorKind::CutOff
        };
        let refusal =
            Refusal::new(kind, "the claim was not taken").with_retry_after(LOG_RETRY_AFTER_MS);
        self.refuse(now, id, refusal, fx);
    }

    /// Handles the applied end of a claim: a request that waited for the release is refused now.
    fn settle_end(&mut self, now: Millis, end: &ClaimEnd, fx: &mut Effects) {
        let details = format!("key={} outcome={:?}", end.operation.key, end.outcome);
        LogEvent::ClaimEnded.write(&details);
        let Some(id) = self.pending_claims.holder(&end.operation) else {
            return;
        };
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Phase::Releasing { refusal } = request.phase.clone() else {
            return;
        };
        let released = self.shared.claims.get(&end.operation).is_none();
        let refusal = if released { refusal } else { not_released() };
        self.send_refusal(now, id, refusal, fx);
    }

    /// Returns whether a request holds the claim of its operation: the claim is applied and has not
    /// ended.
    pub fn holds_claim(&self, request: &TrackedRequest) -> bool {
        let Some(operation) = &request.operation else {
            return false;
        };
        let claimed = matches!(request.phase, Phase::Waiting | Phase::Running { .. });
        claimed && self.pending_claims.holder(operation) == Some(request.head.id)
    }

    /// Releases the claim of a request that did not run. The refusal is sent once the release is
    /// applied.
    pub fn release_claim(&mut self, now: Millis, id: RequestId, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(operation) = request.operation.clone() else {
            return;
        };
        let target = request.head.name.clone();
        request.enter(now, Phase::Releasing { refusal });
        self.queues.remove(&target, id);
        self.end_claim(&operation, ClaimOutcome::NotRun);
    }

    /// Keeps the answer of an operation that ran, for other requests with the same key, and ends
    /// its claim. The state is recorded as answered without a kept answer if `answer` is `None` or
    /// too long.
    pub fn keep_answer(&mut self, now: Millis, id: RequestId, answer: Option<KeptAnswer>) {
        let request = self.requests.get(id);
        let Some(operation) = request.and_then(|request| request.operation.clone()) else {
            return;
        };
        let state = answer.map_or(OperationState::AnswerNotKept, kept_state);
        self.finished.insert(now, operation.clone(), state);
        self.end_claim(&operation, ClaimOutcome::Answered);
    }

    /// Ends the claim of a request that is removed: as not run while the request waits, as unknown
    /// if it runs without an answer.
    pub fn settle_operation(&mut self, now: Millis, request: &TrackedRequest) {
        let Some(operation) = &request.operation else {
            return;
        };
        if self.pending_claims.holder(operation) != Some(request.head.id) {
            return;
        }
        match &request.phase {
            Phase::Waiting => self.end_claim(operation, ClaimOutcome::NotRun),
            Phase::Running { .. } if self.finished.get(operation).is_none() => {
                self.finished
                    .insert(now, operation.clone(), OperationState::Unknown);
                self.end_claim(operation, ClaimOutcome::Unknown);
            }
            // A claim that is not applied yet is released when it is applied.
            Phase::Arrived
            | Phase::Metered
            | Phase::Claiming
            | Phase::Following { .. }
            | Phase::Releasing { .. }
            | Phase::Running { .. } => {}
        }
        self.pending_claims.release(operation, request.head.id);
    }

    /// Returns whether this host may run a request: it has no operation, or the replicated state
    /// has this host's claim without an outcome.
    pub fn may_run(&self, request: &TrackedRequest) -> bool {
        let Some(operation) = &request.operation else {
            return true;
        };
        self.own_claim(operation)
            .is_some_and(|claim| claim.outcome.is_none())
    }

    /// Refuses a request whose claim is not applied in time; it may not run without one.
    pub fn tick_claiming(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if now >= request.deadline_at {
            let message = "the deadline passed before the claim was read back";
            let refusal = Refusal::new(ErrorKind::DeadlinePassed, message)
                .with_retry_after(LOG_RETRY_AFTER_MS);
            self.refuse(now, id, refusal, fx);
            return;
        }
        let too_long = now.since(request.phase_since) > CLAIM_TIMEOUT_MS;
        if too_long || self.pending_claims.log_unreachable_ms(now) > MAX_LOG_OUTAGE_MS {
            self.refuse(now, id, log_unavailable(), fx);
        }
    }

    /// Asks again for the outcome of an operation, and refuses the request at its deadline.
    pub fn tick_following(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let overdue = self
            .requests
            .get(id)
            .is_some_and(|request| now >= request.deadline_at);
        if !overdue {
            self.claim_or_follow(now, id, fx);
            return;
        }
        let message = "an earlier request with this key has no outcome yet";
        let refusal =
            Refusal::new(ErrorKind::OutcomeUnknown, message).with_retry_after(LOG_RETRY_AFTER_MS);
        self.refuse(now, id, refusal, fx);
    }

    /// Stops waiting for the release of a claim. The key may remain claimed, so the caller is told
    /// that the outcome is unknown instead of that the operation did not run.
    pub fn tick_releasing(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let waited = now.since(request.phase_since) > MIN_RELEASE_WAIT_MS;
        if waited && now >= request.deadline_at {
            self.send_refusal(now, id, not_released(), fx);
        }
    }

    fn own_claim(&self, operation: &OperationKey) -> Option<&Claim> {
        let claim = self.shared.claims.get(operation)?;
        (claim.claimant == self.config.me).then_some(claim)
    }

    fn end_claim(&mut self, operation: &OperationKey, outcome: ClaimOutcome) {
        self.pending_claims.queue_end(ClaimEnd {
            operation: operation.clone(),
            outcome,
        });
    }
}

fn log_unavailable() -> Refusal {
    let message = "the log cannot be reached, and the operation is claimed there before it runs";
    Refusal::new(ErrorKind::LogUnavailable, message).with_retry_after(LOG_RETRY_AFTER_MS)
}

fn not_released() -> Refusal {
    let message = "the operation was not run here, but its key could not be released";
    Refusal::new(ErrorKind::OutcomeUnknown, message).with_retry_after(LOG_RETRY_AFTER_MS)
}

fn claimant_gone(claim: &Claim) -> Refusal {
    let message = match claim.outcome {
        Some(ClaimOutcome::Answered) => {
            "the operation ran and was answered; the host that has the answer is gone"
        }
        _ => "the host that claimed the operation is gone; the operation may have run",
    };
    Refusal::new(ErrorKind::OutcomeUnknown, message)
}
