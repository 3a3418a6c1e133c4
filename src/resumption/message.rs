//! What hosts send each other about the versions of streams.

use crate::prelude::*;
use crate::resumption::StreamVersion;
use crate::resumption::version::UpstreamStart;
use crate::upstreams::Lifetime;
use crate::upstreams::versions::ServiceVersion;
use rapidhash::v3::rapidhash_v3;

/// The most records in one message.
pub const MAX_BATCH_RECORDS: usize = 256;

/// A stream, by a digest of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream whose first event was brought by the request with this id.
    pub fn of(request_id: &str) -> Self {
        Self(rapidhash_v3(request_id.as_bytes()))
    }

    /// Returns the key as a number, for the choice of its keepers.
    pub fn digest(self) -> u64 {
        self.0
    }
}

/// The version that began a stream, as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version; none if the host that began the stream does not know it.
    pub version: Option<SentVersion>,
    /// For how much longer the stream may be taken up.
    pub lasts_ms: Millis,
}

/// The versions whose streams may be taken up, as one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// The versions.
    pub versions: Vec<ServiceVersion>,
    /// Whether the host knows that there are no others.
    pub is_complete: bool,
}

/// A [`StreamVersion`] with times that hold at any host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentVersion {
    /// The version.
    pub version: Name,
    /// The start of the upstream that the version rests on, and how long ago the connection to it
    /// was opened.
    pub start: Option<(Lifetime, Millis)>,
}

impl SentVersion {
    /// Returns the form of a version that is sent at `now`.
    pub fn new(version: &StreamVersion, now: Millis) -> Self {
        let start = version.start.as_ref().map(|start| {
            let connected_ms = now.since(start.connected_at);
            (start.lifetime.clone(), connected_ms)
        });
        Self {
            version: version.version.clone(),
            start,
        }
    }

    /// Returns the version of a message that arrived at `now`. Its connection counts as opened later
    /// than it was, by the time that the message took.
    pub fn received(self, now: Millis) -> StreamVersion {
        let start = self.start.map(|(lifetime, connected_ms)| UpstreamStart {
            lifetime,
            connected_at: now - connected_ms,
        });
        StreamVersion {
            version: self.version,
            start,
        }
    }
}
