//! The software versions that the upstreams of each service have had in the list.

use crate::prelude::*;
use crate::upstreams::UpstreamEntry;

/// The most versions of one service that are remembered after their last upstream was removed.
const MAX_PAST_VERSIONS: usize = 16;
/// How long after the last upstream of a version was removed from the list a stream of it may still
/// be taken up: a host without contact to the list goes on using its upstreams.
pub const GONE_MS: Millis = Millis(600_000);

/// The versions of one service; none stands for upstreams whose entries state no version.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    /// How many upstreams have a version.
    listed: IndexMap<Option<Name>, u32>,
    /// When the last upstream of a version was removed; oldest first.
    past: IndexMap<Option<Name>, Millis>,
}

/// A version of a service; none stands for upstreams whose entries state no version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The service.
    pub service: Name,
    /// The version.
    pub version: Option<Name>,
}

/// The versions of all services, since a time.
///
/// What this host has not seen itself is no evidence that there was nothing: before it started, or
/// while it missed changes of the list, there may have been other versions. The store keeps the
/// versions for that ([`stored`](crate::resumption::stored)).
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: IndexMap<Name, ServiceVersions>,
    /// Since when no change of the list was missed; none before it is known.
    known_since: Option<Millis>,
    /// How often the history began anew.
    restarts: u64,
    /// Whether the versions before `known_since` are known from the store.
    has_earlier: bool,
}

impl VersionHistory {
    /// Begins the history anew after changes of the list may have been missed.
    pub fn restart(&mut self, now: Millis) {
        self.known_since = Some(now);
        self.restarts += 1;
        self.has_earlier = false;
    }

    /// Returns how often the history began anew; 0 before the list is known.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns whether this history itself reaches back far enough, or the store told the rest.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.has_earlier || self.has_watched(now)
    }

    /// Returns whether no change of the list was missed for as long as a stream may be taken up.
    pub fn has_watched(&self, now: Millis) -> bool {
        self.known_since
            .is_some_and(|since| now.since(since) >= GONE_MS)
    }

    /// Adds the versions that the store keeps, read at `now`. `restarts` is what [`Self::restarts`]
    /// returned before the read. `is_complete` states whether the store has all versions whose
    /// streams may be taken up.
    pub fn add_earlier(
        &mut self,
        now: Millis,
        restarts: u64,
        versions: impl IntoIterator<Item = ServiceVersion>,
        is_complete: bool,
    ) {
        for ServiceVersion { service, version } in versions {
            let known = self.services.entry(service).or_default();
            if !known.listed.contains_key(&version) && !known.past.contains_key(&version) {
                known.note_past(version, now);
            }
        }
        self.has_earlier |= is_complete && restarts == self.restarts;
    }

    /// Iterates over the versions of the listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = ServiceVersion> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| {
            let listed = versions.listed.keys().cloned();
            listed.map(|version| ServiceVersion {
                service: service.clone(),
                version,
            })
        })
    }

    /// Iterates over the versions whose streams may be taken up at `now`.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = ServiceVersion> {
        let services = self.services.iter();
        services.flat_map(move |(service, versions)| {
            let current = versions.current(now).cloned();
            current.map(|version| ServiceVersion {
                service: service.clone(),
                version,
            })
        })
    }

    /// Tells whether streams of several versions of a service may be taken up at `now`.
    pub fn has_several(&self, now: Millis, service: &str) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.current(now).count() > 1)
    }

    /// Adds an entry.
    pub fn add(&mut self, entry: &UpstreamEntry) {
        let versions = self.services.entry(entry.service.clone()).or_default();
        let count = versions.listed.entry(entry.software_version.clone());
        *count.or_default() += 1;
    }

    /// Removes an entry that was added, at `at`.
    pub fn remove(&mut self, entry: &UpstreamEntry, at: Millis) {
        let Some(versions) = self.services.get_mut(&entry.service) else {
            return;
        };
        let version = &entry.software_version;
        let Some(count) = versions.listed.get_mut(version) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count > 0 {
            return;
        }
        versions.listed.swap_remove(version);
        versions.note_past(version.clone(), at);
    }

    /// Returns the only version of a service whose streams may be taken up at `now`, if there is
    /// one: all versions are known, and the last upstream of any other one was removed [`GONE_MS`]
    /// ago.
    pub fn sole_version(&self, now: Millis, service: &str) -> Option<&Name> {
        self.sole_known(now, service)
            .filter(|_| self.is_complete(now))
    }

    /// Returns the only version to which this host can have sent requests that last `lasts_ms`, if
    /// there is one. Unlike [`Self::sole_version`], it says nothing about requests of other hosts or
    /// of an earlier process of this one.
    pub fn sole_version_sent_to(
        &self,
        now: Millis,
        service: &str,
        lasts_ms: Millis,
    ) -> Option<&Name> {
        let known_since = self.known_since?;
        self.sole_known(now, service)
            .filter(|_| now.since(known_since) >= lasts_ms)
    }

    fn sole_known(&self, now: Millis, service: &str) -> Option<&Name> {
        let versions = self.services.get(service)?;
        let mut current = versions.current(now);
        let sole = current.next()?.as_ref()?;
        let is_sole = current.next().is_none() && versions.is_listed(sole);
        (is_sole && !versions.is_past_full()).then_some(sole)
    }
}

impl ServiceVersions {
    /// Records that the last upstream of a version was removed at `at`.
    fn note_past(&mut self, version: Option<Name>, at: Millis) {
        self.past.shift_remove(&version);
        self.past.insert(version, at);
        if self.past.len() > MAX_PAST_VERSIONS {
            self.past.shift_remove_index(0);
        }
    }

    fn is_listed(&self, version: &Name) -> bool {
        let mut listed = self.listed.keys();
        listed.any(|listed| listed.as_ref() == Some(version))
    }

    /// Iterates over the versions whose streams may be taken up at `now`.
    fn current(&self, now: Millis) -> impl Iterator<Item = &Option<Name>> {
        let past = self.past.iter();
        let past = past.filter(move |(version, at)| {
            now.since(**at) < GONE_MS && !self.listed.contains_key(*version)
        });
        self.listed.keys().chain(past.map(|(version, _)| version))
    }

    /// Tells whether a version may have been forgotten.
    fn is_past_full(&self) -> bool {
        self.past.len() >= MAX_PAST_VERSIONS
    }
}
