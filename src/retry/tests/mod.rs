//! Tests of retry budgets and of the quarantine of requests that crash upstreams.

mod budget;
mod budget_site;
mod crash_ledger;
mod digest;
mod model;
mod network;
mod quarantine;
mod shared_causes;
mod shared_model;
mod shared_site;
mod site;

use crate::prelude::*;
use crate::retry::interrupted_requests::InterruptedRun;
use crate::retry::{RequestCauses, RequestDigest, VersionTag};
use crate::upstreams::Lifetime;

/// Returns the digest of a request with this body; all else is equal.
fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(Some("o"), "POST", "h", "/p", body.as_bytes())
}

fn engine(n: usize) -> Lifetime {
    Lifetime {
        id: format!("e{n}").into(),
        born_at: Millis::ZERO,
    }
}

/// Returns a run, of which the answer had not begun, of a request that shares nothing with others.
fn run(body: &str) -> InterruptedRun {
    InterruptedRun {
        causes: Arc::new(RequestCauses::of_digest(digest(body))),
        version: VersionTag::of(None),
        sent_at: Millis::ZERO,
        answered_ms: None,
    }
}
