//! The era of the platform's store, which rises each time the store is restored from an older copy.

use crate::entry::lines;
use crate::prelude::*;
use std::cell::Cell;

/// The latest era that an answer of the store stated.
#[derive(Debug, Default)]
pub struct StoreEra {
    latest: Cell<Option<u64>>,
}

#[derive(Serialize)]
struct RestoredLine {
    era: u64,
    former: u64,
}

impl StoreEra {
    /// Records the era that an answer stated. Logs a rise.
    pub fn note(&self, era: u64) {
        let former = self.latest.get();
        if let Some(former) = former.filter(|former| *former < era) {
            lines::write(LogEvent::StoreRestored, &RestoredLine { era, former });
        }
        self.latest.set(former.max(Some(era)));
    }
}
