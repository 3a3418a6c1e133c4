//! Evidence on crashes in messages between hosts and in the lease record.

use super::with_quarantine;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::ordering::lease::CrashEvidence;
use crate::retry::message::EvidenceChecksums;
use crate::retry::{CrashReport, CrashUpdate, Quarantine};

/// Returns the crash evidence for this host's next message to a relay or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> CrashReport {
    with_quarantine(host, Quarantine::report)
}

/// Adds the crash evidence that another host reports.
pub fn merge_report<P: Platform>(host: &Host<P>, report: &CrashReport) {
    with_quarantine(host, |quarantine, now| quarantine.merge_report(now, report));
}

/// Returns the evidence that a reporting host lacks, for the reply to it. `known` is the state of
/// that host's evidence, as it stated it.
pub fn build_update<P: Platform>(host: &Host<P>, known: EvidenceChecksums) -> CrashUpdate {
    with_quarantine(host, |quarantine, now| quarantine.build_update(now, known))
}

/// Applies the reply to a message that carried this host's report.
pub fn apply_update<P: Platform>(host: &Host<P>, update: &CrashUpdate) {
    with_quarantine(host, |quarantine, now| quarantine.apply_update(now, update));
}

/// Adds the evidence that an orderer stored with its lease for all hosts.
pub fn restore_evidence<P: Platform>(host: &Host<P>, evidence: &CrashEvidence) {
    with_quarantine(host, |quarantine, now| {
        quarantine.merge_evidence(now, &evidence.crashes);
        quarantine.merge_shared_evidence(now, &evidence.shared_crashes);
    });
}

/// Returns the evidence that must survive a restart of all processes.
pub fn persistent_evidence<P: Platform>(host: &Host<P>) -> CrashEvidence {
    with_quarantine(host, |quarantine, now| CrashEvidence {
        crashes: quarantine.persistent_evidence(now),
        shared_crashes: quarantine.persistent_shared_evidence(now),
    })
}
