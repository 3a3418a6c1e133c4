//! The upstreams of a site as one host knows them: the entries of the platform's list, and health
//! derived from the results of this host's own requests.

pub mod health;
pub mod index;
pub mod notice;
pub mod path;
pub mod reach;
pub mod registry;
pub mod rejections;
pub mod stated_load;
pub mod versions;

#[cfg(test)]
mod tests;

use crate::prelude::*;
pub use health::Health;
use indexmap::Equivalent;
pub use notice::{Notice, NoticeChange, Notices};
pub use path::{Path, UpstreamContact};
pub use registry::{FormerStart, Registry, Upstream};
pub use rejections::RejectionLimit;
pub use stated_load::StatedLoad;
use std::net::SocketAddr;
pub use versions::VersionHistory;

/// The entry in the platform's list for one lifetime of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream's name. It keeps the name when it restarts.
    pub id: Name,
    /// The Unix time at which the upstream started, which tells lifetimes under one name apart;
    /// zero if the entry does not state it.
    pub born_at: Millis,
    /// The name of the service that it belongs to.
    pub service: Name,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The name of its data centre.
    pub data_centre: Name,
    /// The version of its software, which is no version of models or of a desired state; none if
    /// the entry does not state it.
    pub software_version: Option<Name>,
    /// Most requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// Number of load and unload orders that it had accepted when it wrote the entry.
    pub order_count: u64,
    /// The models that it held when it wrote the entry; empty for plain services.
    pub models: Vec<HeldModel>,
}

/// One lifetime of an upstream: the run of its process from one start to the next. Information
/// about an earlier lifetime under the same name never changes the state of a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lifetime {
    /// The name of the upstream.
    pub id: Name,
    /// The Unix time at which it started; zero if its entry does not state it.
    pub born_at: Millis,
}

/// A borrowed [`Lifetime`], as the key of a look-up.
#[derive(Hash)]
pub struct LifetimeKey<'a> {
    /// The name of the upstream.
    pub id: &'a str,
    /// The Unix time at which it started.
    pub born_at: Millis,
}

impl Equivalent<Lifetime> for LifetimeKey<'_> {
    fn equivalent(&self, lifetime: &Lifetime) -> bool {
        self.id == &*lifetime.id && self.born_at == lifetime.born_at
    }
}

/// A model in the memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The name of the model.
    pub name: Name,
    /// The names of the model's adapters that the engine holds as well.
    pub adapters: Vec<Name>,
}
