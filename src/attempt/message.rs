//! The data about requests and attempts that the connections to callers and upstreams exchange
//! with the code that decides.

use crate::clock::Millis;
use crate::idempotency::message::KeptAnswer;
use crate::table::message::Urgency;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The identity of a request, unique within one run of a host's process. Callers see it prefixed
/// with the host's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a request is idempotent, so that an attempt that may have run it can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatable {
    /// The request may run more than once.
    Yes,
    /// The request may run at most once.
    No,
}

/// The kind of target that a request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model or adapter on an engine.
    Model,
    /// A plain service.
    Service,
}

/// The properties of a request by which it is admitted, routed and retried. Its body stays with the
/// task of the caller's connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The identity of the request in this process.
    pub id: RequestId,
    /// The SHA-256 digest of the caller's API key, as hex digits.
    pub key_sha256: Arc<str>,
    /// Whether the request is for a model or for a plain service.
    pub target: TargetKind,
    /// The name of the model, adapter or service.
    pub name: Arc<str>,
    /// How long the caller waits for the answer; that of the row applies if absent.
    pub deadline_ms: Option<Millis>,
    /// Whether the request is idempotent.
    pub repeatable: Repeatable,
    /// The caller's `Idempotency-Key` header.
    pub idempotency_key: Option<Arc<str>>,
    /// The SHA-256 digest of method, path and body, as hex digits.
    pub request_sha256: Arc<str>,
    /// Whether the caller wants the answer as an event stream.
    #[serde(default)]
    pub streamed: bool,
    /// The length of the request's body in bytes.
    pub body_bytes: u64,
    /// Hashes of the prompt's leading blocks, shortest prefix first, for cache affinity.
    #[serde(default)]
    pub prefix_hashes: Vec<u64>,
}

/// An attempt to have one upstream run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The request of which this is an attempt.
    pub request: RequestId,
    /// The number of the attempt within the request, from 1.
    pub number: u32,
    /// The name of the upstream.
    pub upstream: Arc<str>,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The latest time at which the attempt may start. If that time has passed, the host was paused
    /// since it chose the upstream, and the attempt must not start.
    pub begin_by: Millis,
    /// The time at which the request's deadline passes.
    pub deadline_at: Millis,
    /// The time-out for the first byte of the upstream's answer.
    pub first_byte_ms: Millis,
    /// The urgency of the request's row.
    pub urgency: Urgency,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The upstream's answer is complete.
    Answered,
    /// The same for a request that may run at most once; the answer is kept for later requests with
    /// the same idempotency key.
    OperationAnswered(KeptAnswer),
    /// The request certainly did not run, for the given reason: it was not sent, the upstream could
    /// not be connected to, or the upstream said so.
    NotRun(String),
    /// The upstream did not run the request, because it is overloaded.
    Busy(String),
    /// No answer started before the first-byte time-out; the request may have run.
    Silent(String),
    /// The request may have run, and the caller has received no part of an answer.
    Unknown(String),
    /// The answer broke off after its start was sent to the caller, which was told so.
    Broken(String),
    /// The caller closed its connection.
    CallerGone,
}
