//! The versions of streams that began recently, as one host keeps them for itself and for others.

use crate::prelude::*;
use crate::resumption::message::SentVersion;
use crate::resumption::stored::StoredStream;
use crate::resumption::{Proof, StreamKey, StreamRecord, StreamVersion};
use crate::upstreams::Registry;
use crate::upstreams::versions::ServiceVersion;
use std::collections::VecDeque;

/// The most records of a host: some 10 MB.
pub const MAX_RECORDS: usize = 65_536;
/// The longest time for which a record is kept.
const MAX_RECORD_MS: Millis = Millis(600_000);

#[derive(Clone, Debug)]
struct Kept {
    version: Option<StreamVersion>,
    until: Millis,
    /// Set for a stream that began at this host.
    own: Option<OwnStream>,
}

/// A stream that began at this host.
#[derive(Clone, Debug)]
struct OwnStream {
    service: Name,
    stored: Stored,
}

/// What was passed on to be kept in the store of a stream that began at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stored {
    Nothing,
    /// A version with the start that it rests on.
    Pending,
    /// A proven version.
    Proven,
}

impl Kept {
    /// Returns what the store is to have of a stream, if it lacks that.
    fn unstored(&self, now: Millis) -> Option<Stored> {
        let wanted = match self.version.as_ref()?.start {
            Some(_) => Stored::Pending,
            None => Stored::Proven,
        };
        let stored = self.own.as_ref()?.stored;
        let is_due = stored != wanted && stored != Stored::Proven && now < self.until;
        is_due.then_some(wanted)
    }

    fn take_unstored(&mut self, now: Millis, key: StreamKey) -> Option<StoredStream> {
        let unstored = self.unstored(now)?;
        let own = self.own.as_mut()?;
        own.stored = unstored;
        let SentVersion { version, start } = SentVersion::new(self.version.as_ref()?, now);
        Some(StoredStream {
            key,
            version: ServiceVersion {
                service: own.service.clone(),
                version: Some(version),
            },
            start,
            lasts_ms: self.until - now,
        })
    }
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
            match (&mut kept.version, &version) {
                (Some(kept), Some(version)) if kept.version == version.version => {
                    // What proves one of them proves both.
                    if version.start.is_none() {
                        kept.start = None;
                    }
                }
                (Some(_), Some(_) | None) | (None, Some(_)) => kept.version = None,
                (None, None) => {}
            }
            kept.until = kept.until.max(until);
            return;
        }
        let kept = Kept {
            version,
            until,
            own: None,
        };
        let is_new = self.records.insert(key, kept).is_none();
        if is_new {
            self.added.push_back(key);
        }
        if self.records.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    /// Records that a stream of a service began at this host.
    pub fn note_own(&mut self, key: StreamKey, service: Name) {
        if let Some(kept) = self.records.get_mut(&key) {
            kept.own = Some(OwnStream {
                service,
                stored: Stored::Nothing,
            });
        }
    }

    /// Takes what the store lacks of a stream that began at this host. It counts as stored until
    /// [`Self::note_unstored`] says otherwise.
    pub fn take_unstored(&mut self, now: Millis, key: StreamKey) -> Option<StoredStream> {
        let kept = self.records.get_mut(&key)?;
        kept.take_unstored(now, key)
    }

    /// Takes all such streams of the services of which `is_needed` holds.
    pub fn take_all_unstored(
        &mut self,
        now: Millis,
        is_needed: impl Fn(&str) -> bool,
    ) -> Vec<StoredStream> {
        let needed = self.records.iter_mut().filter(|(_, kept)| {
            let own = kept.own.as_ref();
            kept.unstored(now).is_some() && own.is_some_and(|own| is_needed(&own.service))
        });
        let taken = needed.filter_map(|(key, kept)| kept.take_unstored(now, *key));
        taken.collect()
    }

    /// Records that streams did not reach the host that writes them to the store.
    pub fn note_unstored(&mut self, keys: impl Iterator<Item = StreamKey>) {
        for key in keys {
            if let Some(own) = self
                .records
                .get_mut(&key)
                .and_then(|kept| kept.own.as_mut())
            {
                own.stored = Stored::Nothing;
            }
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
