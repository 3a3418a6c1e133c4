//! One host's evidence on what requests share: what it saw itself, what it reports and what it
//! learns from other hosts.

use crate::prelude::*;
use crate::retry::crash_ledger::CrashId;
use crate::retry::interrupted_requests::InterruptedRun;
use crate::retry::message::{SharedCrash, SharedEvidence};
use crate::retry::shared_cause::{SharedCause, VersionTag};
use crate::retry::shared_ledger::{HeldCause, MAX_CAUSES_PER_MESSAGE, SharedLedger};
use crate::retry::sound_causes::SoundCauses;

/// Maximum number of causes whose evidence survives a restart of all processes: what fits in a lease
/// record.
const MAX_PERSISTED: usize = 8;
/// Maximum number of crashes that do for a cause which is held back.
const MAX_PERSISTED_CRASHES: usize = 5;

/// For how long after a cause was first held back requests are let through as trials, in case that it
/// was held back because nothing could be answered amid many crashes. A cause that is common in sound
/// requests is cleared by these at once; of one that is not, trials are few.
const TRIALS_MS: Millis = Millis(1_500);
/// Minimum interval between two trials of a cause.
const TRIAL_INTERVAL_MS: Millis = Millis(400);

/// A change of what is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldChange {
    /// A cause is held back from now on.
    Held {
        /// The cause.
        cause: SharedCause,
        /// The evidence that decided.
        held: HeldCause,
    },
    /// A cause is no longer held back.
    Released {
        /// The cause.
        cause: SharedCause,
        /// How many requests this host refused for it.
        refused: u64,
        /// Whether an upstream has answered on it, so that it was held back without being the cause.
        is_cleared: bool,
    },
}

/// One host's evidence on what requests share.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedCauses {
    ledger: SharedLedger,
    sound: SoundCauses,
    unreported: IndexSet<SharedCause>,
    /// The evidence in the report in flight.
    sent: Vec<SharedEvidence>,
    /// What is held back, as of the last call of [`Self::take_held_changes`].
    announced: IndexMap<SharedCause, Announced>,
}

/// What a host did since it holds a cause back.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Announced {
    /// Since when the cause, or one that was not told apart from it, is held back.
    since: Millis,
    together: Vec<SharedCause>,
    /// How many requests it refused for the cause.
    refused: u64,
    /// When it last let one through as a trial.
    tried_at: Option<Millis>,
}

impl Announced {
    fn new(
        now: Millis,
        cause: SharedCause,
        held: &HeldCause,
        before: &IndexMap<SharedCause, Self>,
    ) -> Self {
        let parted = before.values().filter(|one| one.together.contains(&cause));
        Self {
            since: parted.map(|one| one.since).min().unwrap_or(now),
            together: held.together.clone(),
            refused: 0,
            tried_at: None,
        }
    }
}

impl SharedCauses {
    /// Records that an upstream crashed while it ran these requests of this host. What upstreams of
    /// its version have answered on is no evidence.
    pub fn note_crash(&mut self, now: Millis, crash: CrashId, runs: &[InterruptedRun]) {
        let mut evidence: IndexMap<SharedCause, SharedEvidence> = IndexMap::new();
        for run in runs.iter().filter(|run| run.is_beginning()) {
            for cause in &run.causes.shared {
                if self.sound.contains(*cause, run.version) {
                    continue;
                }
                let crash = SharedCrash {
                    id: crash,
                    version: run.version,
                    request: run.causes.digest.hash_with(0) as u16,
                    is_after_crash: self.ledger.was_known_before(*cause, run.sent_at),
                };
                let of_cause = evidence.entry(*cause).or_insert_with(|| of_cause(*cause));
                of_cause.crashes.push(crash);
            }
        }
        let evidence: Vec<_> = evidence.into_values().collect();
        self.merge_unreported(now, &evidence);
    }

    /// Records that an upstream of a version answered on these causes.
    pub fn note_answered(&mut self, now: Millis, causes: &[SharedCause], version: VersionTag) {
        for cause in causes {
            self.sound.note(*cause, version);
            self.clear(now, *cause, version);
        }
    }

    fn clear(&mut self, now: Millis, cause: SharedCause, version: VersionTag) {
        if !self.ledger.contains(cause) || self.ledger.is_cleared(cause, version) {
            return;
        }
        if let Some(known) = self.ledger.evidence(now, cause) {
            let cleared = SharedEvidence {
                cleared: vec![version],
                ..known
            };
            self.merge_unreported(now, &[cleared]);
        }
    }

    /// Merges evidence, and marks it for the next report to the parent if it is new.
    fn merge_unreported(&mut self, now: Millis, evidence: &[SharedEvidence]) {
        let changed = self.ledger.merge(now, evidence);
        self.unreported.extend(changed);
    }

    fn clear_if_sound(&mut self, now: Millis, evidence: &[SharedEvidence]) {
        for cause in evidence.iter().map(|evidence| evidence.cause) {
            for version in self.ledger.open_versions(cause) {
                if self.sound.contains(cause, version) {
                    self.clear(now, cause, version);
                }
            }
        }
    }

    /// Returns for which cause a request with these must not be sent; see
    /// [`SharedLedger::holds_back`].
    pub fn hold(
        &self,
        now: Millis,
        causes: &[SharedCause],
        sole_version: Option<VersionTag>,
    ) -> Option<(SharedCause, &HeldCause)> {
        self.ledger.holds_back(now, causes, sole_version)
    }

    /// Takes one of the trials of a cause that follow the decision to hold it back, or that go on while
    /// it may have been at its crashes by chance.
    pub fn take_early_trial(&mut self, now: Millis, cause: SharedCause) -> bool {
        let Some(announced) = self.announced.get_mut(&cause) else {
            return false;
        };
        let held = self.ledger.held().get(&cause);
        let is_redundant = held.is_some_and(|held| held.is_redundant);
        let is_due = announced
            .tried_at
            .is_none_or(|at| now.since(at) >= TRIAL_INTERVAL_MS);
        let is_new = now.since(announced.since) < TRIALS_MS;
        let may_try = (is_new || is_redundant) && is_due;
        if may_try {
            announced.tried_at = Some(now);
        }
        may_try
    }

    /// Takes the only trial of a cause at a software version without a crash.
    pub fn take_trial(&mut self, now: Millis, cause: SharedCause, version: VersionTag) -> bool {
        let has_crashed = self.ledger.open_versions(cause).contains(&version);
        if has_crashed || self.ledger.is_tried(cause, version) {
            return false;
        }
        let Some(known) = self.ledger.evidence(now, cause) else {
            return false;
        };
        let tried = SharedEvidence {
            tried: vec![version],
            ..known
        };
        self.merge_unreported(now, &[tried]);
        true
    }

    /// Tells whether a request with these causes may carry the cause of a crash on.
    pub fn is_suspected(&self, causes: &[SharedCause], sole_version: Option<VersionTag>) -> bool {
        self.ledger.is_suspected(causes, sole_version)
    }

    /// Counts a request that was refused for a cause.
    pub fn note_refused(&mut self, cause: SharedCause) {
        if let Some(announced) = self.announced.get_mut(&cause) {
            announced.refused += 1;
        }
    }

    /// Returns what is held back, or no longer, since the last call.
    pub fn take_held_changes(&mut self, now: Millis) -> Vec<HeldChange> {
        let held = self.ledger.held();
        let is_same = held.len() == self.announced.len()
            && held.keys().all(|cause| self.announced.contains_key(cause));
        if is_same {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let before = std::mem::take(&mut self.announced);
        for (cause, held) in held {
            let announced = match before.get(cause) {
                Some(announced) => announced.clone(),
                None => {
                    changes.push(HeldChange::Held {
                        cause: *cause,
                        held: held.clone(),
                    });
                    Announced::new(now, *cause, held, &before)
                }
            };
            self.announced.insert(*cause, announced);
        }
        for (cause, announced) in before {
            if !self.announced.contains_key(&cause) {
                let ledger = &self.ledger;
                changes.push(HeldChange::Released {
                    cause,
                    refused: announced.refused,
                    is_cleared: ledger.contains(cause) && ledger.open_versions(cause).is_empty(),
                });
            }
        }
        changes
    }

    /// Returns how many causes are held back.
    pub fn held_count(&self) -> usize {
        self.ledger.held().len()
    }

    /// Tells whether there is evidence for the parent.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the evidence for the parent that counts as unreported until it is confirmed.
    pub fn report(&mut self, now: Millis) -> Vec<SharedEvidence> {
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.unreported.retain(|cause| ledger.contains(*cause));
        let unreported = self.unreported.iter().take(MAX_CAUSES_PER_MESSAGE);
        self.sent = unreported
            .filter_map(|cause| ledger.evidence(now, *cause))
            .collect();
        self.sent.clone()
    }

    /// Records that the parent received the last report. Evidence that has changed since stays
    /// unreported.
    pub fn confirm_report(&mut self, now: Millis) {
        for sent in std::mem::take(&mut self.sent) {
            let present = self.ledger.evidence(now, sent.cause);
            let is_same = present.is_some_and(|present| {
                SharedEvidence {
                    age_ms: sent.age_ms,
                    ..present
                } == sent
            });
            if is_same {
                self.unreported.swap_remove(&sent.cause);
            }
        }
    }

    /// Marks all published evidence for the next report.
    pub fn report_all_again(&mut self) {
        let published = self.ledger.published(Millis::NEVER).into_iter();
        self.unreported
            .extend(published.map(|evidence| evidence.cause));
    }

    /// Merges the report of a child.
    pub fn merge_report(&mut self, now: Millis, evidence: &[SharedEvidence]) {
        let evidence = bounded(evidence);
        self.merge_unreported(now, evidence);
        self.clear_if_sound(now, evidence);
    }

    /// Merges evidence from the parent or from a lease record, which is not reported back.
    pub fn merge_evidence(&mut self, now: Millis, evidence: &[SharedEvidence]) {
        let evidence = bounded(evidence);
        self.ledger.merge(now, evidence);
        self.clear_if_sound(now, evidence);
    }

    /// Returns the evidence to send to other hosts.
    pub fn published(&self, now: Millis) -> Vec<SharedEvidence> {
        self.ledger.published(now)
    }

    /// Returns a checksum over what [`Self::published`] returns.
    pub fn checksum(&self) -> u64 {
        self.ledger.checksum()
    }

    /// Returns the evidence to store in the lease record: of each cause that is held back the crashes
    /// that decided, and the same crashes of those that are not told apart from it, so that after a
    /// restart they are held back together as before; then what fits of other suspects.
    pub fn persistent_evidence(&self, now: Millis) -> Vec<SharedEvidence> {
        let mut chosen: IndexMap<SharedCause, IndexSet<CrashId>> = IndexMap::new();
        for (cause, held) in self.ledger.held() {
            let crashes = self.deciding(now, *cause, held);
            let group = || [cause].into_iter().chain(&held.together);
            let new = group().filter(|cause| !chosen.contains_key(*cause)).count();
            if chosen.len() + new > MAX_PERSISTED {
                continue;
            }
            for cause in group() {
                chosen.entry(*cause).or_default().extend(&crashes);
            }
        }
        for evidence in self.ledger.published(now) {
            let crashes = evidence.crashes.iter();
            let is_open = |crash: &&SharedCrash| !evidence.cleared.contains(&crash.version);
            let open: IndexSet<_> = crashes.filter(is_open).map(|crash| crash.id).collect();
            if !open.is_empty() && !chosen.contains_key(&evidence.cause) {
                chosen.insert(evidence.cause, open);
            }
        }
        let chosen = chosen.into_iter().take(MAX_PERSISTED);
        chosen
            .filter_map(|(cause, crashes)| {
                let mut evidence = self.ledger.evidence(now, cause)?;
                evidence.crashes.retain(|crash| crashes.contains(&crash.id));
                Some(evidence)
            })
            .collect()
    }

    /// Returns the crashes of a held cause that still decide if no others are known: one of each
    /// request first, then those after another crash.
    fn deciding(&self, now: Millis, cause: SharedCause, held: &HeldCause) -> Vec<CrashId> {
        let Some(evidence) = self.ledger.evidence(now, cause) else {
            return Vec::new();
        };
        let mut requests = IndexSet::new();
        let mut crashes: Vec<_> = evidence
            .crashes
            .iter()
            .filter(|crash| held.crashes.contains(&crash.id))
            .map(|crash| {
                let is_repeat = !requests.insert(crash.request);
                (is_repeat, !crash.is_after_crash, crash.id)
            })
            .collect();
        crashes.sort_unstable();
        crashes.truncate(MAX_PERSISTED_CRASHES);
        crashes.into_iter().map(|(_, _, id)| id).collect()
    }
}

fn of_cause(cause: SharedCause) -> SharedEvidence {
    SharedEvidence {
        cause,
        crashes: Vec::new(),
        cleared: Vec::new(),
        tried: Vec::new(),
        age_ms: Millis::ZERO,
    }
}

fn bounded(evidence: &[SharedEvidence]) -> &[SharedEvidence] {
    &evidence[..evidence.len().min(MAX_CAUSES_PER_MESSAGE)]
}
