//! The newest desired state, fetched by a host that is behind from another host instead of the
//! platform's store.
//!
//! Desired states can follow each other quickly before hundreds of hosts. If each host read every
//! version from the store, its calls and bytes would grow with hosts times versions, and a host
//! that the store refuses would go on serving by an old version. So hosts behind a relay ask it
//! first, and every host answers one that is behind.

use crate::desired::DesiredState;
use crate::entry::host::Host;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::entry::table_sources::TableSources;
use crate::group::Member;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use std::net::SocketAddr;

/// A desired state, and where the table is to be followed after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DesiredCopy {
    /// The desired state in force at the other host.
    pub state: Arc<DesiredState>,
    /// The position after the last record that it had read, or that another host had read for it.
    pub end: Position,
    /// How old its knowledge of the end is at most.
    pub age_ms: Millis,
}

/// Answers a host that is behind. Returns nothing when no desired state is in force here.
pub fn answer<P: Platform>(host: &Host<P>) -> Option<DesiredCopy> {
    let state = host.replication.shared_desired()?;
    let table = host.replication.end(host.now(), Table::Desired)?;
    Some(DesiredCopy {
        state,
        end: table.end,
        age_ms: table.age_ms,
    })
}

/// Fetches the newest desired state from a relay whose table ends after `newer_than`. Returns
/// nothing when this host is to read the store instead: it relays or orders itself, the site has no
/// relays, or none has a newer table. Otherwise also returns the address of the relay.
pub async fn fetch<P: Platform>(
    host: &Host<P>,
    sources: &TableSources,
    newer_than: Position,
) -> Option<(SocketAddr, DesiredCopy)> {
    for relay in sources.relays(host)? {
        let copy = fetch_from(&sources.peers, &relay).await;
        if let Some(copy) = copy.filter(|copy| copy.end > newer_than) {
            return Some((relay.peer_address, copy));
        }
    }
    None
}

/// Fetches the desired state in force at another host; nothing if it does not answer or has none.
pub async fn fetch_from(peers: &Peers, other: &Member) -> Option<DesiredCopy> {
    let reply = peers.call(other.peer_address, &PeerCall::Desired);
    match reply.await? {
        PeerReply::Desired(copy) => copy,
        PeerReply::Sync(_)
        | PeerReply::AppendedLease(_)
        | PeerReply::List(_)
        | PeerReply::Version(_)
        | PeerReply::KeptStreams
        | PeerReply::Stream { .. }
        | PeerReply::Versions(_)
        | PeerReply::KeptPlaces(_)
        | PeerReply::Place { .. } => None,
    }
}
