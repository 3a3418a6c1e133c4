//! What is said about claims.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Names an operation: the brand, the service, and the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationKey {
    /// The brand.
    pub brand: Arc<str>,
    /// The service or model.
    pub service: Arc<str>,
    /// The caller's `Idempotency-Key`.
    pub key: Arc<str>,
}

/// A claim to run an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The operation.
    #[serde(flatten)]
    pub operation: OperationKey,
    /// SHA-256 of method, path and body, as hex digits: the same key must carry the same request.
    pub request_sha256: Arc<str>,
    /// How long the claim is remembered.
    pub keep_ms: Millis,
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// It ran and was answered.
    Answered,
    /// It certainly did not run; the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// The operation.
    #[serde(flatten)]
    pub operation: OperationKey,
    /// How it ended.
    pub outcome: ClaimOutcome,
}

/// An answer that is kept for later arrivals of its operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body's type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// What the host that claimed an operation says of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperationState {
    /// It is claimed, waits, or runs.
    Running,
    /// It was answered.
    Answered(KeptAnswer),
    /// It was answered, and the answer is no longer kept.
    AnswerNotKept,
    /// It certainly did not run; its claim is being released.
    NotRun,
    /// It may have run.
    Unknown,
}
