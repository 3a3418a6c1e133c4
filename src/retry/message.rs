//! Messages between hosts about requests that were running when upstreams crashed.

use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::retry::crash_ledger::CrashId;

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

/// Report of a host to its parent, which is a relay or the orderer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Evidence that the host has not reported yet.
    pub evidence: Vec<Evidence>,
    /// Checksum over the evidence that the host has, from `CrashLedger::checksum`.
    pub known: u64,
}

/// Answer of a parent to a [`CrashReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Evidence on requests that were running at more than one crash; empty if the child's checksum
    /// equals the parent's.
    pub evidence: Vec<Evidence>,
    /// Checksum over the evidence that the parent has, from `CrashLedger::checksum`.
    pub known: u64,
}
