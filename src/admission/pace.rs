//! Rate at which requests leave a queue, used to predict the wait of the requests behind them.

use crate::prelude::*;
use std::collections::VecDeque;

/// Number of latest starts that are kept.
pub const MAX_STARTS: usize = 64;
/// Minimum number of starts for a prediction.
pub const MIN_STARTS: usize = 16;
/// Maximum age of the latest start for a prediction.
pub const MAX_AGE_MS: Millis = Millis(2_000);

/// The latest starts of requests from a queue since it was last empty. A request starts when it
/// leaves the queue.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Pace {
    starts: VecDeque<Millis>,
}

impl Pace {
    /// Records a start.
    pub fn note_start(&mut self, now: Millis) {
        self.starts.push_back(now);
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_front();
        }
    }

    /// Discards all starts, because the queue is empty.
    pub fn reset(&mut self) {
        self.starts.clear();
    }

    /// Returns the mean time between starts, or `None` when there are fewer than [`MIN_STARTS`]
    /// or the latest is older than [`MAX_AGE_MS`].
    pub fn interval_ms(&self, now: Millis) -> Option<Millis> {
        let (first, last) = (self.starts.front()?, self.starts.back()?);
        let known = self.starts.len() >= MIN_STARTS && now.since(*last) <= MAX_AGE_MS;
        let intervals = self.starts.len() as u64 - 1;
        known.then(|| Millis(last.since(*first).0 / intervals))
    }
}
