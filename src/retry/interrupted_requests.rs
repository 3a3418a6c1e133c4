//! Requests whose connection to an upstream ended while it ran them, kept until it is known whether
//! the upstream crashed.

use crate::prelude::*;
use crate::retry::shared_cause::{RequestCauses, VersionTag};
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// How long after its connection ended a request counts as running at a crash that is detected in
/// the meantime.
const RETENTION_MS: Millis = Millis(5_000);
/// Maximum number of requests kept: all that one host has in flight at a few engines.
const MAX_REQUESTS: usize = 512;
/// Maximum number of crashed upstreams kept.
const MAX_CRASHED: usize = 64;
/// For how long after its first bytes an answer counts as beginning.
pub const BEGINNING_MS: Millis = Millis(250);

/// A request whose connection to an upstream ended while it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedRun {
    /// What in the request may be the cause, if the upstream crashed.
    pub causes: Arc<RequestCauses>,
    /// The software version of the upstream.
    pub version: VersionTag,
    /// When the request was sent.
    pub sent_at: Millis,
    /// For how long the answer had been coming; none if it had not begun.
    pub answered_ms: Option<Millis>,
}

impl InterruptedRun {
    /// Tells whether the upstream was at most beginning to answer.
    pub fn is_beginning(&self) -> bool {
        self.answered_ms.is_none_or(|for_ms| for_ms < BEGINNING_MS)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct InterruptedRequest {
    at: Millis,
    upstream: Lifetime,
    run: InterruptedRun,
}

/// Requests and crashed upstreams that one host lost within the last `RETENTION_MS`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InterruptedRequests {
    requests: VecDeque<InterruptedRequest>,
    crashed: VecDeque<(Millis, Lifetime)>,
}

impl InterruptedRequests {
    /// Records that a request's connection ended. Returns whether its upstream is known to have
    /// crashed.
    pub fn note(&mut self, now: Millis, upstream: &Lifetime, run: &InterruptedRun) -> bool {
        self.expire(now);
        if self.has_crashed(upstream) {
            return true;
        }
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(InterruptedRequest {
            at: now,
            upstream: upstream.clone(),
            run: run.clone(),
        });
        false
    }

    /// Records that an upstream crashed. Returns the requests that were running there.
    pub fn note_crashed(&mut self, now: Millis, upstream: &Lifetime) -> Vec<InterruptedRun> {
        self.expire(now);
        let (here, others) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition::<VecDeque<_>, _>(|request| request.upstream == *upstream);
        self.requests = others;
        if !here.is_empty() && !self.has_crashed(upstream) {
            if self.crashed.len() >= MAX_CRASHED {
                self.crashed.pop_front();
            }
            self.crashed.push_back((now, upstream.clone()));
        }
        here.into_iter().map(|request| request.run).collect()
    }

    fn has_crashed(&self, upstream: &Lifetime) -> bool {
        self.crashed.iter().any(|(_, crashed)| crashed == upstream)
    }

    fn expire(&mut self, now: Millis) {
        self.requests
            .retain(|request| now.since(request.at) < RETENTION_MS);
        self.crashed.retain(|(at, _)| now.since(*at) < RETENTION_MS);
    }
}
