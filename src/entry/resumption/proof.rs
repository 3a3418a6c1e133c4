//! Proves the software version of an answer by a copy of the list of upstreams that is new enough.

use crate::entry::host::Host;
use crate::entry::platform::{Platform, Table};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::resumption::{Proof, StreamVersion};

/// How long a stream waits for a newer copy of the list. Its caller leaves after a gap of two
/// seconds.
const PROOF_WAIT_MS: Millis = Millis(1_000);
/// How often the copy is looked at; not every read of it is notified.
const POLL_MS: Millis = Millis(25);

/// Tells whether the list proves a version, if need be after a wait.
pub async fn is_proven<P: Platform>(host: &Host<P>, version: &StreamVersion) -> bool {
    wait_for_list(host, |as_of| version.prove(&host.upstreams.borrow(), as_of)).await
}

/// Tells whether an answer came from an upstream of the software version `wanted`.
pub async fn has_version<P: Platform>(
    host: &Host<P>,
    version: Option<&StreamVersion>,
    wanted: &Name,
) -> bool {
    match version {
        Some(version) => version.version == *wanted && is_proven(host, version).await,
        None => false,
    }
}

/// Waits until this host's copy of the list is as new as the store's at `at`. Returns whether it is.
pub async fn has_list_since<P: Platform>(host: &Host<P>, at: Millis) -> bool {
    let reached = |as_of: Option<Millis>| match as_of.is_some_and(|as_of| as_of >= at) {
        true => Proof::Proven,
        false => Proof::Pending,
    };
    wait_for_list(host, reached).await
}

/// Looks at this host's copy of the list until it decides. Returns whether it proved what `look`
/// looks for in time; `look` is given the time as of which the copy is as new as the store's.
async fn wait_for_list<P: Platform>(
    host: &Host<P>,
    look: impl Fn(Option<Millis>) -> Proof,
) -> bool {
    let until = host.now() + PROOF_WAIT_MS;
    loop {
        let updated = host.replication.next_update();
        match look(list_as_of(host)) {
            Proof::Proven => return true,
            Proof::Refuted => return false,
            Proof::Pending if host.now() >= until => return false,
            Proof::Pending => {}
        }
        with_timeout(POLL_MS, updated).await;
    }
}

/// Returns the time as of which this host's copy of the list is as new as the store's.
pub fn list_as_of<P: Platform>(host: &Host<P>) -> Option<Millis> {
    let now = host.now();
    let end = host.replication.end(now, Table::Upstreams)?;
    Some(now - end.age_ms)
}
