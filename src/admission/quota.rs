//! Limits on the requests per second of a table row (a brand's entry for a model or service) over
//! all hosts. One host, the row's home, grants parts of the limit to all hosts; a grant is valid
//! for a short time.
//!
//! A grant made at `g` is used between `g` and `g + GRANT_TTL_MS`, because the asking host counts
//! its validity from before it asked. All requests that begin within one second therefore come from
//! grants made within one second plus [`GRANT_TTL_MS`], and the home grants no more than the limit
//! in any window of that length.

use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::RowKey;
use std::collections::VecDeque;

/// How long a grant is valid, from when the host asked for it.
pub const GRANT_TTL_MS: Millis = Millis(200);
/// How long a host waits for the home's answer before it asks again.
pub const REQUEST_RETRY_MS: Millis = Millis(300);

const WINDOW_MS: Millis = Millis(1_000 + GRANT_TTL_MS.0);

/// The home's answer to a host that asked for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of requests that may begin.
    pub granted: u32,
    /// When a refused request may be retried.
    pub retry_after_ms: Millis,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PastGrant {
    at: Millis,
    count: u32,
}

/// State of the home: the grants that it made within the window.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaGranter {
    #[serde(skip)]
    rows: IndexMap<RowKey, VecDeque<PastGrant>>,
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

    /// Returns whether no previous home can still make grants or have made one that is still
    /// valid. Until then, two homes together could exceed the limit. `fresh_bound_ms` is how long a
    /// host may act on an outdated list of members.
    pub fn is_settled(&self, now: Millis, fresh_bound_ms: Millis) -> bool {
        now.since(self.members_changed_at) > fresh_bound_ms + GRANT_TTL_MS
    }

    /// Grants up to `wanted` requests of a row.
    pub fn grant(&mut self, now: Millis, row: &RowKey, limit: u32, wanted: u32) -> QuotaGrant {
        let granted = self.rows.entry(row.clone()).or_default();
        remove_expired(now, granted);
        let used: u32 = granted.iter().map(|grant| grant.count).sum();
        let count = wanted.min(limit.saturating_sub(used));
        if count > 0 {
            granted.push_back(PastGrant { at: now, count });
        }
        let oldest_at = granted.front().map_or(now, |grant| grant.at);
        QuotaGrant {
            granted: count,
            retry_after_ms: WINDOW_MS - now.since(oldest_at),
        }
    }

    /// Removes rows without a grant in the window.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, granted| {
            remove_expired(now, granted);
            !granted.is_empty()
        });
    }
}

fn remove_expired(now: Millis, granted: &mut VecDeque<PastGrant>) {
    while granted
        .front()
        .is_some_and(|grant| now.since(grant.at) > WINDOW_MS)
    {
        granted.pop_front();
    }
}

/// State of a host that asks for grants of one row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RowRequests {
    asked_at: Option<Millis>,
    waiting: VecDeque<RequestId>,
}

/// State of a host that asks for grants: the requests that wait for one, by row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRequester {
    #[serde(skip)]
    rows: IndexMap<RowKey, RowRequests>,
}

impl QuotaRequester {
    /// Adds a request that waits for a grant.
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

    /// Returns the rows for which to ask for a grant now, each with the number of waiting requests.
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

    /// Applies the answer to a request for a grant that was sent at `asked_at` for `wanted`
    /// requests. Returns the requests that may begin, and those that must be refused because the
    /// limit is reached. An answer older than [`GRANT_TTL_MS`] decides nothing.
    pub fn on_quota_grant(
        &mut self,
        now: Millis,
        row: &RowKey,
        asked_at: Millis,
        grant: QuotaGrant,
        wanted: u32,
    ) -> AdmissionDecision {
        let Some(requests) = self.rows.get_mut(row) else {
            return AdmissionDecision::default();
        };
        if requests.asked_at == Some(asked_at) {
            requests.asked_at = None;
        }
        if now.since(asked_at) > GRANT_TTL_MS {
            return AdmissionDecision::default();
        }
        let mut decision = AdmissionDecision::default();
        for index in 0..wanted {
            let Some(request) = requests.waiting.pop_front() else {
                break;
            };
            match index < grant.granted {
                true => decision.begin.push(request),
                false => decision.refuse.push(request),
            }
        }
        decision
    }
}

/// The decision on the requests that waited for a grant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// Requests that may begin.
    pub begin: Vec<RequestId>,
    /// Requests refused because the limit is reached.
    pub refuse: Vec<RequestId>,
}
