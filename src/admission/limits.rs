//! The rows' limits, as far as this host enforces them.

use crate::prelude::*;
use crate::table::message::{Row, RowKey};
use std::collections::VecDeque;

const SECOND_MS: Millis = Millis(1_000);

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RowUse {
    running: u32,
    begun: VecDeque<Millis>,
}

/// What each row uses at this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Limits {
    #[serde(with = "crate::pairs")]
    rows: IndexMap<RowKey, RowUse>,
}

impl Limits {
    /// Admits a request of a row, or says when to come back.
    ///
    /// # Errors
    ///
    /// Returns the time to wait when the row's limit is reached.
    pub fn admit(&mut self, now: Millis, key: &RowKey, row: &Row) -> Result<(), Millis> {
        let used = self.rows.entry(key.clone()).or_default();
        while used
            .begun
            .front()
            .is_some_and(|at| now.since(*at) >= SECOND_MS)
        {
            used.begun.pop_front();
        }
        if row
            .concurrent_requests
            .is_some_and(|limit| used.running >= limit)
        {
            return Err(SECOND_MS);
        }
        if row
            .requests_per_s
            .is_some_and(|limit| used.begun.len() >= limit as usize)
        {
            let oldest = used.begun.front().copied().unwrap_or(now);
            return Err(SECOND_MS - now.since(oldest));
        }
        used.running += 1;
        if row.requests_per_s.is_some() {
            used.begun.push_back(now);
        }
        Ok(())
    }

    /// Takes the end of an admitted request.
    pub fn end(&mut self, key: &RowKey) {
        if let Some(used) = self.rows.get_mut(key) {
            used.running = used.running.saturating_sub(1);
        }
    }
}
