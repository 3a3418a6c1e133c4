//! Messages about claims and the state of operations, on the log and between hosts.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Identifies an operation. The same key of another brand, or for another service, identifies
/// another operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationKey {
    /// The brand of the caller.
    pub brand: Arc<str>,
    /// The service or model that is called.
    pub service: Arc<str>,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: Arc<str>,
}

/// A claim to run an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The operation to claim.
    #[serde(flatten)]
    pub operation: OperationKey,
    /// SHA-256 of method, path and body as hex digits, to refuse another request with the same key.
    pub request_sha256: Arc<str>,
    /// How long the claim is kept after it was recorded, by the log's clock.
    pub keep_ms: Millis,
}

/// The outcome of a claimed operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The operation ran and was answered.
    Answered,
    /// The operation certainly did not run; its key may be claimed again.
    NotRun,
    /// The operation may have run.
    Unknown,
}

/// The end of a claim, as recorded on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// The claimed operation.
    #[serde(flatten)]
    pub operation: OperationKey,
    /// The outcome of the operation.
    pub outcome: ClaimOutcome,
}

/// An answer that is kept for further requests of the same operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header, if there is one.
    pub content_type: Option<Arc<str>>,
    /// The body of the answer.
    pub body: Arc<[u8]>,
}

/// The state of an operation, as stated by the host that claimed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperationState {
    /// The operation is being claimed, waits, or runs.
    Running,
    /// The operation ran and was answered.
    Answered(KeptAnswer),
    /// The operation ran and was answered, but the answer is not kept.
    AnswerNotKept,
    /// The operation certainly did not run; its claim is being released.
    NotRun,
    /// The operation may have run.
    Unknown,
}
