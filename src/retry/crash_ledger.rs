//! Decides which requests crash the upstreams that run them, from all known crashes and the
//! requests that were running at each.
//!
//! One crash says little about one request: engines run dozens of requests at once, and they also
//! crash for other reasons. Evidence from any number of hosts is merged; the result depends neither
//! on the order nor on repetition.

use crate::prelude::*;
use crate::rendezvous;
use crate::retry::RequestDigest;
use crate::retry::message::{Crash, Evidence};
use crate::upstreams::Lifetime;
use std::cmp::Reverse;
use std::fmt;

/// Crashes after which a request is the cause if no other request was running at any of them.
const MIN_CRASHES_ALONE: usize = 3;
/// Crashes after which a request is the cause if others were running too. A harmless request that
/// the host retries once and its caller repeats once is at four crashes at most.
const MIN_CRASHES_SHARED: usize = 4;
/// Crashes after which a request is the cause even if the same other requests were running at all
/// of them.
pub const MIN_CRASHES_CERTAIN: usize = 5;
/// Maximum number of crashes kept for a request: those that hosts see before they have exchanged
/// evidence.
const MAX_CRASHES: usize = 8;
/// How long a request stays in the ledger after its last crash: time enough to replace the engines'
/// software.
pub const RETENTION_MS: Millis = Millis(3_600_000);
/// Maximum number of requests in the ledger. When a data centre is lost, most of the requests that
/// were running there are left out.
const MAX_REQUESTS: usize = 256;
/// Maximum number of requests in one message.
pub const MAX_REQUESTS_PER_MESSAGE: usize = 32;

/// Identifies one start of an upstream, which can crash only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the id of the crash that ends this start of an upstream.
    pub fn of(upstream: &Lifetime) -> Self {
        Self(rendezvous::score(
            upstream.id.as_bytes(),
            upstream.born_at.0,
        ))
    }

    /// Returns a hash of the id and `number`.
    pub fn hash_with(self, number: u64) -> u64 {
        rendezvous::score(&self.0.to_le_bytes(), number)
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Evidence on one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Suspect {
    /// The crashes at which the request was running, each with whether other requests were running
    /// too. If there are more than [`MAX_CRASHES`], those with the lowest ids are kept, so that the
    /// result does not depend on the order in which a host learns of them.
    crashes: IndexMap<CrashId, bool>,
    /// Whether an upstream has completed the request. Then it is not the cause of any crash.
    is_cleared: bool,
    last_crash_at: Millis,
}

impl Suspect {
    /// Adds a crash, or marks a known one as shared with other requests. Returns whether anything
    /// changed.
    fn add(&mut self, crash: CrashId, is_shared: bool) -> bool {
        if let Some(known) = self.crashes.get_mut(&crash) {
            return !std::mem::replace(known, *known | is_shared) && is_shared;
        }
        if !self.has_room_for(crash) {
            return false;
        }
        self.crashes.insert_sorted(crash, is_shared);
        self.crashes.truncate(MAX_CRASHES);
        true
    }

    fn has_room_for(&self, crash: CrashId) -> bool {
        let highest = self.crashes.last().map(|(highest, _)| *highest);
        self.crashes.len() < MAX_CRASHES || highest.is_some_and(|highest| crash < highest)
    }

    /// Returns whether other hosts need evidence on this request: they may have seen other crashes
    /// of it, or have seen it complete.
    fn is_published(&self) -> bool {
        self.crashes.len() > 1
    }

    fn checksum(&self) -> u64 {
        let crashes = self.crashes.iter();
        let crashes = crashes.fold(0, |sum, (crash, is_shared)| {
            sum ^ crash.0.rotate_left(u32::from(*is_shared))
        });
        crashes ^ u64::from(self.is_cleared)
    }

    fn was_always_alone(&self) -> bool {
        !self.crashes.values().any(|is_shared| *is_shared)
    }

    /// Returns whether this request was running at every crash of another one, so that it may be
    /// the cause of these.
    fn covers_crashes_of(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.keys();
        !self.is_cleared && crashes.all(|crash| self.crashes.contains_key(crash))
    }
}

/// The requests that were running at crashes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CrashLedger {
    suspects: IndexMap<RequestDigest, Suspect>,
    /// Requests on which evidence is sent to other hosts, those with the most crashes first.
    published: Vec<RequestDigest>,
    /// Checksum over the evidence on the requests in `published`.
    checksum: u64,
}

impl CrashLedger {
    /// Merges evidence into the ledger. Returns whether anything changed.
    pub fn merge(&mut self, now: Millis, evidence: &Evidence) -> bool {
        if evidence.age_ms >= RETENTION_MS || self.has_all(evidence) {
            return false;
        }
        let is_known = self.suspects.contains_key(&evidence.digest);
        if !is_known {
            self.make_room();
        }
        let mut is_changed = false;
        for crash in evidence.crashes.iter().take(MAX_CRASHES) {
            let is_shared = crash.is_shared | self.mark_shared(&evidence.digest, crash.id);
            is_changed |= self.suspect_mut(evidence.digest).add(crash.id, is_shared);
        }
        let suspect = self.suspect_mut(evidence.digest);
        is_changed |= evidence.is_cleared && !suspect.is_cleared;
        suspect.is_cleared |= evidence.is_cleared;
        suspect.last_crash_at = suspect.last_crash_at.max(now - evidence.age_ms);
        if is_changed {
            self.update_published();
        }
        is_changed
    }

    /// Returns whether the ledger already contains this evidence, as it does with most of what
    /// hosts send to each other.
    fn has_all(&self, evidence: &Evidence) -> bool {
        let Some(suspect) = self.suspects.get(&evidence.digest) else {
            return false;
        };
        let is_known = |crash: &Crash| match suspect.crashes.get(&crash.id) {
            Some(is_shared) => *is_shared || !crash.is_shared,
            None => !suspect.has_room_for(crash.id),
        };
        (suspect.is_cleared || !evidence.is_cleared) && evidence.crashes.iter().all(is_known)
    }

    fn suspect_mut(&mut self, digest: RequestDigest) -> &mut Suspect {
        self.suspects.entry(digest).or_insert_with(|| Suspect {
            crashes: IndexMap::new(),
            is_cleared: false,
            last_crash_at: Millis::ZERO,
        })
    }

    /// Marks a crash as shared for all other requests that were running at it. Returns whether
    /// there are any.
    fn mark_shared(&mut self, digest: &RequestDigest, crash: CrashId) -> bool {
        let mut has_others = false;
        for (other, suspect) in &mut self.suspects {
            if other != digest
                && let Some(is_shared) = suspect.crashes.get_mut(&crash)
            {
                *is_shared = true;
                has_others = true;
            }
        }
        has_others
    }

    /// Makes room for one request. Completed requests are removed first, then those with the fewest
    /// crashes, then the oldest.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, suspect)| {
            (
                !suspect.is_cleared,
                suspect.crashes.len(),
                suspect.last_crash_at,
            )
        });
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.swap_remove(&digest);
        }
    }

    /// Removes requests whose last crash is older than [`RETENTION_MS`].
    pub fn expire(&mut self, now: Millis) {
        let count = self.suspects.len();
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash_at) < RETENTION_MS);
        if self.suspects.len() != count {
            self.update_published();
        }
    }

    /// Returns whether a request is known to have been running at a crash.
    pub fn contains(&self, digest: &RequestDigest) -> bool {
        self.suspects.contains_key(digest)
    }

    /// Returns until when a request must not be sent, because it crashes the upstreams that run it;
    /// `None` for all other requests.
    ///
    /// Fewer crashes suffice for a request that was always alone. A request is not the cause while
    /// another one was running at all its crashes too: after a crash, hosts resend an engine's
    /// requests together to the next engine that has the model, so harmless requests accompany the
    /// cause.
    pub fn quarantined_until(&self, digest: &RequestDigest) -> Option<Millis> {
        let suspect = self.suspects.get(digest)?;
        let count = suspect.crashes.len();
        let is_cause = count >= MIN_CRASHES_CERTAIN
            || (count >= MIN_CRASHES_SHARED && !self.has_other_suspect(digest, suspect))
            || (count >= MIN_CRASHES_ALONE && suspect.was_always_alone() && !self.is_truncated());
        (is_cause && !suspect.is_cleared).then_some(suspect.last_crash_at + RETENTION_MS)
    }

    /// Returns whether so many requests were running at crashes that other hosts do not get
    /// evidence on all of them.
    fn is_truncated(&self) -> bool {
        self.published.len() >= MAX_REQUESTS_PER_MESSAGE
    }

    /// Returns whether another request may be the cause of all crashes of a suspect.
    fn has_other_suspect(&self, digest: &RequestDigest, suspect: &Suspect) -> bool {
        let mut others = self.suspects.iter().filter(|(other, _)| *other != digest);
        others.any(|(_, other)| other.covers_crashes_of(suspect))
    }

    /// Returns a checksum over what [`Self::published`] returns. It is equal on hosts with the same
    /// evidence.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the evidence to send to other hosts: on at most [`MAX_REQUESTS_PER_MESSAGE`]
    /// requests that were running at more than one crash, those with the most crashes first.
    pub fn published(&self, now: Millis) -> Vec<Evidence> {
        let published = self.published.iter();
        published
            .filter_map(|digest| self.evidence(now, digest))
            .collect()
    }

    /// Returns the evidence on one request.
    pub fn evidence(&self, now: Millis, digest: &RequestDigest) -> Option<Evidence> {
        let suspect = self.suspects.get(digest)?;
        Some(evidence(now, digest, suspect))
    }

    /// Recomputes which evidence is sent to other hosts. The order does not depend on times, which
    /// differ between hosts.
    fn update_published(&mut self) {
        let suspects = self.suspects.iter();
        let mut published: Vec<_> = suspects
            .filter(|(_, suspect)| suspect.is_published())
            .collect();
        published.sort_by_key(|(digest, suspect)| {
            Reverse((!suspect.is_cleared, suspect.crashes.len(), **digest))
        });
        published.truncate(MAX_REQUESTS_PER_MESSAGE);
        self.checksum = published.iter().fold(0, |checksum, (digest, suspect)| {
            checksum ^ digest.hash_with(suspect.checksum())
        });
        self.published = published.into_iter().map(|(digest, _)| *digest).collect();
    }
}

fn evidence(now: Millis, digest: &RequestDigest, suspect: &Suspect) -> Evidence {
    let crashes = suspect.crashes.iter().map(|(id, is_shared)| Crash {
        id: *id,
        is_shared: *is_shared,
    });
    Evidence {
        digest: *digest,
        crashes: crashes.collect(),
        is_cleared: suspect.is_cleared,
        age_ms: now.since(suspect.last_crash_at),
    }
}
