//! Collects what happens to a request, for its log line and the metrics.

use crate::entry::active_request::{ActiveRequest, Origin};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{ModelRef, Platform};
use crate::entry::served::Goals;
use crate::entry::served_metrics::WaitCause;
use crate::http1::{Framing, ReadError};
use crate::prelude::*;
use crate::retry::RequestDigest;

/// How the answer to a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is complete; the caller's connection can be used again.
    Complete,
    /// The answer broke off; the caller's connection must be closed.
    Broken,
}

/// What told a host that the body of an upstream's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyEnd {
    /// The answer has no body.
    Empty,
    /// All bytes of its length were read.
    Length,
    /// Its last chunk was read.
    LastChunk,
    /// The connection was closed, before the end if the body has a length or chunks.
    ConnectionClosed,
    /// The connection broke.
    ConnectionBroken,
    /// A chunk was malformed.
    Malformed,
}

impl BodyEnd {
    /// Returns what ends a body with this framing that was read to its end.
    pub fn of_whole(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Self::Empty,
            Framing::Length(_) => Self::Length,
            Framing::Chunked => Self::LastChunk,
            Framing::UntilClose => Self::ConnectionClosed,
        }
    }

    /// Returns what ended a body that could not be read on.
    pub fn of_error(error: &ReadError) -> Self {
        match error {
            ReadError::Ended => Self::ConnectionClosed,
            ReadError::Broken { .. } => Self::ConnectionBroken,
            ReadError::RequestHead { .. }
            | ReadError::AnswerHead { .. }
            | ReadError::Chunk { .. }
            | ReadError::NotOwn => Self::Malformed,
        }
    }
}

/// The fields of a request's log line, filled in while the request is served.
#[derive(Debug, Default, Serialize)]
pub struct RequestSummary {
    /// The request's id.
    pub request: Option<Name>,
    /// The digest that is equal for repeats of the request.
    pub digest: Option<RequestDigest>,
    /// The organisation that sent the request.
    pub organisation: Option<Name>,
    /// The name of the request's route.
    pub route: Option<Name>,
    /// The service that was drawn from the route.
    pub service: Option<Name>,
    /// The priority of the request; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The longest time to the answer or, for a stream, to its first event that is in time.
    pub goal_ms: Option<Millis>,
    /// Whether the whole answer met the goals of the route; none if there is no whole answer.
    pub in_time: Option<bool>,
    /// The version of the desired state that the request was served under.
    pub version: u64,
    /// The model and adapter that the request asks for.
    pub model: Option<ModelRef>,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The upstreams that the request was sent to, and the addresses of hosts that it was offered
    /// to, with the outcome of each. The outcome is
    /// `under_way` if the caller disconnected before it was known.
    pub sends: Vec<(Name, &'static str)>,
    /// How long the request waited for an upstream that could take it.
    pub waited_ms: Millis,
    /// How long a long prompt waited until its engine read no other one.
    pub turn_ms: Millis,
    /// How long the request waited because its organisation's rate limit was reached.
    pub limit_wait_ms: Millis,
    /// The status of the final answer.
    pub status: u16,
    /// Why the request was refused or failed.
    pub why: Option<&'static str>,
    /// After how long the caller was told to retry.
    pub come_back_ms: Option<Millis>,
    /// The time from the request's arrival to the first byte of the answer.
    pub first_byte_ms: Option<Millis>,
    /// The longest time between two pieces of the answer.
    pub longest_gap_ms: Millis,
    /// The number of events of a stream that were passed on.
    pub events: u32,
    /// What told that the last upstream's answer ended; none if the host ended it.
    pub body_end: Option<BodyEnd>,
    /// The bytes of an incomplete event that the body of a stream ended with.
    #[serde(skip_serializing_if = "is_zero")]
    pub partial_event_bytes: usize,
    /// The time from the request's arrival to the end of the answer.
    pub whole_ms: Millis,
    /// How long the caller is willing to wait, as its request says.
    pub wait_ms: Option<Millis>,
    /// Whether another host handed the request to this one.
    #[serde(skip_serializing_if = "is_false")]
    pub handed: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Writes a request's log line and counts it in the metrics when it is dropped, however the request
/// ended.
pub struct RequestLog<'a, P: Platform> {
    host: &'a Host<P>,
    arrived_at: Millis,
    /// The fields of the log line.
    pub summary: RequestSummary,
    /// How the request ended; none if the caller disconnected before.
    pub outcome: Option<&'static str>,
    /// The goals of the request's route, once that is known.
    goals: Option<Goals>,
}

impl<'a, P: Platform> RequestLog<'a, P> {
    /// Counts a request that arrived at `arrived_at` as active, until this is dropped.
    pub fn new(host: &'a Host<P>, arrived_at: Millis) -> Self {
        host.active_requests.set(host.active_requests.get() + 1);
        Self {
            host,
            arrived_at,
            summary: RequestSummary::default(),
            outcome: None,
            goals: None,
        }
    }

    /// Sets the fields that are known once the request's route is.
    pub fn note_request(&mut self, request: &ActiveRequest) {
        self.goals = Some(Goals::of(&request.route));
        let summary = &mut self.summary;
        summary.service = Some(request.service.clone());
        summary.rank = Some(request.rank());
        summary.goal_ms = Some(request.route.goal_ms);
        summary.request = request.facts.id.clone();
        summary.digest = Some(request.causes.digest);
        summary.organisation = request.organisation().cloned();
        summary.route = Some(request.route.name.clone());
        summary.version = request.version;
        summary.model = request.facts.model.clone();
        summary.prompt_tokens = request.facts.prompt_tokens;
        summary.wait_ms = request.facts.wait_ms;
        summary.handed = matches!(request.origin, Origin::Host { .. });
    }
}

impl<P: Platform> RequestLog<'_, P> {
    /// Counts the request by its route, rank and organisation. Another host that handed the request
    /// to this one counts it itself.
    fn count_served(&mut self, outcome: &str) {
        let summary = &mut self.summary;
        let (Some(goals), Some(route), Some(rank)) = (self.goals, &summary.route, summary.rank)
        else {
            return;
        };
        let (first_byte_ms, gap_ms) = (summary.first_byte_ms, summary.longest_gap_ms);
        let served = goals.served(outcome, summary.status, first_byte_ms, gap_ms);
        summary.in_time = served.in_time();
        if summary.handed {
            return;
        }
        let metrics = &self.host.metrics.served;
        metrics.count(route, rank, summary.organisation.as_ref(), served);
        let waits = [
            (WaitCause::Limit, summary.limit_wait_ms),
            (WaitCause::Model, summary.waited_ms),
            (WaitCause::Turn, summary.turn_ms),
        ];
        for (cause, wait_ms) in waits {
            metrics.record_wait(rank, cause, wait_ms);
        }
    }
}

impl RequestSummary {
    /// Adds a send to an upstream that begins, with the outcome `under_way`.
    pub fn note_send(&mut self, upstream: &Name) {
        self.sends.push((upstream.clone(), "under_way"));
    }

    /// Records how the body of an upstream's answer ended, and how many bytes of an incomplete event
    /// came before.
    pub fn note_body_end(&mut self, end: BodyEnd, partial_event_bytes: usize) {
        self.body_end = Some(end);
        self.partial_event_bytes = partial_event_bytes;
    }

    /// Sets the outcome of the send that began last.
    pub fn note_result(&mut self, result: &'static str) {
        if let Some((_, last)) = self.sends.last_mut() {
            *last = result;
        }
    }
}

impl<P: Platform> Drop for RequestLog<'_, P> {
    fn drop(&mut self) {
        let host = self.host;
        host.active_requests.set(host.active_requests.get() - 1);
        self.summary.whole_ms = host.now().since(self.arrived_at);
        let outcome = self.outcome.unwrap_or("caller_gone");
        if let ("answered", Some(route)) = (outcome, &self.summary.route)
            && self.summary.status < 500
        {
            let mut durations = host.answer_durations.borrow_mut();
            durations.note(route, self.summary.whole_ms);
        }
        self.count_served(outcome);
        let RequestSummary {
            first_byte_ms,
            whole_ms,
            ..
        } = self.summary;
        host.metrics.count_request(outcome, first_byte_ms, whole_ms);
        let event = match outcome {
            "answered" => LogEvent::RequestAnswered,
            "refused" => LogEvent::RequestRefused,
            "caller_gone" => LogEvent::CallerGone,
            _ => LogEvent::RequestFailed,
        };
        lines::write(event, &self.summary);
    }
}
