//! A row's requests a second over all hosts: its home grants slices that are valid for a short time.
//!
//! A slice granted at `g` is used within `g` and `g + SLICE_MS`, since the host that asked counts from
//! before it asked. So the requests begun in any one second come from the slices of one second and
//! [`SLICE_MS`], and that is the window in which the home grants no more than the limit.

use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::RowKey;
use std::collections::VecDeque;

/// How long a slice is valid.
pub const SLICE_MS: Millis = Millis(200);
/// How long a host waits for its home before it asks again.
pub const ASK_AGAIN_MS: Millis = Millis(300);

const WINDOW_MS: Millis = Millis(1_000 + SLICE_MS.0);

/// A home's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// How many requests may begin.
    pub granted: u32,
    /// When to come back for more.
    pub retry_after_ms: Millis,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Granted {
    at: Millis,
    count: u32,
}

/// The home's side: what was granted lately.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Granting {
    #[serde(skip)]
    rows: IndexMap<RowKey, VecDeque<Granted>>,
    members: u64,
    members_changed_at: Millis,
}

impl Granting {
    /// Takes note of the present members, as one number that changes with them.
    pub fn note_members(&mut self, now: Millis, members: u64) {
        if self.members != members {
            self.members = members;
            self.members_changed_at = now;
        }
    }

    /// Tells whether no former home can still be granting, nor have a valid slice out.
    pub fn is_settled(&self, now: Millis, fresh_bound_ms: Millis) -> bool {
        now.since(self.members_changed_at) > fresh_bound_ms + SLICE_MS
    }

    /// Grants up to `wanted` requests of a row.
    pub fn grant(&mut self, now: Millis, row: &RowKey, limit: u32, wanted: u32) -> Slice {
        let granted = self.rows.entry(row.clone()).or_default();
        forget_old(now, granted);
        let used: u32 = granted.iter().map(|slice| slice.count).sum();
        let count = wanted.min(limit.saturating_sub(used));
        if count > 0 {
            granted.push_back(Granted { at: now, count });
        }
        let oldest_at = granted.front().map_or(now, |slice| slice.at);
        Slice {
            granted: count,
            retry_after_ms: WINDOW_MS - now.since(oldest_at),
        }
    }

    /// Forgets rows without a recent slice.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, granted| {
            forget_old(now, granted);
            !granted.is_empty()
        });
    }
}

fn forget_old(now: Millis, granted: &mut VecDeque<Granted>) {
    while granted
        .front()
        .is_some_and(|slice| now.since(slice.at) > WINDOW_MS)
    {
        granted.pop_front();
    }
}

/// The asking side of one row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Asking {
    asked_at: Option<Millis>,
    waiting: VecDeque<RequestId>,
}

/// The asking side: requests that wait for a slice.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Metered {
    #[serde(skip)]
    rows: IndexMap<RowKey, Asking>,
}

impl Metered {
    /// Adds a request that waits.
    pub fn push(&mut self, row: &RowKey, request: RequestId) {
        let asking = self.rows.entry(row.clone()).or_default();
        asking.waiting.push_back(request);
    }

    /// Removes a request that is given up.
    pub fn remove(&mut self, row: &RowKey, request: RequestId) {
        if let Some(asking) = self.rows.get_mut(row) {
            asking.waiting.retain(|waiting| *waiting != request);
        }
    }

    /// Returns the rows for which a slice is to be asked now, and how much of it.
    pub fn due(&mut self, now: Millis) -> Vec<(RowKey, u32)> {
        self.rows.retain(|_, asking| !asking.waiting.is_empty());
        let mut due = Vec::new();
        for (row, asking) in &mut self.rows {
            let asked = asking.asked_at;
            if asked.is_some_and(|at| now.since(at) <= ASK_AGAIN_MS) {
                continue;
            }
            asking.asked_at = Some(now);
            due.push((row.clone(), asking.waiting.len() as u32));
        }
        due
    }

    /// Takes an answer to what was asked at `asked_at`; returns who may begin, and who may not when the
    /// limit is reached.
    pub fn on_slice(
        &mut self,
        now: Millis,
        row: &RowKey,
        asked_at: Millis,
        slice: Slice,
        wanted: u32,
    ) -> Decided {
        let Some(asking) = self.rows.get_mut(row) else {
            return Decided::default();
        };
        if asking.asked_at == Some(asked_at) {
            asking.asked_at = None;
        }
        if now.since(asked_at) > SLICE_MS {
            return Decided::default();
        }
        let mut decided = Decided::default();
        for place in 0..wanted {
            let Some(request) = asking.waiting.pop_front() else {
                break;
            };
            match place < slice.granted {
                true => decided.begin.push(request),
                false => decided.refuse.push(request),
            }
        }
        decided
    }
}

/// What a slice means for the requests that waited for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decided {
    /// These may begin.
    pub begin: Vec<RequestId>,
    /// For these the limit is reached.
    pub refuse: Vec<RequestId>,
}
