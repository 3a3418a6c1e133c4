//! Decides which shared causes crash the upstreams that run requests with them, from all known
//! crashes and the requests that were at the beginning of their answers there.
//!
//! One crash says little about one cause: dozens of requests run at an upstream, each with several
//! causes. What tells them apart is that an upstream which goes on with an answer clears everything
//! that the request holds. Causes that nothing has told apart yet are held back only together.
//! Evidence from any number of hosts is merged; repetition does not change the result.

use crate::prelude::*;
use crate::retry::crash_ledger::{CrashId, RETENTION_MS};
use crate::retry::message::{SharedCrash, SharedEvidence};
use crate::retry::shared_cause::{SharedCause, VersionTag};
use std::cmp::Reverse;

/// Crashes after which a cause is held back.
pub const MIN_CRASHES: usize = 4;
/// Different requests that must have been at these crashes. A single request that crashes upstreams
/// is known by its digest.
const MIN_REQUESTS: usize = 3;
/// Of these, those at which no other cause was that is held back.
const MIN_CRASHES_ALONE: usize = 2;
/// Crashes after which a request with the cause is no longer sent on to a further upstream.
const MIN_CRASHES_SUSPECTED: usize = 2;
/// Maximum number of crashes kept for a cause: those of a few crashing parts that follow the same
/// first part, with the ones that hosts see before they have exchanged evidence.
const MAX_CRASHES: usize = 16;
/// Maximum number of software versions kept for a cause.
const MAX_VERSIONS: usize = 4;
/// Maximum number of causes in the ledger.
pub const MAX_CAUSES: usize = 256;
/// Maximum number of causes in one message.
pub const MAX_CAUSES_PER_MESSAGE: usize = 24;
/// Maximum number of causes that are held back only together: more than one request has.
const MAX_TOGETHER: usize = 8;

/// What is known of a crash, as evidence on one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashFacts {
    version: VersionTag,
    request: u16,
    is_after_crash: bool,
}

/// Evidence on one cause.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Suspect {
    crashes: IndexMap<CrashId, CrashFacts>,
    /// The versions at which upstreams have answered on the cause.
    cleared: IndexSet<VersionTag>,
    /// The versions at which a trial was made.
    tried: IndexSet<VersionTag>,
    last_crash_at: Millis,
    /// When this host learned of the first crash.
    known_since: Millis,
}

impl Suspect {
    /// Returns the crashes at versions at which nothing clears the cause.
    fn open_crashes(&self) -> impl Iterator<Item = (CrashId, &CrashFacts)> {
        let open = |facts: &&CrashFacts| !self.cleared.contains(&facts.version);
        let crashes = self.crashes.iter();
        crashes.filter_map(move |(id, facts)| open(&facts).then_some((*id, facts)))
    }

    fn open_count(&self) -> usize {
        self.open_crashes().count()
    }

    /// Adds a crash, or what is new of a known one. Returns whether anything changed.
    fn add(&mut self, crash: &SharedCrash) -> bool {
        let facts = CrashFacts {
            version: crash.version,
            request: crash.request,
            is_after_crash: crash.is_after_crash,
        };
        if let Some(known) = self.crashes.get_mut(&crash.id) {
            let merged = CrashFacts {
                version: known.version.min(facts.version),
                request: known.request.min(facts.request),
                is_after_crash: known.is_after_crash | facts.is_after_crash,
            };
            return std::mem::replace(known, merged) != merged;
        }
        if !self.has_room_for(crash.id) {
            return false;
        }
        self.crashes.insert_sorted(crash.id, facts);
        self.crashes.truncate(MAX_CRASHES);
        true
    }

    fn is_cause(&self) -> bool {
        let requests: IndexSet<u16> = self
            .open_crashes()
            .map(|(_, facts)| facts.request)
            .collect();
        self.open_count() >= MIN_CRASHES
            && requests.len() >= MIN_REQUESTS
            && self.open_crashes().any(|(_, facts)| facts.is_after_crash)
    }

    /// Tells whether the cause may have been at all open crashes of another one.
    fn covers(&self, other: &Self) -> bool {
        self.open_count() > 0 && other.open_crashes().all(|(id, _)| self.may_be_at(id))
    }

    /// Tells whether a crash is an open one of the cause, or may have been left out.
    fn may_be_at(&self, crash: CrashId) -> bool {
        match self.crashes.get(&crash) {
            Some(facts) => !self.cleared.contains(&facts.version),
            None => !self.has_room_for(crash),
        }
    }

    fn has_room_for(&self, crash: CrashId) -> bool {
        let highest = self.crashes.last().map(|(id, _)| *id);
        self.crashes.len() < MAX_CRASHES || highest.is_some_and(|highest| crash < highest)
    }

    /// Returns whether other hosts need this evidence: they may have seen other crashes with the
    /// cause, or answers.
    fn is_published(&self) -> bool {
        self.crashes.len() > 1
    }

    /// Returns how much other hosts need this evidence: first what may be held back, then what other
    /// hosts may hold back although an answer has cleared it.
    fn publication_rank(&self) -> (bool, bool, usize) {
        let open_count = self.open_count();
        (
            open_count >= MIN_CRASHES,
            self.crashes.len() >= MIN_CRASHES,
            open_count,
        )
    }

    fn checksum(&self) -> u64 {
        let crashes = self.crashes.iter().fold(0, |sum, (id, facts)| {
            let numbers = u64::from(facts.version.number()) << 32 | u64::from(facts.request);
            sum ^ id.hash_with(numbers ^ u64::from(facts.is_after_crash))
        });
        let versions = |set: &IndexSet<VersionTag>, kind: u64| {
            set.iter().fold(0, |sum, version| {
                sum ^ crate::rendezvous::score(&version.number().to_le_bytes(), kind)
            })
        };
        crashes ^ versions(&self.cleared, 1) ^ versions(&self.tried, 2)
    }

    fn evidence(&self, now: Millis, cause: SharedCause) -> SharedEvidence {
        let crashes = self.crashes.iter().map(|(id, facts)| SharedCrash {
            id: *id,
            version: facts.version,
            request: facts.request,
            is_after_crash: facts.is_after_crash,
        });
        SharedEvidence {
            cause,
            crashes: crashes.collect(),
            cleared: self.cleared.iter().copied().collect(),
            tried: self.tried.iter().copied().collect(),
            age_ms: now.since(self.last_crash_at),
        }
    }
}

/// Adds versions to a bounded set, of which the lowest are kept. Returns whether it changed.
fn add_versions(set: &mut IndexSet<VersionTag>, versions: &[VersionTag]) -> bool {
    let before = set.clone();
    set.extend(versions.iter().take(MAX_VERSIONS));
    set.sort_unstable();
    set.truncate(MAX_VERSIONS);
    *set != before
}

/// A cause that is held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldCause {
    /// The causes that nothing has told apart from it: a request is held back only if it has all of
    /// them too.
    pub together: Vec<SharedCause>,
    /// The crashes that decided.
    pub crashes: Vec<CrashId>,
    /// Until when it is held back.
    pub until: Millis,
    /// Whether another cause that is held back was at each of its crashes, so that it may have been
    /// there by chance.
    pub is_redundant: bool,
}

/// The shared causes that were at crashes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SharedLedger {
    suspects: IndexMap<SharedCause, Suspect>,
    held: IndexMap<SharedCause, HeldCause>,
    /// Causes on which evidence is sent to other hosts, by [`Suspect::publication_rank`].
    published: Vec<SharedCause>,
    /// Checksum over the evidence on the causes in `published`.
    checksum: u64,
}

impl SharedLedger {
    /// Merges evidence on several causes. Returns those on which anything changed.
    pub fn merge(&mut self, now: Millis, evidence: &[SharedEvidence]) -> Vec<SharedCause> {
        let changed: Vec<_> = evidence
            .iter()
            .filter(|evidence| self.merge_one(now, evidence))
            .map(|evidence| evidence.cause)
            .collect();
        if !changed.is_empty() {
            self.update();
        }
        changed
    }

    fn merge_one(&mut self, now: Millis, evidence: &SharedEvidence) -> bool {
        if evidence.age_ms >= RETENTION_MS {
            return false;
        }
        if !self.suspects.contains_key(&evidence.cause) {
            self.make_room();
        }
        let new = || Suspect {
            crashes: IndexMap::new(),
            cleared: IndexSet::new(),
            tried: IndexSet::new(),
            last_crash_at: Millis::ZERO,
            known_since: now,
        };
        let suspect = self.suspects.entry(evidence.cause).or_insert_with(new);
        let mut is_changed = false;
        for crash in evidence.crashes.iter().take(MAX_CRASHES) {
            is_changed |= suspect.add(crash);
        }
        is_changed |= add_versions(&mut suspect.cleared, &evidence.cleared);
        is_changed |= add_versions(&mut suspect.tried, &evidence.tried);
        suspect.last_crash_at = suspect.last_crash_at.max(now - evidence.age_ms);
        is_changed
    }

    /// Makes room for one cause. Those without open crashes are removed first, then those with the
    /// fewest crashes, then the oldest.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_CAUSES {
            return;
        }
        let suspects = self.suspects.iter();
        let least =
            suspects.min_by_key(|(_, suspect)| (suspect.open_count(), suspect.last_crash_at));
        if let Some(cause) = least.map(|(cause, _)| *cause) {
            self.suspects.swap_remove(&cause);
        }
    }

    /// Removes causes whose last crash is older than [`RETENTION_MS`].
    pub fn expire(&mut self, now: Millis) {
        let count = self.suspects.len();
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash_at) < RETENTION_MS);
        if self.suspects.len() != count {
            self.update();
        }
    }

    /// Returns whether a cause is known to have been at a crash.
    pub fn contains(&self, cause: SharedCause) -> bool {
        self.suspects.contains_key(&cause)
    }

    /// Tells whether this host knew of a crash with a cause before `at`.
    pub fn was_known_before(&self, cause: SharedCause, at: Millis) -> bool {
        let suspect = self.suspects.get(&cause);
        suspect.is_some_and(|suspect| suspect.known_since < at)
    }

    /// Returns the versions at which crashes with a cause are open.
    pub fn open_versions(&self, cause: SharedCause) -> IndexSet<VersionTag> {
        let suspect = self.suspects.get(&cause).into_iter();
        suspect
            .flat_map(Suspect::open_crashes)
            .map(|(_, facts)| facts.version)
            .collect()
    }

    /// Tells whether upstreams of a version have answered on a cause.
    pub fn is_cleared(&self, cause: SharedCause, version: VersionTag) -> bool {
        let suspect = self.suspects.get(&cause);
        suspect.is_some_and(|suspect| suspect.cleared.contains(&version))
    }

    /// Tells whether a trial of a cause was made at a version.
    pub fn is_tried(&self, cause: SharedCause, version: VersionTag) -> bool {
        let suspect = self.suspects.get(&cause);
        suspect.is_some_and(|suspect| suspect.tried.contains(&version))
    }

    /// Returns the causes that are held back.
    pub fn held(&self) -> &IndexMap<SharedCause, HeldCause> {
        &self.held
    }

    /// Returns the first cause for which a request that has all these causes is held back.
    /// `sole_version` is the version of all upstreams that could run it, if they have the same.
    pub fn holds_back(
        &self,
        now: Millis,
        causes: &[SharedCause],
        sole_version: Option<VersionTag>,
    ) -> Option<(SharedCause, &HeldCause)> {
        causes.iter().find_map(|cause| {
            let held = self.held.get(cause)?;
            let has_all = held.together.iter().all(|other| causes.contains(other));
            let is_sound_now = sole_version.is_some_and(|only| self.is_cleared(*cause, only));
            (has_all && now < held.until && !is_sound_now).then_some((*cause, held))
        })
    }

    /// Tells whether a request with these causes may carry the cause of a crash to a further
    /// upstream.
    pub fn is_suspected(&self, causes: &[SharedCause], sole_version: Option<VersionTag>) -> bool {
        causes.iter().any(|cause| {
            let suspect = self.suspects.get(cause);
            let is_suspect =
                suspect.is_some_and(|suspect| suspect.open_count() >= MIN_CRASHES_SUSPECTED);
            is_suspect && !sole_version.is_some_and(|only| self.is_cleared(*cause, only))
        })
    }

    /// Returns a checksum over what [`Self::published`] returns. It is equal on hosts with the same
    /// evidence.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the evidence to send to other hosts: on at most [`MAX_CAUSES_PER_MESSAGE`] causes
    /// that were at more than one crash, by [`Suspect::publication_rank`].
    pub fn published(&self, now: Millis) -> Vec<SharedEvidence> {
        let published = self.published.iter();
        published
            .filter_map(|cause| self.evidence(now, *cause))
            .collect()
    }

    /// Returns the evidence on one cause.
    pub fn evidence(&self, now: Millis, cause: SharedCause) -> Option<SharedEvidence> {
        let suspect = self.suspects.get(&cause)?;
        Some(suspect.evidence(now, cause))
    }

    /// Recomputes what is held back and which evidence is sent to other hosts.
    fn update(&mut self) {
        self.held = self.compute_held();
        let mut published: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_published())
            .map(|(cause, suspect)| (Reverse((suspect.publication_rank(), *cause)), suspect))
            .collect();
        published.sort_by_key(|(rank, _)| *rank);
        published.truncate(MAX_CAUSES_PER_MESSAGE);
        self.checksum = published.iter().fold(0, |sum, (rank, suspect)| {
            let Reverse((_, cause)) = rank;
            sum ^ cause.hash_with(suspect.checksum())
        });
        let causes = published.iter().map(|(Reverse((_, cause)), _)| *cause);
        self.published = causes.collect();
    }

    /// Decides which causes are held back: each with all that were at every one of its crashes, and
    /// only for crashes that nothing more specific explains. Those of the most crashes are decided
    /// first, and others need crashes at which none of these was: where engine after engine crashes,
    /// sound requests run beside the cause each time.
    fn compute_held(&self) -> IndexMap<SharedCause, HeldCause> {
        let mut held: IndexMap<SharedCause, HeldCause> = IndexMap::new();
        let mut causes: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_cause())
            .collect();
        causes.sort_by_key(|(cause, suspect)| Reverse((suspect.open_count(), **cause)));
        for (cause, suspect) in causes {
            let together = self.inseparable_from(cause, suspect);
            if together.iter().any(|other| held.contains_key(other)) {
                continue;
            }
            let crashes = self.unexplained_crashes(cause, suspect);
            let is_alone = |id: &&CrashId| !self.is_at_held(&held, **id);
            let has_own = crashes.iter().filter(is_alone).count() >= MIN_CRASHES_ALONE;
            if crashes.len() >= MIN_CRASHES && has_own && together.len() <= MAX_TOGETHER {
                let held_cause = HeldCause {
                    together,
                    crashes,
                    until: suspect.last_crash_at + RETENTION_MS,
                    is_redundant: false,
                };
                held.insert(*cause, held_cause);
            }
        }
        let is_redundant = |cause: &SharedCause| self.is_redundant(&held, cause);
        let redundant: Vec<SharedCause> = held.keys().copied().filter(is_redundant).collect();
        for cause in redundant {
            if let Some(held) = held.get_mut(&cause) {
                held.is_redundant = true;
            }
        }
        held
    }

    fn is_redundant(&self, held: &IndexMap<SharedCause, HeldCause>, cause: &SharedCause) -> bool {
        let others = || held.keys().filter(|other| *other != cause);
        let others = || others().filter_map(|other| self.suspects.get(other));
        let mut crashes = held.get(cause).into_iter().flat_map(|held| &held.crashes);
        crashes.all(|crash| others().any(|other| other.crashes.contains_key(crash)))
    }

    /// Tells whether a cause that is held back was at a crash.
    fn is_at_held(&self, held: &IndexMap<SharedCause, HeldCause>, crash: CrashId) -> bool {
        let suspects = held.keys().filter_map(|cause| self.suspects.get(cause));
        suspects
            .flat_map(|suspect| suspect.crashes.get(&crash))
            .next()
            .is_some()
    }

    /// Returns the open crashes of a cause, without those at which the same request has a suspect
    /// that is at fewer crashes, all of them crashes of this cause. A first part that several
    /// crashing parts follow is at more crashes than each of these.
    fn unexplained_crashes(&self, cause: &SharedCause, suspect: &Suspect) -> Vec<CrashId> {
        let count = suspect.open_count();
        let specific: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|(other, _)| *other != cause)
            .map(|(_, other)| other)
            .filter(|other| (MIN_CRASHES_SUSPECTED..count).contains(&other.open_count()))
            .filter(|other| suspect.covers(other))
            .collect();
        let is_explained = |id: CrashId, facts: &CrashFacts| {
            specific.iter().any(|other| {
                let at_crash = other.crashes.get(&id);
                at_crash.is_some_and(|other| other.request == facts.request)
            })
        };
        suspect
            .open_crashes()
            .filter(|(id, facts)| !is_explained(*id, facts))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the other causes that were at every open crash of one.
    fn inseparable_from(&self, cause: &SharedCause, suspect: &Suspect) -> Vec<SharedCause> {
        let others = self.suspects.iter().filter(|(other, _)| *other != cause);
        others
            .filter(|(_, other)| other.covers(suspect))
            .map(|(other, _)| *other)
            .collect()
    }
}
