//! The software version of the upstream that sent a part of a stream, and what proves it.

use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry};

/// How long after its start an upstream may take to write its entry.
const ENTRY_DELAY_MS: Millis = Millis(300);

/// The software version of the upstream that sent a part of a stream, as the list stated it when the
/// request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamVersion {
    /// The version.
    pub version: Name,
    /// The start of the upstream that the version rests on; none where an upstream's name stands for
    /// a single start, since no other one runs a request that names it.
    pub start: Option<UpstreamStart>,
}

/// The start of an upstream that may start again under its name, in another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    /// The lifetime that the list had.
    pub lifetime: Lifetime,
    /// When the connection to it was opened. It ends when the upstream does.
    pub connected_at: Millis,
}

/// Whether the list of upstreams proves the version of a part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The upstream had this version.
    Proven,
    /// A newer copy of the list is needed: the upstream may have started again before the connection
    /// was opened.
    Pending,
    /// The upstream has started again, before or after the connection was opened, or may have done so
    /// before this host knew any upstream.
    Refuted,
}

impl StreamVersion {
    /// Returns the version of the lifetime in a registry, for an answer that came over a connection
    /// opened at `connected_at`. None if the list has no such lifetime or names no version.
    pub fn of(upstreams: &Registry, lifetime: &Lifetime, connected_at: Millis) -> Option<Self> {
        let upstream = upstreams.get_lifetime(lifetime)?;
        let start = UpstreamStart {
            lifetime: lifetime.clone(),
            connected_at,
        };
        Some(Self {
            version: upstream.software_version()?.clone(),
            start: (lifetime.born_at > Millis::ZERO).then_some(start),
        })
    }

    /// Tells whether a copy of the list that is as new as the store's at `list_as_of` proves the
    /// version.
    pub fn prove(&self, upstreams: &Registry, list_as_of: Option<Millis>) -> Proof {
        let Some(start) = &self.start else {
            return Proof::Proven;
        };
        let needed_at = start.connected_at + ENTRY_DELAY_MS;
        let is_new = list_as_of.is_some_and(|as_of| as_of >= needed_at);
        match last_start(upstreams, &start.lifetime.id) {
            // Between two starts in one version there may have been one in another.
            Some(born_at) if born_at > start.lifetime.born_at => Proof::Refuted,
            // An upstream that this host never saw may have started again before this host did.
            None if is_new => Proof::Refuted,
            Some(_) if is_new => Proof::Proven,
            Some(_) | None => Proof::Pending,
        }
    }

    /// Drops what the version rests on once it is proven, so that later starts of the upstream say
    /// nothing about it.
    pub fn settle(&mut self, upstreams: &Registry, list_as_of: Option<Millis>) -> Proof {
        let proof = self.prove(upstreams, list_as_of);
        if proof == Proof::Proven {
            self.start = None;
        }
        proof
    }
}

/// Returns when an upstream last started, as far as a registry knows.
fn last_start(upstreams: &Registry, id: &Name) -> Option<Millis> {
    match upstreams.get(id) {
        Some(known) => Some(known.entry.born_at),
        None => upstreams.last_start(id),
    }
}
