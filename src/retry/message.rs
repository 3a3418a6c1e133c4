//! Messages between hosts about requests that were running when upstreams crashed.

use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::retry::crash_ledger::CrashId;
use crate::retry::shared_cause::{SharedCause, VersionTag};

/// Evidence on one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// The crashes at which it was running.
    pub crashes: Vec<Crash>,
    /// Whether an upstream has completed it.
    pub is_cleared: bool,
    /// Time since its last crash.
    pub age_ms: Millis,
}

/// A crash, as evidence on one of the requests that were running at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which start of an upstream crashed.
    pub id: CrashId,
    /// Whether other requests are known to have been running too.
    pub is_shared: bool,
}

/// Evidence on something that requests share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedEvidence {
    /// What the requests share.
    pub cause: SharedCause,
    /// The crashes of upstreams that ran requests with it.
    pub crashes: Vec<SharedCrash>,
    /// The software versions at which upstreams have answered on it.
    pub cleared: Vec<VersionTag>,
    /// The software versions at which it was tried after it had been held back.
    pub tried: Vec<VersionTag>,
    /// Time since the last crash.
    pub age_ms: Millis,
}

/// A crash, as evidence on something that a request there shares with others.
///
/// It is written as a list, since the lease record has little room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(CrashId, VersionTag, u16, bool)",
    into = "(CrashId, VersionTag, u16, bool)"
)]
pub struct SharedCrash {
    /// Which start of an upstream crashed.
    pub id: CrashId,
    /// Its software version.
    pub version: VersionTag,
    /// Stands for the request; equal for its repeats.
    pub request: u16,
    /// Whether the request was sent after its host had learned of an earlier crash with the cause.
    pub is_after_crash: bool,
}

impl From<(CrashId, VersionTag, u16, bool)> for SharedCrash {
    fn from((id, version, request, is_after_crash): (CrashId, VersionTag, u16, bool)) -> Self {
        Self {
            id,
            version,
            request,
            is_after_crash,
        }
    }
}

impl From<SharedCrash> for (CrashId, VersionTag, u16, bool) {
    fn from(crash: SharedCrash) -> Self {
        (crash.id, crash.version, crash.request, crash.is_after_crash)
    }
}

/// Report of a host to its parent, which is a relay or the orderer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Evidence that the host has not reported yet.
    pub evidence: Vec<Evidence>,
    /// Evidence on what requests share that the host has not reported yet.
    pub shared: Vec<SharedEvidence>,
    /// Checksums over the evidence that the host has.
    pub known: EvidenceChecksums,
}

/// Checksums over evidence, equal on hosts with the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceChecksums {
    /// That on requests, from `CrashLedger::checksum`.
    pub requests: u64,
    /// That on what requests share, from `SharedLedger::checksum`.
    pub shared: u64,
}

/// Answer of a parent to a [`CrashReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Evidence on requests that were running at more than one crash; empty if the child's checksum
    /// equals the parent's.
    pub evidence: Vec<Evidence>,
    /// The same on what requests share.
    pub shared: Vec<SharedEvidence>,
    /// Checksums over the evidence that the parent has.
    pub known: EvidenceChecksums,
}
