//! What upstreams state in their answers about whether they take further requests.
//!
//! A statement holds for one lifetime of an upstream, and is kept as long as the upstream's entry.

/// What one answer of an upstream states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream is shutting down and takes no new requests.
    pub is_leaving: bool,
}

/// What an upstream has stated in its answers to this host since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    is_leaving: bool,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The upstream states for the first time that it is leaving.
    Leaving,
}

impl Notices {
    /// Records what an answer states. Returns what changed, if anything did.
    pub fn record(&mut self, notice: Notice) -> Option<NoticeChange> {
        let starts_leaving = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        starts_leaving.then_some(NoticeChange::Leaving)
    }

    /// Returns whether the upstream stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
