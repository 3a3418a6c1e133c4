//! The era of the platform's store, which rises each time the store is restored from an older copy.

use crate::entry::lines;
use crate::entry::platform::StoreError;
use crate::prelude::*;
use std::cell::Cell;

/// The latest era that an answer of the store stated.
#[derive(Debug, Default)]
pub struct StoreEra {
    latest: Cell<Option<Era>>,
}

#[derive(Serialize)]
struct RestoredLine {
    era: Era,
    former: Era,
}

impl StoreEra {
    /// Returns the latest era; the default before an answer stated one.
    pub fn latest(&self) -> Era {
        self.latest.get().unwrap_or_default()
    }

    /// Records the era that an answer states, and returns it. An answer that states none is taken as
    /// of the era that was known when the call was sent. Logs a rise.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Outdated`] if a later era is known.
    pub fn note(&self, stated: Option<Era>, known_when_sent: Era) -> Result<Era, StoreError> {
        let era = stated.unwrap_or(known_when_sent);
        let former = self.latest.get();
        if former.is_some_and(|former| era < former) {
            return Err(StoreError::Outdated { era });
        }
        if let Some(former) = former.filter(|former| *former < era) {
            lines::write(LogEvent::StoreRestored, &RestoredLine { era, former });
        }
        self.latest.set(former.max(stated));
        Ok(era)
    }
}
