//! The versions of streams that began recently, as one host keeps them for itself and for others.

use crate::prelude::*;
use crate::resumption::message::SentVersion;
use crate::resumption::{Proof, StreamKey, StreamRecord, StreamVersion};
use crate::upstreams::Registry;
use std::collections::VecDeque;

/// The most records of a host: some 10 MB.
pub const MAX_RECORDS: usize = 65_536;
/// The longest time for which a record is kept.
const MAX_RECORD_MS: Millis = Millis(600_000);

#[derive(Clone, Debug)]
struct Kept {
    version: Option<StreamVersion>,
    until: Millis,
}

/// What a host knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The version that began it.
    Version(StreamVersion),
    /// The host that began it did not know the version, or hosts disagree.
    Uncertain,
    /// There is no record.
    Nothing,
}

/// The records of a host, each for a bounded time.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    records: IndexMap<StreamKey, Kept>,
    /// The streams in the order in which they were added; some records may have been dropped since.
    added: VecDeque<StreamKey>,
}

impl StreamRecords {
    /// Adds a record. Two records of a stream with different versions make its version uncertain.
    pub fn insert(
        &mut self,
        now: Millis,
        key: StreamKey,
        version: Option<StreamVersion>,
        lasts_ms: Millis,
    ) {
        let until = now + lasts_ms.min(MAX_RECORD_MS);
        if let Some(kept) = self.records.get_mut(&key).filter(|kept| now < kept.until) {
            let is_same = match (&kept.version, &version) {
                (Some(kept), Some(version)) => kept.version == version.version,
                (None, None) => true,
                (Some(_), None) | (None, Some(_)) => false,
            };
            if !is_same {
                kept.version = None;
            }
            kept.until = kept.until.max(until);
            return;
        }
        let is_new = self.records.insert(key, Kept { version, until }).is_none();
        if is_new {
            self.added.push_back(key);
        }
        if self.records.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        while let Some(oldest) = self.added.pop_front() {
            if self.records.swap_remove(&oldest).is_some() {
                return;
            }
        }
    }

    /// Returns what is known of a stream.
    pub fn find(&self, now: Millis, key: StreamKey) -> Known {
        match self.records.get(&key).filter(|kept| now < kept.until) {
            None => Known::Nothing,
            Some(Kept { version: None, .. }) => Known::Uncertain,
            Some(Kept {
                version: Some(version),
                ..
            }) => Known::Version(version.clone()),
        }
    }

    /// Returns the record of a stream for another host.
    pub fn record(&self, now: Millis, key: StreamKey) -> Option<StreamRecord> {
        let kept = self.records.get(&key).filter(|kept| now < kept.until)?;
        let version = kept.version.as_ref();
        Some(StreamRecord {
            key,
            version: version.map(|version| SentVersion::new(version, now)),
            lasts_ms: kept.until - now,
        })
    }

    /// Settles the versions that a copy of the list proves or refutes.
    pub fn settle(&mut self, upstreams: &Registry, list_as_of: Option<Millis>) {
        for kept in self.records.values_mut() {
            let proof = match &mut kept.version {
                Some(version) => version.settle(upstreams, list_as_of),
                None => continue,
            };
            if proof == Proof::Refuted {
                kept.version = None;
            }
        }
    }

    /// Drops the records whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, kept| now < kept.until);
        let records = &self.records;
        self.added.retain(|key| records.contains_key(key));
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
