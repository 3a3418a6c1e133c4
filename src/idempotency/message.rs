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
