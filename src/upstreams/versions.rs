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

/// The versions of all services, since a time.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: IndexMap<Name, ServiceVersions>,
    /// Since when no change of the list was missed; none before it is known.
    known_since: Option<Millis>,
}

impl VersionHistory {
    /// Begins the history anew after changes of the list may have been missed.
    pub fn restart(&mut self, now: Millis) {
        self.known_since = Some(now);
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
        versions.past.shift_remove(version);
        versions.past.insert(version.clone(), at);
        if versions.past.len() > MAX_PAST_VERSIONS {
            versions.past.shift_remove_index(0);
        }
    }

    /// Returns the only version that a service has had for as long as a stream and its retries last,
    /// `lasts_ms`, if there is one: no change was missed since, and the last upstream of any other
    /// version was removed [`GONE_MS`] ago.
    pub fn sole_version(&self, now: Millis, service: &str, lasts_ms: Millis) -> Option<&Name> {
        let known_since = self.known_since?;
        let versions = self.services.get(service)?;
        let [(Some(version), _)] = versions.listed.iter().collect::<Vec<_>>()[..] else {
            return None;
        };
        let mut others = versions
            .past
            .iter()
            .filter(|(past, _)| past.as_ref() != Some(version));
        let are_others_gone = others.all(|(_, at)| now.since(*at) >= GONE_MS);
        let is_known = now.since(known_since) >= lasts_ms && !versions.is_past_full();
        (is_known && are_others_gone).then_some(version)
    }
}

impl ServiceVersions {
    /// Tells whether a version may have been forgotten.
    fn is_past_full(&self) -> bool {
        self.past.len() >= MAX_PAST_VERSIONS
    }
}
