//! Reservations that a host gave out for others, until it has told the hosts that refused the
//! requests.

use crate::prelude::*;
use crate::rate_limit::place::MAX_BATCH_PLACES;

/// The most hosts for which keys are kept.
pub const MAX_HOSTS: usize = 1_024;

/// The keys of reservations that were claimed, by the incarnation of the host that refused the
/// request.
#[derive(Clone, Debug, Default)]
pub struct ClaimedKeys(IndexMap<u64, Vec<(u64, Millis)>>);

impl ClaimedKeys {
    /// Records that the reservation with this key, which ends at `until`, was claimed. Without room
    /// for it, the copy at the other host stays until it ends.
    pub fn note(&mut self, refused_by: u64, key: u64, until: Millis) {
        if !self.0.contains_key(&refused_by) && self.0.len() >= MAX_HOSTS {
            return;
        }
        let keys = self.0.entry(refused_by).or_default();
        if keys.len() < MAX_BATCH_PLACES {
            keys.push((key, until));
        }
    }

    /// Takes the keys for a host that calls, without those whose reservations have ended.
    pub fn take(&mut self, now: Millis, host: u64) -> Vec<u64> {
        let keys = self.0.swap_remove(&host).unwrap_or_default();
        let lasting = keys.into_iter().filter(|(_, until)| now < *until);
        lasting.map(|(key, _)| key).collect()
    }

    /// Removes the keys whose reservations have ended.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, keys| {
            keys.retain(|(_, until)| now < *until);
            !keys.is_empty()
        });
    }
}
