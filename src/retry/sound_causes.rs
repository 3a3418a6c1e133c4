//! Remembers on which causes upstreams have answered requests, so that these are not suspected.

use crate::prelude::*;
use crate::retry::shared_cause::{SharedCause, VersionTag};

/// The most entries of one generation. Two generations are kept, so that a cause which is used again
/// within this many others is never forgotten.
const MAX_GENERATION: usize = 2_048;

/// The causes on which upstreams of a software version have answered lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SoundCauses {
    recent: IndexSet<(SharedCause, VersionTag)>,
    earlier: IndexSet<(SharedCause, VersionTag)>,
}

impl SoundCauses {
    /// Records that an upstream of a version has answered on a cause.
    pub fn note(&mut self, cause: SharedCause, version: VersionTag) {
        if self.recent.len() >= MAX_GENERATION && !self.recent.contains(&(cause, version)) {
            self.earlier = std::mem::take(&mut self.recent);
        }
        self.recent.insert((cause, version));
    }

    /// Tells whether an upstream of a version has answered on a cause lately.
    pub fn contains(&self, cause: SharedCause, version: VersionTag) -> bool {
        let entry = (cause, version);
        self.recent.contains(&entry) || self.earlier.contains(&entry)
    }
}
