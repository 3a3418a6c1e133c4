//! The list of upstreams, fetched by a host that starts or is behind from a relay instead of the
//! platform's store.
//!
//! Hundreds of hosts can start or fall behind at once before thousands of upstreams. If each read
//! the list from the store, its bytes would grow with hosts times upstreams. Instead the relays
//! read it, and the hosts behind them fetch it from a relay in their data centre when the store's
//! first page shows that there are more. A host that finds no relay in time reads the store itself.

use crate::entry::host::Host;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::entry::table_sources::{RELAY_RETRY_PAUSE_MS, TableSources, serves_tables};
use crate::group::Member;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use crate::upstreams::{Registry, UpstreamEntry};
use rapidhash::v3::rapidhash_v3;
use smol::Timer;
use std::net::SocketAddr;

/// The approximate number of entries in one message: some 100 KB, which take a link of 20 Mbit/s a
/// twentieth of a second.
const PART_ENTRIES: usize = 1_000;
/// The most parts of a list.
const MAX_PARTS: u32 = 1_000;
/// How long a host that starts looks for a relay that has the list. When all hosts restart, the
/// group lists the previous processes for about two seconds more, and a relay accepts a host only
/// once the group lists it.
pub const RELAY_SEARCH_MS: Millis = Millis(5_000);

/// A request for a part of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRequest {
    /// The number of the part, from zero.
    pub part: u32,
    /// Into how many parts the list is split; zero when the host that is asked decides.
    pub parts: u32,
}

/// A part of the list: the entries whose ids hash to its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPart {
    /// Into how many parts the list is split.
    pub parts: u32,
    /// The entries of the part.
    pub entries: Vec<UpstreamEntry>,
    /// The position after the last record that the entries reflect.
    pub end: Position,
    /// How old the entries are at most.
    pub age_ms: Millis,
}

/// The whole list, as fetched from a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct ListCopy {
    /// The address of the relay for calls between hosts.
    pub relay: SocketAddr,
    /// The entries. Some may be newer than `end`.
    pub entries: Vec<UpstreamEntry>,
    /// The position from which the list is to be followed.
    pub end: Position,
    /// The time as of which the entries are at least as new as the store's, by this host's clock.
    pub as_of: Millis,
}

/// Answers a host that starts or is behind. Returns nothing when this host does not have the list
/// itself, or neither orders nor relays.
pub fn answer<P: Platform>(host: &Host<P>, request: ListRequest) -> Option<ListPart> {
    if !serves_tables(host) || !host.upstreams_known.get() || request.parts > MAX_PARTS {
        return None;
    }
    if host.replication.is_incomplete(Table::Upstreams) {
        return None;
    }
    let list = host.replication.end(host.now(), Table::Upstreams)?;
    let upstreams = host.upstreams.borrow();
    let parts = match request.parts {
        0 => part_count(&upstreams),
        parts => parts,
    };
    Some(ListPart {
        parts,
        entries: part_entries(&upstreams, request.part, parts),
        end: list.end,
        age_ms: list.age_ms,
    })
}

/// Returns into how many parts a list is split.
pub fn part_count(upstreams: &Registry) -> u32 {
    let parts = upstreams.count().div_ceil(PART_ENTRIES).max(1) as u32;
    parts.min(MAX_PARTS)
}

/// Returns the listed entries of one of `parts` parts.
pub fn part_entries(upstreams: &Registry, part: u32, parts: u32) -> Vec<UpstreamEntry> {
    let is_in_part = |id: &str| rapidhash_v3(id.as_bytes()) % u64::from(parts) == u64::from(part);
    let listed = upstreams.iter().filter(|upstream| upstream.is_listed());
    listed
        .map(|upstream| &upstream.entry)
        .filter(|entry| is_in_part(&entry.id))
        .cloned()
        .collect()
}

/// Fetches the list from a relay whose copy ends after `newer_than`. Returns nothing when this host
/// is to read the store: it relays or orders itself, the site has no relays, or none had the list
/// within `search_ms`. All relays are asked at least once.
pub async fn fetch<P: Platform>(
    host: &Host<P>,
    sources: &TableSources,
    newer_than: Option<Position>,
    search_ms: Millis,
) -> Option<ListCopy> {
    let until = host.now() + search_ms;
    loop {
        if host.members.borrow().confirmed_at().is_some() {
            for relay in sources.relays(host)? {
                let copy = fetch_from(host, &sources.peers, &relay).await;
                let copy = copy.filter(|copy| newer_than.is_none_or(|known| copy.end > known));
                if copy.is_some() {
                    return copy;
                }
            }
        }
        if host.now() >= until {
            return None;
        }
        Timer::after(RELAY_RETRY_PAUSE_MS.to_duration()).await;
    }
}

async fn fetch_from<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    relay: &Member,
) -> Option<ListCopy> {
    let asked_at = host.now();
    let first = fetch_part(peers, relay, ListRequest::default()).await?;
    let parts = first.parts.min(MAX_PARTS);
    // The list is followed from the end that the first part gave, so later changes come again.
    let mut copy = ListCopy {
        relay: relay.peer_address,
        entries: first.entries,
        end: first.end,
        as_of: asked_at - first.age_ms,
    };
    for part in 1..parts {
        let next = fetch_part(peers, relay, ListRequest { part, parts }).await?;
        copy.entries.extend(next.entries);
    }
    Some(copy)
}

async fn fetch_part(peers: &Peers, relay: &Member, request: ListRequest) -> Option<ListPart> {
    match peers
        .call(relay.peer_address, &PeerCall::List(request))
        .await?
    {
        PeerReply::List(part) => part,
        PeerReply::Sync(_)
        | PeerReply::AppendedLease(_)
        | PeerReply::Desired(_)
        | PeerReply::Version(_)
        | PeerReply::KeptStreams
        | PeerReply::Stream { .. }
        | PeerReply::Versions(_)
        | PeerReply::KeptPlaces(_)
        | PeerReply::Place { .. } => None,
    }
}
