//! Limits on the requests per second of a table row (a brand's entry for a model or service) over
//! all hosts. One host, the row's home, grants slices of the limit to all hosts; a slice is valid
//! for a short time.
//!
//! A slice granted at `g` is used between `g` and `g + SLICE_MS`, because the asking host counts
//! its validity from before it asked. All requests that begin within one second therefore come from
//! slices granted within one second plus [`SLICE_MS`], and the home grants no more than the limit
//! in any window of that length.

use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::RowKey;
use std::collections::VecDeque;

/// How long a slice is valid, from when the host asked for it.
pub const SLICE_MS: Millis = Millis(200);
/// How long a host waits for the home's answer before it asks again.
pub const REQUEST_RETRY_MS: Millis = Millis(300);

const WINDOW_MS: Millis = Millis(1_000 + SLICE_MS.0);

/// The home's answer to a host that asked for a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of requests that may begin.
    pub granted: u32,
    /// When a refused request may be retried.
    pub retry_after_ms: Millis,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct GrantedSlice {
    at: Millis,
    count: u32,
}

/// State of the home: the slices that it granted within the window.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaGranter {
    #[serde(skip)]
    rows: IndexMap<RowKey, VecDeque<GrantedSlice>>,
    members: u64,
    members_changed_at: Millis,
}

impl QuotaGranter {
    /// Updates the membership. `members` is a checksum that changes with the set of members.
    pub fn note_members(&mut self, now: Millis, members: u64) {
        if self.members != members {
            self.members = members;
            self.members_changed_at = now;
        }
    }

    /// Returns whether no previous home can still grant slices or have granted one that is still
    /// valid. Until then, two homes together could exceed the limit. `fresh_bound_ms` is how long a
    /// host may act on an outdated list of members.
    pub fn is_settled(&self, now: Millis, fresh_bound_ms: Millis) -> bool {
        now.since(self.members_changed_at) > fresh_bound_ms + SLICE_MS
    }

    /// Grants up to `wanted` requests of a row.
    pub fn grant(&mut self, now: Millis, row: &RowKey, limit: u32, wanted: u32) -> QuotaGrant {
        let granted = self.rows.entry(row.clone()).or_default();
        remove_expired(now, granted);
        let used: u32 = granted.iter().map(|slice| slice.count).sum();
        let count = wanted.min(limit.saturating_sub(used));
        if count > 0 {
            granted.push_back(GrantedSlice { at: now, count });
        }
        let oldest_at = granted.front().map_or(now, |slice| slice.at);
        QuotaGrant {
            granted: count,
            retry_after_ms: WINDOW_MS - now.since(oldest_at),
        }
    }

    /// Removes rows without a slice in the window.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, granted| {
            remove_expired(now, granted);
            !granted.is_empty()
        });
    }
}

fn remove_expired(now: Millis, granted: &mut VecDeque<GrantedSlice>) {
    while granted
        .front()
        .is_some_and(|slice| now.since(slice.at) > WINDOW_MS)
    {
        granted.pop_front();
    }
}

/// State of a host that asks for slices of one row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RowRequests {
    asked_at: Option<Millis>,
    waiting: VecDeque<RequestId>,
}

/// State of a host that asks for slices: the requests that wait for one, by row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRequester {
    #[serde(skip)]
    rows: IndexMap<RowKey, RowRequests>,
}

impl QuotaRequester {
    /// Adds a request that waits for a slice.
    pub fn push(&mut self, row: &RowKey, request: RequestId) {
        let requests = self.rows.entry(row.clone()).or_default();
        requests.waiting.push_back(request);
    }

    /// Removes a request that is no longer wanted.
    pub fn remove(&mut self, row: &RowKey, request: RequestId) {
        if let Some(requests) = self.rows.get_mut(row) {
            requests.waiting.retain(|waiting| *waiting != request);
        }
    }

    /// Returns the rows for which to ask for a slice now, each with the number of waiting requests.
    pub fn due(&mut self, now: Millis) -> Vec<(RowKey, u32)> {
        self.rows.retain(|_, requests| !requests.waiting.is_empty());
        let mut due = Vec::new();
        for (row, requests) in &mut self.rows {
            let asked = requests.asked_at;
            if asked.is_some_and(|at| now.since(at) <= REQUEST_RETRY_MS) {
                continue;
            }
            requests.asked_at = Some(now);
            due.push((row.clone(), requests.waiting.len() as u32));
        }
        due
    }

    /// Applies the answer to a request for a slice that was sent at `asked_at` for `wanted`
    /// requests. Returns the requests that may begin, and those that must be refused because the
    /// limit is reached. An answer older than [`SLICE_MS`] decides nothing.
    pub fn on_slice(
        &mut self,
        now: Millis,
        row: &RowKey,
        asked_at: Millis,
        slice: QuotaGrant,
        wanted: u32,
    ) -> AdmissionDecision {
        let Some(requests) = self.rows.get_mut(row) else {
            return AdmissionDecision::default();
        };
        if requests.asked_at == Some(asked_at) {
            requests.asked_at = None;
        }
        if now.since(asked_at) > SLICE_MS {
            return AdmissionDecision::default();
        }
        let mut decision = AdmissionDecision::default();
        for index in 0..wanted {
            let Some(request) = requests.waiting.pop_front() else {
                break;
            };
            match index < slice.granted {
                true => decision.begin.push(request),
                false => decision.refuse.push(request),
            }
        }
        decision
    }
}

/// The decision on the requests that waited for a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// Requests that may begin.
    pub begin: Vec<RequestId>,
    /// Requests refused because the limit is reached.
    pub refuse: Vec<RequestId>,
}
