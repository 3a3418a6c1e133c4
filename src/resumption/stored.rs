//! What hosts keep in the platform's store about streams, so that it outlasts the loss of all hosts.
//!
//! - Which software versions each service has had. Without that, a host that has just started would
//!   take the versions that it sees for the only ones.
//! - While a service has several versions: which of them began each stream. Each stream belongs to a
//!   bucket by its key. One host writes the rows of a bucket, and a few read them when they start.
//!
//! Where a service has had a single version for long, nothing is written.

use crate::group::Member;
use crate::group::keepers::keepers_in_order;
use crate::prelude::*;
use crate::rendezvous;
use crate::resumption::StreamKey;
use crate::resumption::keepers::{KEEPERS, keeping_hosts};
use crate::upstreams::Lifetime;
use crate::upstreams::versions::ServiceVersion;
use std::collections::VecDeque;

/// Into how many buckets streams are divided.
pub const BUCKETS: u8 = 16;
/// Up to this many hosts, each reads the rows of all buckets when it starts.
pub const MAX_ALL_BUCKETS_HOSTS: usize = 16;
/// The most streams in one row.
const MAX_ROW_STREAMS: usize = 128;
/// The most streams that a host keeps in the store.
pub const MAX_STORED_STREAMS: usize = 65_536;
/// The most versions that a row names, which bounds what is read of a foreign row.
const MAX_ROW_VERSIONS: usize = 256;

/// The prefix of the keys of rows with a version.
pub const VERSIONS_PREFIX: &str = "versions/";
/// The key of the row that states that no version is missing.
const COMPLETE_KEY: &str = "versions/complete";
/// The value of a row that has no content.
const PRESENT: &[u8] = b"1";

/// A row as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The key of the row, unique in the table.
    pub key: Name,
    /// The encoded content; none to remove the row.
    pub value: Option<Vec<u8>>,
}

/// A stream that is kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStream {
    /// The stream.
    pub key: StreamKey,
    /// The version that began it, at an upstream of a service.
    pub version: ServiceVersion,
    /// The start of the upstream that the version rests on, and how long ago the connection to it
    /// was opened; none if the version is proven.
    pub start: Option<(Lifetime, Millis)>,
    /// For how much longer the stream may be taken up.
    pub lasts_ms: Millis,
}

/// The content of a row of a bucket. Streams name their version by its place in the list.
#[derive(Serialize, Deserialize)]
struct BucketContent {
    versions: Vec<ServiceVersion>,
    streams: Vec<BucketStream>,
}

#[derive(Serialize, Deserialize)]
struct BucketStream {
    key: StreamKey,
    version: u16,
    lasts_ms: Millis,
    start: Option<(Lifetime, Millis)>,
}

/// A decoded row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowContent {
    /// No version is missing among the rows: each one whose streams may be taken up has its row.
    Complete,
    /// Streams of this version may be taken up.
    Version(ServiceVersion),
    /// Streams that began while their service had several versions.
    Streams {
        /// The host that wrote the row, by its incarnation.
        writer: u64,
        /// The streams.
        streams: Vec<StoredStream>,
    },
}

/// Returns the bucket of a stream.
pub fn bucket(key: StreamKey) -> u8 {
    (key.digest() % u64::from(BUCKETS)) as u8
}

/// Returns the prefix of the keys of a bucket's rows.
pub fn bucket_prefix(bucket: u8) -> String {
    format!("streams/{bucket:02x}/")
}

/// Returns the hosts that read the rows of a bucket when they start, of which the first one writes
/// them.
pub fn bucket_keepers<'a>(
    members: impl Iterator<Item = &'a Member>,
    bucket: u8,
) -> impl Iterator<Item = &'a Member> {
    let key = rendezvous::score(bucket_prefix(bucket).as_bytes(), 0);
    keepers_in_order(members, keeping_hosts, key).take(KEEPERS)
}

/// Returns the row that states that no version is missing.
pub fn complete_row() -> StoredRow {
    StoredRow {
        key: COMPLETE_KEY.into(),
        value: Some(PRESENT.to_vec()),
    }
}

/// Returns the key of the row of a version.
pub fn version_key(version: &ServiceVersion) -> Name {
    let name = version.version.as_deref();
    let service = rendezvous::score(version.service.as_bytes(), 0);
    let digest = rendezvous::score(name.unwrap_or_default().as_bytes(), service);
    format!("{VERSIONS_PREFIX}{digest:016x}{}", u8::from(name.is_some())).into()
}

/// Returns the row of a version.
pub fn version_row(version: &ServiceVersion) -> StoredRow {
    StoredRow {
        key: version_key(version),
        value: encode(version),
    }
}

fn encode(content: &impl Serialize) -> Option<Vec<u8>> {
    // These types always encode.
    postcard::to_stdvec(content).ok()
}

/// Decodes a row; none if it cannot be decoded.
pub fn read_row(key: &str, value: &[u8]) -> Option<RowContent> {
    if key == COMPLETE_KEY {
        return Some(RowContent::Complete);
    }
    if key.starts_with(VERSIONS_PREFIX) {
        return postcard::from_bytes(value).ok().map(RowContent::Version);
    }
    let (_bucket, rest) = key.strip_prefix("streams/")?.split_once('/')?;
    let (writer, _number) = rest.split_once('/')?;
    let writer = u64::from_str_radix(writer, 16).ok()?;
    let content: BucketContent = postcard::from_bytes(value).ok()?;
    if content.versions.len() > MAX_ROW_VERSIONS || content.streams.len() > MAX_ROW_STREAMS {
        return None;
    }
    let streams = content.streams.into_iter().map(|stream| {
        let version = content.versions.get(usize::from(stream.version))?;
        Some(StoredStream {
            key: stream.key,
            version: version.clone(),
            start: stream.start,
            lasts_ms: stream.lasts_ms,
        })
    });
    let streams = streams.collect::<Option<Vec<_>>>()?;
    Some(RowContent::Streams { writer, streams })
}

/// A stream of a row, and until when it is kept.
#[derive(Clone, Debug)]
struct KeptStream {
    key: StreamKey,
    version: ServiceVersion,
    /// As in [`StoredStream::start`], with the time at which the connection was opened.
    start: Option<(Lifetime, Millis)>,
    until: Millis,
}

impl KeptStream {
    fn new(now: Millis, stream: StoredStream) -> Self {
        let StoredStream {
            key,
            version,
            start,
            lasts_ms,
        } = stream;
        Self {
            key,
            version,
            start: start.map(|(lifetime, connected_ms)| (lifetime, now - connected_ms)),
            until: now + lasts_ms,
        }
    }

    fn stored(&self, now: Millis) -> StoredStream {
        let start = self.start.clone();
        StoredStream {
            key: self.key,
            version: self.version.clone(),
            start: start.map(|(lifetime, connected_at)| (lifetime, now.since(connected_at))),
            lasts_ms: self.until - now,
        }
    }
}

/// A row that this host writes.
#[derive(Clone, Debug)]
struct OwnRow {
    bucket: u8,
    number: u64,
    streams: Vec<KeptStream>,
    /// Whether the store lacks some of the streams.
    is_changed: bool,
}

impl OwnRow {
    fn is_over(&self, now: Millis) -> bool {
        self.streams.iter().all(|stream| stream.until <= now)
    }

    fn value(&self, now: Millis) -> Option<Vec<u8>> {
        let mut versions = IndexSet::new();
        let current = self.streams.iter().filter(|stream| now < stream.until);
        let streams = current.map(|stream| {
            let stream = stream.stored(now);
            let (index, _) = versions.insert_full(stream.version);
            BucketStream {
                key: stream.key,
                version: index as u16,
                lasts_ms: stream.lasts_ms,
                start: stream.start,
            }
        });
        let streams = streams.collect();
        let versions = versions.into_iter().collect();
        encode(&BucketContent { versions, streams })
    }
}

/// The rows of streams that one host writes.
#[derive(Clone, Debug, Default)]
pub struct OwnRows {
    /// The incarnation of this host.
    writer: u64,
    rows: VecDeque<OwnRow>,
    next_number: u64,
    /// Keys of rows that the store may have and that are to be removed.
    removed: IndexSet<Name>,
    len: usize,
}

impl OwnRows {
    /// Creates the state of a host that has written nothing yet.
    pub fn new(writer: u64) -> Self {
        Self {
            writer,
            ..Self::default()
        }
    }

    fn key(&self, row: &OwnRow) -> Name {
        let prefix = bucket_prefix(row.bucket);
        format!("{prefix}{:016x}/{:x}", self.writer, row.number).into()
    }

    /// Adds a stream. Returns false if there is no room for it.
    pub fn add(&mut self, now: Millis, stream: StoredStream) -> bool {
        if self.len >= MAX_STORED_STREAMS {
            return false;
        }
        let bucket = bucket(stream.key);
        let has_room = |row: &OwnRow| row.bucket == bucket && row.streams.len() < MAX_ROW_STREAMS;
        let row = match self.rows.iter().rposition(has_room) {
            Some(at) => &mut self.rows[at],
            None => {
                self.rows.push_back(OwnRow {
                    bucket,
                    number: self.next_number,
                    streams: Vec::new(),
                    is_changed: false,
                });
                self.next_number += 1;
                self.rows.back_mut().expect("it was added")
            }
        };
        row.is_changed = true;
        row.streams.push(KeptStream::new(now, stream));
        self.len += 1;
        true
    }

    /// Returns whether the store has to be written.
    pub fn has_changes(&self, now: Millis) -> bool {
        !self.removed.is_empty()
            || self
                .rows
                .iter()
                .any(|row| row.is_changed || row.is_over(now))
    }

    /// Returns the rows that the store lacks, and removals of rows whose streams are over; at most
    /// `max_rows`. They count as written until [`Self::note_unwritten`] says otherwise.
    pub fn take_changes(&mut self, now: Millis, max_rows: usize) -> Vec<StoredRow> {
        let (over, kept): (VecDeque<OwnRow>, _) =
            self.rows.drain(..).partition(|row| row.is_over(now));
        self.rows = kept;
        for row in over {
            self.len -= row.streams.len();
            let key = self.key(&row);
            self.removed.insert(key);
        }
        let removals = self.removed.len().min(max_rows);
        let removed = self.removed.drain(..removals);
        let mut changes: Vec<StoredRow> =
            removed.map(|key| StoredRow { key, value: None }).collect();
        for at in 0..self.rows.len() {
            if changes.len() < max_rows && self.rows[at].is_changed {
                let key = self.key(&self.rows[at]);
                let row = &mut self.rows[at];
                row.is_changed = false;
                let value = row.value(now);
                changes.push(StoredRow { key, value });
            }
        }
        changes
    }

    /// Records that a write of these rows failed. If the store `may_write_later`, an outdated row
    /// may replace a newer one under its key, so the streams go on under another key.
    pub fn note_unwritten(&mut self, changes: &[StoredRow], may_write_later: bool) {
        let keys: IndexSet<&Name> = changes.iter().map(|row| &row.key).collect();
        for change in changes.iter().filter(|row| row.value.is_none()) {
            self.removed.insert(change.key.clone());
        }
        for at in 0..self.rows.len() {
            let key = self.key(&self.rows[at]);
            if !keys.contains(&key) {
                continue;
            }
            self.rows[at].is_changed = true;
            if may_write_later {
                self.rows[at].number = self.next_number;
                self.next_number += 1;
                self.removed.insert(key);
            }
        }
    }

    /// Passes the streams that the store may lack to `pass_on`, for another host to write them. A row
    /// is still to be written here if `pass_on` does not accept all of its streams.
    pub fn pass_on_unwritten(
        &mut self,
        now: Millis,
        mut pass_on: impl FnMut(StoredStream) -> bool,
    ) {
        for row in self.rows.iter_mut().filter(|row| row.is_changed) {
            let mut streams = row.streams.iter().filter(|stream| now < stream.until);
            row.is_changed = !streams.all(|stream| pass_on(stream.stored(now)));
        }
    }

    /// Records what the store has of some buckets, one bit for each: the streams by their rows. Rows
    /// of these buckets of which the store lacks streams are written again; it may have been restored
    /// from a copy that has an earlier content.
    pub fn note_read(
        &mut self,
        now: Millis,
        buckets: u16,
        read: &IndexMap<Name, IndexSet<StreamKey>>,
    ) {
        for at in 0..self.rows.len() {
            let is_read = buckets & (1 << self.rows[at].bucket) != 0;
            let kept = read.get(&self.key(&self.rows[at]));
            let row = &mut self.rows[at];
            let mut streams = row.streams.iter().filter(|stream| now < stream.until);
            let is_kept = |key| kept.is_some_and(|kept| kept.contains(key));
            let lacks_some = streams.any(|stream| !is_kept(&stream.key));
            row.is_changed |= is_read && lacks_some;
        }
    }
}
