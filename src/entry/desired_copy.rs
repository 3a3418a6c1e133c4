//! The newest desired state, fetched by a host that is behind from a relay instead of the
//! platform's store.
//!
//! Desired states can follow each other quickly before hundreds of hosts. If each host read every
//! version from the store, its calls and bytes would grow with hosts times versions, and a host
//! that the store refuses would go on serving by an old version.

use crate::desired::DesiredState;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, Table};
use crate::entry::table_sources::{TableSources, serves_tables};
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use std::net::SocketAddr;

/// A desired state, and where the table is to be followed after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DesiredCopy {
    /// The newest desired state that the relay has.
    pub state: Arc<DesiredState>,
    /// The offset after the last record that the relay had read.
    pub end: Offset,
    /// How old the relay's knowledge of the end is at most.
    pub age_ms: Millis,
}

/// Answers a host that is behind. Returns nothing when this host neither orders nor relays, or has
/// read no desired state since it does.
pub fn answer<P: Platform>(host: &Host<P>) -> Option<DesiredCopy> {
    if !serves_tables(host) {
        return None;
    }
    let state = host.replication.shared_desired()?;
    let table = host.replication.end(host.now(), Table::Desired)?;
    Some(DesiredCopy {
        state,
        end: table.end,
        age_ms: table.age_ms,
    })
}

/// Fetches the newest desired state from a relay whose table ends after `newer_than`. Returns
/// nothing when this host is to read the store instead, else also the address of the relay.
pub async fn fetch<P: Platform>(
    host: &Host<P>,
    sources: &TableSources,
    newer_than: Offset,
) -> Option<(SocketAddr, DesiredCopy)> {
    for relay in sources.relays(host)? {
        let reply = sources.peers.call(relay.peer_address, &PeerCall::Desired);
        if let Some(PeerReply::Desired(Some(copy))) = reply.await
            && copy.end > newer_than
        {
            return Some((relay.peer_address, copy));
        }
    }
    None
}
