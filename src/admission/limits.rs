//! The rows' limits on requests at once, as far as this host enforces them.

use crate::prelude::*;
use crate::table::message::{Row, RowKey};

const RETRY_MS: Millis = Millis(1_000);

/// What each row uses at this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Limits {
    #[serde(skip)]
    running: IndexMap<RowKey, u32>,
}

impl Limits {
    /// Admits a request of a row, or says when to come back.
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

    /// Takes the end of an admitted request.
    pub fn end(&mut self, key: &RowKey) {
        if let Some(running) = self.running.get_mut(key) {
            *running = running.saturating_sub(1);
        }
    }
}
