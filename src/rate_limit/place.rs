//! One reservation (place) for a request that was refused for a rate limit, and its form in messages.

use crate::prelude::*;
use crate::retry::RequestDigest;

/// How long before its time a reservation is valid: callers' timers differ from the host's clock.
pub const EARLY_MS: Millis = Millis(100);
/// How long after its time a reservation is valid.
pub const LATE_MS: Millis = Millis(1_500);
/// The longest time for which a reservation is made ahead.
pub const MAX_AHEAD_MS: Millis = Millis(10_000);
/// The most updates in one message.
pub const MAX_BATCH_PLACES: usize = 256;
/// The longest time since the first arrival that is accepted from another host.
const MAX_WAITED_MS: Millis = Millis(600_000);
/// Tells keys of reservations from other hashes of the same digest.
const KEY_NUMBER: u64 = 1;

/// A reservation for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Identifies the request; see [`place_key`].
    pub key: u64,
    /// The organisation whose limit was reached.
    pub organisation: Name,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// What the request takes of the limit.
    pub cost: u64,
    /// When the request first arrived.
    pub arrived_at: Millis,
    /// The time that its caller was told.
    pub due_at: Millis,
    /// The end of its validity.
    pub until: Millis,
    /// The incarnation of the host that refused the request and counts the reservation.
    pub refused_by: u64,
}

/// Returns the key of a request's reservation, which is equal for its repeats.
pub fn place_key(digest: &RequestDigest) -> u64 {
    digest.hash_with(KEY_NUMBER)
}

/// A reservation with times that hold at any host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPlace {
    /// Identifies the request.
    pub key: u64,
    /// The organisation whose limit was reached.
    pub organisation: Name,
    /// The rank of the request.
    pub rank: u8,
    /// What the request takes of the limit.
    pub cost: u64,
    /// The time since the request first arrived.
    pub waited_ms: Millis,
    /// The time until the reservation ends.
    pub ends_in_ms: Millis,
    /// The incarnation of the host that refused the request.
    pub refused_by: u64,
    /// Whether that host knew that the request had been refused before, and counted it.
    pub is_repeat: bool,
}

/// What one host tells another about a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceUpdate {
    /// Keeps a reservation.
    Keep(SentPlace),
    /// Removes the reservation with this key, because it was claimed.
    Remove(u64),
}

impl Place {
    /// Returns the form in which the reservation is sent at `now`.
    pub fn to_sent(&self, now: Millis, is_repeat: bool) -> SentPlace {
        SentPlace {
            key: self.key,
            organisation: self.organisation.clone(),
            rank: self.rank,
            cost: self.cost,
            waited_ms: now.since(self.arrived_at),
            ends_in_ms: self.until.since(now),
            refused_by: self.refused_by,
            is_repeat,
        }
    }

    /// Returns the reservation of a message that arrived at `now`; `None` if it has ended. Times
    /// beyond what hosts name are shortened.
    pub fn from_sent(now: Millis, sent: SentPlace) -> Option<Self> {
        if sent.ends_in_ms == Millis::ZERO {
            return None;
        }
        let until = now + sent.ends_in_ms.min(MAX_AHEAD_MS + LATE_MS);
        Some(Self {
            key: sent.key,
            organisation: sent.organisation,
            rank: sent.rank,
            cost: sent.cost,
            arrived_at: now - sent.waited_ms.min(MAX_WAITED_MS),
            due_at: until - LATE_MS,
            until,
            refused_by: sent.refused_by,
        })
    }

    /// Returns whether a request may take the reservation now.
    pub fn is_valid(&self, now: Millis) -> bool {
        now + EARLY_MS >= self.due_at && now < self.until
    }
}
