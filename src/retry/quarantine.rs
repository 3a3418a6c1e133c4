//! One host's evidence on requests that crash upstreams, and its exchange with other hosts.
//!
//! Hosts form a tree: each reports new evidence to its parent (a relay, or the orderer at the root)
//! and gets merged evidence in the answer.

use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::retry::crash_ledger::{
    CrashId, CrashLedger, MAX_REQUESTS_PER_MESSAGE, MIN_CRASHES_CERTAIN,
};
use crate::retry::interrupted_requests::InterruptedRequests;
use crate::retry::message::{Crash, CrashReport, CrashUpdate, Evidence};
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// Maximum number of completed requests that a host remembers: those of about a minute.
const MAX_COMPLETED: usize = 1_024;
/// Minimum interval at which a host resends all its evidence while its parent's checksum differs.
const RESEND_MS: Millis = Millis(5_000);
/// Maximum number of requests whose evidence survives a restart of all processes: what fits in a
/// lease record.
const MAX_PERSISTED: usize = 6;

/// One host's evidence on requests that crash upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ledger: CrashLedger,
    interrupted: InterruptedRequests,
    completed: VecDeque<RequestDigest>,
    unreported: IndexSet<RequestDigest>,
    /// The evidence in the report in flight.
    sent: Vec<Evidence>,
    resent_at: Option<Millis>,
}

impl Quarantine {
    /// Records that a connection to an upstream ended while it ran a request. Returns whether the
    /// upstream is known to have crashed; if not, the caller should find out.
    pub fn note_connection_lost(
        &mut self,
        now: Millis,
        upstream: &Lifetime,
        digest: RequestDigest,
    ) -> bool {
        let has_crashed = self.interrupted.note(now, upstream, digest);
        if has_crashed {
            self.note_crash(now, upstream, digest);
        }
        has_crashed
    }

    /// Records that an upstream crashed. Returns the requests of this host that were running there.
    pub fn note_crashed(&mut self, now: Millis, upstream: &Lifetime) -> Vec<RequestDigest> {
        let digests = self.interrupted.note_crashed(now, upstream);
        for digest in &digests {
            self.note_crash(now, upstream, *digest);
        }
        digests
    }

    fn note_crash(&mut self, now: Millis, upstream: &Lifetime, digest: RequestDigest) {
        let evidence = Evidence {
            digest,
            crashes: vec![Crash {
                id: CrashId::of(upstream),
                is_shared: false,
            }],
            is_cleared: false,
            age_ms: Millis::ZERO,
        };
        self.merge_unreported(now, &evidence);
        self.clear_if_completed(now, digest);
    }

    /// Records that an upstream completed a request.
    pub fn note_completed(&mut self, now: Millis, digest: RequestDigest) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(digest);
        self.clear(now, digest);
    }

    fn clear(&mut self, now: Millis, digest: RequestDigest) {
        if let Some(known) = self.ledger.evidence(now, &digest)
            && !known.is_cleared
        {
            let cleared = Evidence {
                is_cleared: true,
                ..known
            };
            self.merge_unreported(now, &cleared);
        }
    }

    /// Merges evidence, and marks it for the next report to the parent if it is new.
    fn merge_unreported(&mut self, now: Millis, evidence: &Evidence) {
        if self.ledger.merge(now, evidence) {
            self.unreported.insert(evidence.digest);
        }
    }

    /// Returns for how long a request must not be sent, because it crashes the upstreams that run
    /// it; `None` if it may be sent.
    pub fn quarantined_ms(&self, now: Millis, digest: &RequestDigest) -> Option<Millis> {
        let until = self.ledger.quarantined_until(digest)?;
        (now < until).then(|| until - now)
    }

    /// Returns the report for the parent. Its evidence counts as unreported until
    /// [`Self::confirm_report`] is called.
    pub fn report(&mut self, now: Millis) -> CrashReport {
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.unreported.retain(|digest| ledger.contains(digest));
        let unreported = self.unreported.iter().take(MAX_REQUESTS_PER_MESSAGE);
        self.sent = unreported
            .filter_map(|digest| ledger.evidence(now, digest))
            .collect();
        CrashReport {
            evidence: self.sent.clone(),
            known: ledger.checksum(),
        }
    }

    /// Records that the parent received the last report. Evidence that has changed since stays
    /// unreported.
    pub fn confirm_report(&mut self, now: Millis) {
        for sent in std::mem::take(&mut self.sent) {
            let present = self.ledger.evidence(now, &sent.digest);
            let is_same = present.is_some_and(|present| {
                present.crashes == sent.crashes && present.is_cleared == sent.is_cleared
            });
            if is_same {
                self.unreported.swap_remove(&sent.digest);
            }
        }
    }

    /// Merges the report of a child.
    pub fn merge_report(&mut self, now: Millis, report: &CrashReport) {
        for evidence in report.evidence.iter().take(MAX_REQUESTS_PER_MESSAGE) {
            self.merge_unreported(now, evidence);
            self.clear_if_completed(now, evidence.digest);
        }
    }

    /// Returns the answer to a child whose checksum is `known`.
    pub fn build_update(&self, now: Millis, known: u64) -> CrashUpdate {
        let checksum = self.ledger.checksum();
        CrashUpdate {
            evidence: match known == checksum {
                true => Vec::new(),
                false => self.ledger.published(now),
            },
            known: checksum,
        }
    }

    /// Applies the parent's answer to the last report. If the checksums then differ, all evidence
    /// is reported again, at most once in `RESEND_MS`.
    pub fn apply_update(&mut self, now: Millis, update: &CrashUpdate) {
        self.confirm_report(now);
        self.merge_evidence(now, &update.evidence);
        let is_due = self.resent_at.is_none_or(|at| now.since(at) >= RESEND_MS);
        if update.known != self.ledger.checksum() && is_due {
            self.resent_at = Some(now);
            let published = self.ledger.published(now).into_iter();
            self.unreported
                .extend(published.map(|evidence| evidence.digest));
        }
    }

    /// Merges evidence from the parent, or from the lease record of an earlier orderer. It is not
    /// reported back.
    pub fn merge_evidence(&mut self, now: Millis, evidence: &[Evidence]) {
        for evidence in evidence.iter().take(MAX_REQUESTS_PER_MESSAGE) {
            self.ledger.merge(now, evidence);
            self.clear_if_completed(now, evidence.digest);
        }
    }

    fn clear_if_completed(&mut self, now: Millis, digest: RequestDigest) {
        if self.completed.contains(&digest) {
            self.clear(now, digest);
        }
    }

    /// Returns the evidence to store in the lease record, so that it survives a restart of all
    /// processes.
    pub fn persistent_evidence(&self, now: Millis) -> Vec<Evidence> {
        let mut persistent_evidence = self.ledger.published(now);
        persistent_evidence.retain(|evidence| !evidence.is_cleared);
        persistent_evidence.truncate(MAX_PERSISTED);
        for evidence in &mut persistent_evidence {
            evidence.crashes.truncate(MIN_CRASHES_CERTAIN);
        }
        persistent_evidence
    }
}
