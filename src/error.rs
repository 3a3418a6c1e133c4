//! The complete list of error kinds that callers and operators see, with the HTTP answer to each.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// The reason for which a request or an operator's command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The credential is missing, or belongs to no brand or operator.
    BadCredential,
    /// The credential does not allow this call.
    Forbidden,
    /// The table has no row for this brand and model or service.
    UnknownModel,
    /// There is no resource at the path.
    NotFound,
    /// The request body is larger than allowed.
    BodyTooLarge,
    /// The request line and headers are larger than allowed.
    HeadTooLarge,
    /// The request did not arrive completely.
    RequestIncomplete,
    /// The request limit of the row of the table is reached.
    RowLimit,
    /// The organisation's rate limit is reached.
    RateLimited,
    /// Upstreams crashed each time they ran the request, so it is no longer sent to any.
    Quarantined,
    /// A queue that the request needs is full.
    Overloaded,
    /// The model cannot be loaded before the deadline.
    ColdStartTooLong,
    /// No upstream can load the model now.
    NoCapacity,
    /// No host in reach has a path to an upstream that could serve the request.
    Unreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// This host cannot verify that its state is up to date.
    CutOff,
    /// This host has not yet applied the log up to its end since it started.
    Starting,
    /// The call needs the log, which cannot be reached.
    LogUnavailable,
    /// This host is stopping.
    Stopping,
    /// The upstream failed before it ran anything.
    UpstreamFailed,
    /// The upstream may have run the operation, but its answer is lost.
    OutcomeUnknown,
    /// The upstream did not answer within the time limit of the request, and may have run it.
    AnswerTimeout,
    /// The upstream's answer ended after its start but before it was complete.
    AnswerBroken,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The edit is based on an outdated version of what it changes.
    EditConflict,
    /// The edit would make the table invalid.
    EditInvalid,
    /// The edit is in the log but not yet confirmed by every host.
    EditPending,
    /// This process has a defect.
    Internal,
    /// No host in reach knows which software version began the stream that is taken up.
    StreamVersionUnknown,
    /// No upstream of the software version that began the stream serves any more.
    StreamVersionGone,
}

/// Whether any part of a request was run, as told to the caller, who decides by it about a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing was run; a retry repeats no effect.
    NotRun,
    /// The request may have been run, completely or in part.
    Unknown,
}

/// The answer that belongs to an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Whether the same request may succeed later, or at another host.
    pub retryable: bool,
    /// What the caller can do, as a short phrase.
    pub advice: &'static str,
}

impl ErrorKind {
    /// Every kind, in the order in which the documentation lists them.
    pub const ALL: [Self; 31] = [
        Self::BadRequest,
        Self::BadCredential,
        Self::Forbidden,
        Self::UnknownModel,
        Self::NotFound,
        Self::BodyTooLarge,
        Self::HeadTooLarge,
        Self::RequestIncomplete,
        Self::RowLimit,
        Self::RateLimited,
        Self::Quarantined,
        Self::Overloaded,
        Self::ColdStartTooLong,
        Self::NoCapacity,
        Self::Unreachable,
        Self::DeadlinePassed,
        Self::CutOff,
        Self::Starting,
        Self::LogUnavailable,
        Self::Stopping,
        Self::UpstreamFailed,
        Self::OutcomeUnknown,
        Self::AnswerTimeout,
        Self::AnswerBroken,
        Self::KeyReused,
        Self::EditConflict,
        Self::EditInvalid,
        Self::EditPending,
        Self::Internal,
        Self::StreamVersionUnknown,
        Self::StreamVersionGone,
    ];

    /// Returns the kind's name as it is written in answers, metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadCredential => "bad_credential",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown_model",
            Self::NotFound => "not_found",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::RequestIncomplete => "request_incomplete",
            Self::RowLimit => "row_limit",
            Self::RateLimited => "rate_limited",
            Self::Quarantined => "quarantined",
            Self::Overloaded => "overloaded",
            Self::ColdStartTooLong => "cold_start_too_long",
            Self::NoCapacity => "no_capacity",
            Self::Unreachable => "unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::CutOff => "cut_off",
            Self::Starting => "starting",
            Self::LogUnavailable => "log_unavailable",
            Self::Stopping => "stopping",
            Self::UpstreamFailed => "upstream_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::AnswerTimeout => "answer_timeout",
            Self::AnswerBroken => "answer_broken",
            Self::KeyReused => "key_reused",
            Self::EditConflict => "edit_conflict",
            Self::EditInvalid => "edit_invalid",
            Self::EditPending => "edit_pending",
            Self::Internal => "internal",
            Self::StreamVersionUnknown => "stream_version_unknown",
            Self::StreamVersionGone => "stream_version_gone",
        }
    }

    /// Returns the answer that belongs to this kind.
    pub const fn answer(self) -> ErrorAnswer {
        use Ran::{NotRun, Unknown};
        match self {
            Self::BadRequest => line(400, NotRun, false, "correct the request"),
            Self::BadCredential => line(401, NotRun, false, "send a valid credential"),
            Self::Forbidden => line(403, NotRun, false, "use a credential that allows this call"),
            Self::UnknownModel => line(
                404,
                NotRun,
                false,
                "ask the operator for a row for this brand and model",
            ),
            Self::NotFound => line(404, NotRun, false, "see the documentation for the paths"),
            Self::BodyTooLarge => line(413, NotRun, false, "send a smaller body"),
            Self::HeadTooLarge => line(431, NotRun, false, "send fewer or shorter headers"),
            Self::RequestIncomplete => line(408, NotRun, true, "send the whole request"),
            Self::RowLimit => line(429, NotRun, true, "come back after the given time"),
            Self::RateLimited => line(429, NotRun, true, "come back after the given time"),
            Self::Quarantined => line(
                503,
                NotRun,
                false,
                "do not send this request again before the given time",
            ),
            Self::Overloaded => line(503, NotRun, true, "come back after the given time"),
            Self::ColdStartTooLong => {
                line(503, NotRun, true, "come back once the model can be ready")
            }
            Self::NoCapacity => line(503, NotRun, true, "come back after the given time"),
            Self::Unreachable => line(503, NotRun, true, "come back after the given time"),
            Self::DeadlinePassed => line(504, NotRun, true, "come back after the given time"),
            Self::CutOff => line(503, NotRun, true, "try another address"),
            Self::Starting => line(503, NotRun, true, "try another address"),
            Self::LogUnavailable => line(503, NotRun, true, "come back once the log is back"),
            Self::Stopping => line(503, NotRun, true, "ask for the entry hosts again"),
            Self::UpstreamFailed => line(502, NotRun, true, "try again"),
            Self::OutcomeUnknown => {
                line(502, Unknown, false, "check with the service whether it ran")
            }
            Self::AnswerTimeout => {
                line(504, Unknown, false, "check with the service whether it ran")
            }
            Self::AnswerBroken => line(502, Unknown, true, "discard the partial answer"),
            Self::KeyReused => line(409, NotRun, false, "use a new key for a new request"),
            Self::EditConflict => {
                line(409, NotRun, false, "read the table again and redo the edit")
            }
            Self::EditInvalid => line(422, NotRun, false, "correct the edit"),
            Self::EditPending => line(
                202,
                Unknown,
                true,
                "repeat the command with the same edit id",
            ),
            Self::Internal => line(500, Unknown, false, "report this with the request id"),
            Self::StreamVersionUnknown => line(
                503,
                NotRun,
                true,
                "take the stream up again after the given time, or begin anew",
            ),
            Self::StreamVersionGone => line(503, NotRun, false, "begin the stream anew"),
        }
    }
}

/// Builds the answer of one line of the table in [`ErrorKind::answer`].
const fn line(status: u16, ran: Ran, retryable: bool, advice: &'static str) -> ErrorAnswer {
    ErrorAnswer {
        status,
        ran,
        retryable,
        advice,
    }
}

/// A final answer that reports an error instead of a result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// What happened, as a short text for people.
    pub message: String,
    /// How long the caller should wait before a retry.
    pub retry_after_ms: Option<Millis>,
    /// Whether anything was run; [`Refusal::new`] takes it from the answer of the kind.
    pub ran: Ran,
    /// Addresses of other hosts that the caller can try.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub try_hosts: Vec<std::sync::Arc<str>>,
}

impl Refusal {
    /// Creates a refusal whose `ran` is that of the kind's answer, without a time for a retry.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
            ran: kind.answer().ran,
            try_hosts: Vec::new(),
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
