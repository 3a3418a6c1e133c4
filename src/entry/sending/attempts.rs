//! The attempts of one request: which may have run it, and whether another one is allowed.

use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::crashes::holding;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::send::StartedAnswer;
use crate::prelude::*;
use crate::upstreams::Registry;

/// The retry time that a refusal names when there is no better estimate.
pub const RETRY_AFTER_MS: Millis = Millis(500);
/// The retry time that a refusal names when upstreams, or this host, were full.
pub const BUSY_RETRY_AFTER_MS: Millis = Millis(300);
/// How recent the last contact with any upstream must be for a further one to be tried after one
/// could not be reached.
const RECENT_CONTACT_MS: Millis = Millis(1_000);
/// How long a request that waits is not offered again after no other host took it.
const OFFER_AGAIN_MS: Millis = Millis(500);
/// Most sends of one request, also where every upstream says that it did not run it.
const MAX_SENDS: u32 = 4;

/// Returns the refusal of a request for which no host in reach has a path to an upstream.
pub fn unreachable() -> Refusal {
    let why = "no host in reach has a path to an upstream that could serve the request";
    Refusal::new(ErrorKind::Unreachable, why).with_retry_after(RETRY_AFTER_MS)
}

/// The attempts of one request so far.
#[derive(Default)]
pub struct Attempts {
    /// The number of sends of which at least one byte was sent.
    pub sends: u32,
    /// The number of attempts that may have run the request.
    pub runs: u32,
    /// The upstreams that are not tried again; cleared when the request waits for an upstream.
    pub excluded: Vec<Name>,
    /// The excluded upstreams that could not be reached.
    pub unreached: Vec<Name>,
    /// When the first attempt to reach an upstream began that failed.
    pub unreached_since: Option<Millis>,
    /// When no other host took the request.
    pub handoff_declined_at: Option<Millis>,
    /// Whether the request has waited for an upstream.
    pub waited: bool,
    /// The shortest time after which an upstream with a rate limit accepts a request again.
    pub limit_retry_after_ms: Option<Millis>,
    /// The software version that the upstreams must have: that of the stream's first event, where an
    /// interrupted stream goes on.
    pub software_version: Option<Name>,
    /// Whether the request is the trial of a cause that is held back otherwise.
    pub is_trial: bool,
    /// A failure that an upstream answered, kept while another upstream is tried.
    pub failure: Option<Box<StartedAnswer>>,
}

impl Attempts {
    /// Excludes an upstream from further attempts, for example after nothing could be sent to it.
    pub fn exclude(&mut self, upstream: Name) {
        self.excluded.push(upstream);
    }

    /// Returns the attempts as they are after one at `upstream` that may have run the request.
    pub fn after(&self, upstream: &Name) -> Self {
        let excluded = self.excluded.iter().chain([upstream]);
        Self {
            sends: self.sends + 1,
            runs: self.runs + 1,
            excluded: excluded.cloned().collect(),
            software_version: self.software_version.clone(),
            ..Self::default()
        }
    }

    /// Excludes an upstream that could not be reached in an attempt that began at `began_at`.
    pub fn note_unreached(&mut self, upstream: Name, began_at: Millis) {
        self.unreached_since.get_or_insert(began_at);
        self.unreached.push(upstream.clone());
        self.exclude(upstream);
    }

    /// Tells whether the request may be offered to other hosts now.
    pub fn may_offer(&self, now: Millis) -> bool {
        self.handoff_declined_at
            .is_none_or(|at| now.since(at) >= OFFER_AGAIN_MS)
    }

    /// Makes the excluded upstreams eligible again.
    pub fn clear_excluded(&mut self) {
        self.excluded.clear();
        self.unreached.clear();
        self.unreached_since = None;
    }

    /// Makes the upstreams eligible again that could not be reached.
    pub fn clear_unreached(&mut self) {
        let unreached = std::mem::take(&mut self.unreached);
        self.excluded.retain(|id| !unreached.contains(id));
        self.unreached_since = None;
    }

    /// Tells whether a further upstream may be tried after some could not be reached: not without
    /// recent contact with any upstream, since this host may be cut off from all. After one failure a
    /// host that was never in contact may, since it has just started and its silence shows nothing.
    pub fn may_reach_more(&self, upstreams: &Registry) -> bool {
        self.unreached_since
            .is_none_or(|since| match self.unreached.len() {
                0 | 1 => {
                    !upstreams.was_ever_in_contact()
                        || upstreams.has_contact_since(since - RECENT_CONTACT_MS)
                }
                _ => upstreams.has_contact_since(since),
            })
    }

    /// Records that the rate limit of an upstream allows no request for `retry_after_ms`.
    pub fn note_limited(&mut self, upstream: Name, retry_after_ms: Millis) {
        let soonest = self.limit_retry_after_ms.unwrap_or(retry_after_ms);
        self.limit_retry_after_ms = Some(soonest.min(retry_after_ms));
        self.exclude(upstream);
    }

    /// Records an attempt that the upstream says it did not run.
    pub fn note_not_run(&mut self, upstream: Name) {
        self.sends += 1;
        self.exclude(upstream);
    }

    /// Records an attempt that may have run the request.
    pub fn note_may_have_run(&mut self, upstream: Name) {
        self.sends += 1;
        self.runs += 1;
        self.exclude(upstream);
    }

    /// Keeps a failure that an upstream answered, to pass it on if no other attempt succeeds.
    pub fn keep_failure(&mut self, answer: Box<StartedAnswer>) {
        self.note_may_have_run(answer.upstream.id.clone());
        self.failure = Some(answer);
    }

    /// Takes a further send from the service's retry budget. Returns false when the budget, the
    /// route's attempts or `MAX_SENDS` allow none, or when the request may carry the cause of a crash
    /// on.
    pub fn may_repeat<P: Platform>(&self, host: &Host<P>, request: &ActiveRequest) -> bool {
        self.may_send(host, request) && host.take_retry(&request.service)
    }

    /// Tells whether [`Self::may_repeat`] would return true, without taking a retry.
    pub fn could_repeat<P: Platform>(&self, host: &Host<P>, request: &ActiveRequest) -> bool {
        self.may_send(host, request) && host.has_retry(&request.service)
    }

    fn may_send<P: Platform>(&self, host: &Host<P>, request: &ActiveRequest) -> bool {
        self.sends < MAX_SENDS
            && self.runs < request.route.attempts.max(1)
            && (self.runs == 0 || !holding::is_suspected(host, request))
    }

    /// Tells whether another upstream should be tried after a failure that an upstream answered:
    /// the request may run again and has enough time left. The retry budget is charged later, when
    /// the request is sent again.
    pub fn prefers_another<P: Platform>(
        &self,
        host: &Host<P>,
        request: &ActiveRequest,
        answer: &StartedAnswer,
    ) -> bool {
        let may_run_again =
            request.route.repeat == Repeat::Idempotent && self.runs + 1 < request.route.attempts;
        let has_time = host.now() + request.route.goal_ms < request.deadline_at;
        answer.head.status >= 500 && may_run_again && has_time
    }

    /// Returns the refusal for a request that may not be tried again.
    pub fn last_refusal(&self) -> Refusal {
        match self.runs {
            0 if self.sends == 0 && !self.unreached.is_empty() => unreachable(),
            0 => Refusal::new(ErrorKind::Overloaded, "every upstream refused the request")
                .with_retry_after(self.limit_retry_after_ms.unwrap_or(BUSY_RETRY_AFTER_MS)),
            _ => Refusal::new(ErrorKind::OutcomeUnknown, "the upstream's answer is lost"),
        }
    }

    /// Returns the refusal for a request whose time is over.
    pub fn deadline_refusal(&self) -> Refusal {
        match self.runs {
            0 => Refusal::new(ErrorKind::DeadlinePassed, "the request's time is over"),
            _ => Refusal::new(
                ErrorKind::AnswerTimeout,
                "the upstream did not answer in time",
            ),
        }
    }
}
