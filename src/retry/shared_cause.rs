//! What requests share with others and may crash the upstreams that run them: a part of the prompt,
//! the model, or an adapter.

use crate::prelude::*;
use crate::rendezvous;
use crate::retry::RequestDigest;
use std::fmt;

/// Identifies something that requests of one service share, at every host.
///
/// The service is part of the identity, as its upstreams run the same software. The model is not
/// part of that of a prompt part: a part may crash the upstream with any model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SharedCause(u64);

/// The kinds of causes, which keep equal names of different kinds apart.
#[derive(Clone, Copy)]
enum Kind {
    Part = 1,
    Model = 2,
    Adapter = 3,
}

impl SharedCause {
    /// Returns the identity of a part of prompts, from the number that is equal in all requests
    /// that share it.
    pub fn part(service: &str, part: u64) -> Self {
        Self::new(service, Kind::Part, &part.to_le_bytes())
    }

    /// Returns the identity of a model.
    pub fn model(service: &str, model: &str) -> Self {
        Self::new(service, Kind::Model, model.as_bytes())
    }

    /// Returns the identity of an adapter of a model.
    pub fn adapter(service: &str, model: &str, adapter: &str) -> Self {
        let model = rendezvous::score(model.as_bytes(), 0);
        let mut bytes = model.to_le_bytes().to_vec();
        bytes.extend_from_slice(adapter.as_bytes());
        Self::new(service, Kind::Adapter, &bytes)
    }

    fn new(service: &str, kind: Kind, value: &[u8]) -> Self {
        let service = rendezvous::score(service.as_bytes(), kind as u64);
        Self(rendezvous::score(value, service))
    }

    /// Returns a hash of the identity and `number`.
    pub fn hash_with(self, number: u64) -> u64 {
        rendezvous::score(&self.0.to_le_bytes(), number)
    }
}

impl fmt::Display for SharedCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a software version of upstreams. Upstreams that state none count as of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionTag(u32);

impl VersionTag {
    /// Returns the tag of a version.
    pub fn of(version: Option<&str>) -> Self {
        Self(version.map_or(0, |version| rendezvous::score(version.as_bytes(), 0) as u32))
    }

    /// Returns the tag as a number.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Everything in a request that may be the cause of a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCauses {
    /// The digest, which is equal for repeats of the request.
    pub digest: RequestDigest,
    /// What it shares with other requests.
    pub shared: Vec<SharedCause>,
}

impl RequestCauses {
    /// Returns the causes of a request that shares nothing with others.
    pub fn of_digest(digest: RequestDigest) -> Self {
        Self {
            digest,
            shared: Vec::new(),
        }
    }
}
