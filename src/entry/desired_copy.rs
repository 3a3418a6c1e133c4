//! The newest desired state for a host that is behind: from a relay instead of the platform's store.
//!
//! Answers the pattern of desired states in quick succession before hundreds of hosts: were each to read every version from the
//! store, its calls and bytes would grow with hosts times versions, and a host that the store turns away would go by an old one.

use crate::desired::DesiredState;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, Table};
use crate::entry::sources::{Sources, is_source};
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;

/// A desired state, and from where the table is to be followed after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DesiredCopy {
    /// The newest state.
    pub state: Arc<DesiredState>,
    /// The offset after the last record that the relay had read.
    pub end: Offset,
    /// How old that is at most.
    pub age_ms: Millis,
}

/// Answers a host that is behind; nothing when this host relays for no others, or has read no state since it does.
pub fn answer<P: Platform>(host: &Host<P>) -> Option<DesiredCopy> {
    if !is_source(host) {
        return None;
    }
    let state = host.followed.kept_desired()?;
    let table = host.followed.end(host.now(), Table::Desired)?;
    Some(DesiredCopy {
        state,
        end: table.end,
        age_ms: table.age_ms,
    })
}

/// Takes the newest state from a relay, one of a table that ends after `newer_than`. Returns nothing when this host is to read the
/// store.
pub async fn fetch<P: Platform>(
    host: &Host<P>,
    sources: &Sources,
    newer_than: Offset,
) -> Option<DesiredCopy> {
    for relay in sources.relays(host)? {
        let reply = sources.peers.call(relay.peer_address, &PeerCall::Desired);
        if let Some(PeerReply::Desired(Some(copy))) = reply.await
            && copy.end > newer_than
        {
            return Some(copy);
        }
    }
    None
}
