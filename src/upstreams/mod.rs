//! The upstreams of a site as one host knows them: the platform's list, corrected by its own sends.

pub mod health;
pub mod index;
pub mod registry;

#[cfg(test)]
mod tests;

use crate::prelude::*;
pub use health::Health;
pub use registry::{Registry, Upstream};
use std::net::SocketAddr;

/// What the platform's list says of one start of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name; a later start may have it again.
    pub id: Name,
    /// The Unix time of its start, which tells the starts under one name apart; zero where it does not say.
    pub born_at: Millis,
    /// The service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Orders that it had accepted when it wrote the entry.
    pub order_count: u64,
    /// The models that it held then.
    pub models: Vec<HeldModel>,
}

/// One start of an upstream. News of an earlier start under the same name changes nothing of a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lifetime {
    /// The upstream's name.
    pub id: Name,
    /// The Unix time of its start; zero where it does not say.
    pub born_at: Millis,
}

/// A model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub name: Name,
    /// Its adapters that the engine holds too.
    pub adapters: Vec<Name>,
}
