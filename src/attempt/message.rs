//! What is said about requests and attempts.

use crate::clock::Millis;
use crate::idempotency::message::KeptAnswer;
use crate::table::message::Urgency;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names a request within one process; callers see it with the host's incarnation before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether running a request twice does the same as running it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatable {
    /// It may be sent again.
    Yes,
    /// It may run at most once.
    No,
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model or adapter on an engine.
    Model,
    /// A plain service.
    Service,
}

/// What the decisions need to know of a request. The body stays with the caller's connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The request.
    pub id: RequestId,
    /// SHA-256 of the API key, as hex digits.
    pub key_sha256: Arc<str>,
    /// What it is for.
    pub target: TargetKind,
    /// The name of the model or service.
    pub name: Arc<str>,
    /// How long the caller waits, when it says so.
    pub deadline_ms: Option<Millis>,
    /// Whether it may be sent again.
    pub repeatable: Repeatable,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<Arc<str>>,
    /// SHA-256 of method, path and body, as hex digits.
    pub request_sha256: Arc<str>,
    /// Whether it asks for its answer as a stream.
    #[serde(default)]
    pub streamed: bool,
    /// The length of its body.
    pub body_bytes: u64,
    /// Hashes of the prompt's leading blocks, shortest prefix first, for cache affinity.
    #[serde(default)]
    pub prefix_hashes: Vec<u64>,
}

/// Which connections an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionChoice {
    /// A kept one when there is one.
    Kept,
    /// A new one, so that the attempt meets no connection that went silent.
    New,
}

/// One attempt of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Which attempt, from 1.
    pub number: u32,
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// Over which connection it goes.
    pub connection: ConnectionChoice,
    /// The attempt must not begin after this point.
    pub begin_by: Millis,
    /// The request's deadline.
    pub deadline_at: Millis,
    /// How long the upstream may take to its first byte.
    pub first_byte_ms: Millis,
    /// Its urgency, passed to the engine.
    pub urgency: Urgency,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The caller has the whole answer.
    Answered,
    /// The same, with the answer to keep for later arrivals of the operation.
    OperationAnswered(KeptAnswer),
    /// Nothing ran: no byte of the request left this host, or the upstream said so.
    NotRun(String),
    /// Nothing ran, since the upstream has too much to do.
    Busy(String),
    /// No answer began within the bound; it may have run.
    Silent(String),
    /// It may have run, and the caller has nothing of an answer.
    Unknown(String),
    /// The answer broke off after the caller had its start; the caller was told.
    Broken(String),
    /// The caller went away.
    CallerGone,
}
