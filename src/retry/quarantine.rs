//! One host's evidence on requests that crash upstreams and on what such requests share, and its
//! exchange with other hosts.
//!
//! Hosts form a tree: each reports new evidence to its parent (a relay, or the orderer at the root)
//! and gets merged evidence in the answer.

use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::retry::crash_ledger::{
    CrashId, CrashLedger, MAX_REQUESTS_PER_MESSAGE, MIN_CRASHES_CERTAIN,
};
use crate::retry::interrupted_requests::{InterruptedRequests, InterruptedRun};
use crate::retry::message::{
    Crash, CrashReport, CrashUpdate, Evidence, EvidenceChecksums, SharedEvidence,
};
use crate::retry::shared_cause::{RequestCauses, SharedCause, VersionTag};
use crate::retry::shared_evidence::{HeldChange, SharedCauses};
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// Maximum number of completed requests that a host remembers: those of about a minute.
const MAX_COMPLETED: usize = 1_024;
/// Minimum interval at which a host resends all its evidence while its parent's checksum differs.
const RESEND_MS: Millis = Millis(5_000);
/// Maximum number of requests whose evidence survives a restart of all processes: what fits in a
/// lease record.
const MAX_PERSISTED: usize = 6;

/// Why a request must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// How long this lasts.
    pub left_ms: Millis,
    /// What the request shares with others that crashed upstreams; none if this very request did.
    pub shared: Option<SharedHold>,
}

/// What a request that is held back shares with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedHold {
    /// The cause.
    pub cause: SharedCause,
    /// Other causes in the request that nothing has told apart from it.
    pub together: Vec<SharedCause>,
    /// The crashes that decided.
    pub crashes: Vec<CrashId>,
}

/// One host's evidence on requests that crash upstreams.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Quarantine {
    ledger: CrashLedger,
    shared: SharedCauses,
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
        run: &InterruptedRun,
    ) -> bool {
        let has_crashed = self.interrupted.note(now, upstream, run);
        if has_crashed {
            self.note_crash(now, upstream, std::slice::from_ref(run));
        }
        has_crashed
    }

    /// Records that an upstream crashed. Returns the requests of this host that were running there.
    pub fn note_crashed(&mut self, now: Millis, upstream: &Lifetime) -> Vec<InterruptedRun> {
        let runs = self.interrupted.note_crashed(now, upstream);
        self.note_crash(now, upstream, &runs);
        runs
    }

    fn note_crash(&mut self, now: Millis, upstream: &Lifetime, runs: &[InterruptedRun]) {
        let id = CrashId::of(upstream);
        for run in runs {
            let digest = run.causes.digest;
            let evidence = Evidence {
                digest,
                crashes: vec![Crash {
                    id,
                    is_shared: false,
                }],
                is_cleared: false,
                age_ms: Millis::ZERO,
            };
            self.merge_unreported(now, &evidence);
            self.clear_if_completed(now, digest);
        }
        self.shared.note_crash(now, id, runs);
    }

    /// Records that an upstream completed a request.
    pub fn note_completed(&mut self, now: Millis, digest: RequestDigest) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(digest);
        self.clear(now, digest);
    }

    /// Records that an upstream of a version completed a request, or goes on with its answer after
    /// the beginning.
    pub fn note_answered(&mut self, now: Millis, causes: &RequestCauses, version: VersionTag) {
        self.shared.note_answered(now, &causes.shared, version);
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

    /// Returns for how long a request with this digest must not be sent, because it crashes the
    /// upstreams that run it; `None` if it may be sent.
    pub fn quarantined_ms(&self, now: Millis, digest: &RequestDigest) -> Option<Millis> {
        let until = self.ledger.quarantined_until(digest)?;
        (now < until).then(|| until - now)
    }

    /// Returns why a request must not be sent; `None` if it may be sent. `sole_version` is the
    /// version of all upstreams that could run it, if they have the same.
    pub fn hold(
        &self,
        now: Millis,
        causes: &RequestCauses,
        sole_version: Option<VersionTag>,
    ) -> Option<Hold> {
        if let Some(left_ms) = self.quarantined_ms(now, &causes.digest) {
            return Some(Hold {
                left_ms,
                shared: None,
            });
        }
        let (cause, held) = self.shared.hold(now, &causes.shared, sole_version)?;
        Some(Hold {
            left_ms: held.until - now,
            shared: Some(SharedHold {
                cause,
                together: held.together.clone(),
                crashes: held.crashes.clone(),
            }),
        })
    }

    /// Takes one of the trials of a cause that follow the decision to hold it back. Returns whether a
    /// request with it may be sent.
    pub fn take_early_trial(&mut self, now: Millis, cause: SharedCause) -> bool {
        self.shared.take_early_trial(now, cause)
    }

    /// Takes the only trial of a cause at a software version at which no upstream has crashed with
    /// it yet. Returns whether a request with it may be sent.
    pub fn take_trial(&mut self, now: Millis, cause: SharedCause, version: VersionTag) -> bool {
        self.shared.take_trial(now, cause, version)
    }

    /// Tells whether a request may carry the cause of a crash to a further upstream, so that it must
    /// not be sent a second time.
    pub fn is_suspected(&self, causes: &RequestCauses, sole_version: Option<VersionTag>) -> bool {
        self.shared.is_suspected(&causes.shared, sole_version)
    }

    /// Counts a request that was refused for a shared cause.
    pub fn note_refused(&mut self, cause: SharedCause) {
        self.shared.note_refused(cause);
    }

    /// Returns which shared causes are held back, or no longer, since the last call.
    pub fn take_held_changes(&mut self, now: Millis) -> Vec<HeldChange> {
        self.shared.take_held_changes(now)
    }

    /// Returns how many shared causes are held back.
    pub fn held_count(&self) -> usize {
        self.shared.held_count()
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
            shared: self.shared.report(now),
            known: self.checksums(),
        }
    }

    /// Tells whether there is evidence that no report has brought to another host.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty() || self.shared.has_unreported()
    }

    fn checksums(&self) -> EvidenceChecksums {
        EvidenceChecksums {
            requests: self.ledger.checksum(),
            shared: self.shared.checksum(),
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
        self.shared.confirm_report(now);
    }

    /// Merges the report of a child.
    pub fn merge_report(&mut self, now: Millis, report: &CrashReport) {
        for evidence in report.evidence.iter().take(MAX_REQUESTS_PER_MESSAGE) {
            self.merge_unreported(now, evidence);
            self.clear_if_completed(now, evidence.digest);
        }
        self.shared.merge_report(now, &report.shared);
    }

    /// Returns the answer to a child whose checksums are `known`.
    pub fn build_update(&self, now: Millis, known: EvidenceChecksums) -> CrashUpdate {
        let checksums = self.checksums();
        CrashUpdate {
            evidence: match known.requests == checksums.requests {
                true => Vec::new(),
                false => self.ledger.published(now),
            },
            shared: match known.shared == checksums.shared {
                true => Vec::new(),
                false => self.shared.published(now),
            },
            known: checksums,
        }
    }

    /// Applies the parent's answer to the last report. If the checksums then differ, all evidence
    /// is reported again, at most once in `RESEND_MS`.
    pub fn apply_update(&mut self, now: Millis, update: &CrashUpdate) {
        self.confirm_report(now);
        self.merge_evidence(now, &update.evidence);
        self.merge_shared_evidence(now, &update.shared);
        let is_due = self.resent_at.is_none_or(|at| now.since(at) >= RESEND_MS);
        if update.known != self.checksums() && is_due {
            self.resent_at = Some(now);
            let published = self.ledger.published(now).into_iter();
            self.unreported
                .extend(published.map(|evidence| evidence.digest));
            self.shared.report_all_again();
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

    /// Does the same with evidence on what requests share.
    pub fn merge_shared_evidence(&mut self, now: Millis, evidence: &[SharedEvidence]) {
        self.shared.merge_evidence(now, evidence);
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

    /// Returns the evidence on what requests share to store in the lease record.
    pub fn persistent_shared_evidence(&self, now: Millis) -> Vec<SharedEvidence> {
        self.shared.persistent_evidence(now)
    }
}
