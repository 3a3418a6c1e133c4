//! How fast requests leave a queue, to predict how long the ones behind will wait.

use crate::prelude::*;
use std::collections::VecDeque;

/// How many starts are remembered.
pub const MAX_STARTS: usize = 64;
/// How many starts a prediction needs.
pub const LEAST_STARTS: usize = 16;
/// How old the last start may be for a prediction.
pub const MAX_AGE_MS: Millis = Millis(2_000);

/// The latest starts from a queue that never ran empty meanwhile.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Pace {
    starts: VecDeque<Millis>,
}

impl Pace {
    /// Takes note of a start.
    pub fn note_start(&mut self, now: Millis) {
        self.starts.push_back(now);
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_front();
        }
    }

    /// Begins anew, since the queue ran empty.
    pub fn reset(&mut self) {
        self.starts.clear();
    }

    /// Returns the mean time between starts, or nothing while too little is known.
    pub fn interval_ms(&self, now: Millis) -> Option<Millis> {
        let (first, last) = (self.starts.front()?, self.starts.back()?);
        let known = self.starts.len() >= LEAST_STARTS && now.since(*last) <= MAX_AGE_MS;
        let intervals = self.starts.len() as u64 - 1;
        known.then(|| Millis(last.since(*first).0 / intervals))
    }
}
