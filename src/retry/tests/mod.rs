//! Tests of retry budgets and of the quarantine of requests that crash upstreams.

mod budget;
mod crash_ledger;
mod digest;
mod model;
mod quarantine;
mod site;

use crate::prelude::*;
use crate::retry::RequestDigest;
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
