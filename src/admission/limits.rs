//! Limits on the concurrent requests of a table row (a brand's entry for a model or service),
//! enforced by each host for itself.

use crate::prelude::*;
use crate::table::message::{Row, RowKey};

const RETRY_MS: Millis = Millis(1_000);

/// Running requests of each row on this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConcurrencyLimits {
    #[serde(skip)]
    running: IndexMap<RowKey, u32>,
}

impl ConcurrencyLimits {
    /// Admits a request of a row, or returns when to retry.
    ///
    /// # Errors
    ///
    /// Returns the time to wait when the row's limit is reached.
    pub fn admit(&mut self, key: &RowKey, row: &Row) -> Result<(), Millis> {
        let running = self.running.entry(key.clone()).or_default();
        if row
            .concurrent_requests
            .is_some_and(|limit| *running >= limit)
        {
            return Err(RETRY_MS);
        }
        *running += 1;
        Ok(())
    }

    /// Counts the end of an admitted request, which makes room for another one.
    pub fn release(&mut self, key: &RowKey) {
        if let Some(running) = self.running.get_mut(key) {
            *running = running.saturating_sub(1);
        }
    }
}
