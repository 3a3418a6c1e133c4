//! The list of upstreams for a host that starts or is behind: from a relay instead of the platform's store.
//!
//! Answers the pattern of hundreds of hosts that start at once, or fall behind at once, before thousands of upstreams: were each
//! to read the list from the store, its bytes would grow with hosts times upstreams. Relays read it, and the hosts behind them
//! take it from these, inside their data centre, when the store's first page shows that there are more. A host that finds no
//! relay in time reads the store itself.

use crate::entry::host::Host;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::entry::sources::{Sources, is_source};
use crate::group::Member;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use crate::upstreams::{Registry, UpstreamEntry};
use rapidhash::v3::rapidhash_v3;
use smol::Timer;
use std::net::SocketAddr;

/// About how many entries one message has: some 100 KB, which a link of 20 Mbit/s takes in a twentieth of a second.
const PART_ENTRIES: usize = 1_000;
/// Most parts of a list.
const MAX_PARTS: u32 = 1_000;
/// How long a host looks for a relay that has the list. When all hosts restart the group's list has those before them
/// for about two seconds, and a relay accepts a host once it is listed.
pub const LOOK_MS: Millis = Millis(5_000);
/// The pause after all relays were asked in vain.
const PAUSE_MS: Millis = Millis(250);

/// Which part of the list a host asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAsk {
    /// The number of the part.
    pub part: u32,
    /// Into how many parts the list is cut; zero when the host that is asked is to say.
    pub parts: u32,
}

/// A part of the list: the entries whose names have its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPart {
    /// Into how many parts the list is cut.
    pub parts: u32,
    /// The entries.
    pub entries: Vec<UpstreamEntry>,
    /// The offset after the last record that the entries show.
    pub end: Offset,
    /// How old they are at most.
    pub age_ms: Millis,
}

/// The whole list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListCopy {
    /// Where the relay takes calls.
    pub relay: SocketAddr,
    /// The entries. Some may be newer than the end says.
    pub entries: Vec<UpstreamEntry>,
    /// From where the list is to be followed.
    pub end: Offset,
    /// When the entries were no older than the store's.
    pub as_of: Millis,
}

/// Answers a host that starts; nothing when this host does not have the list itself, or relays for no others.
pub fn answer<P: Platform>(host: &Host<P>, ask: ListAsk) -> Option<ListPart> {
    if !is_source(host) || !host.upstreams_known.get() || ask.parts > MAX_PARTS {
        return None;
    }
    let list = host.followed.end(host.now(), Table::Upstreams)?;
    let upstreams = host.upstreams.borrow();
    let parts = match ask.parts {
        0 => parts_of(&upstreams),
        parts => parts,
    };
    Some(ListPart {
        parts,
        entries: part(&upstreams, ask.part, parts),
        end: list.end,
        age_ms: list.age_ms,
    })
}

/// Returns into how many parts a list is cut.
pub fn parts_of(upstreams: &Registry) -> u32 {
    let parts = upstreams.count().div_ceil(PART_ENTRIES).max(1) as u32;
    parts.min(MAX_PARTS)
}

/// Returns a part of a list.
pub fn part(upstreams: &Registry, part: u32, parts: u32) -> Vec<UpstreamEntry> {
    let is_in_part = |id: &str| rapidhash_v3(id.as_bytes()) % u64::from(parts) == u64::from(part);
    let listed = upstreams.iter().filter(|upstream| upstream.is_listed());
    listed
        .map(|upstream| &upstream.entry)
        .filter(|entry| is_in_part(&entry.id))
        .cloned()
        .collect()
}

/// Takes the list from a relay, one that ends after `newer_than`. Returns nothing when this host is to read the store: it
/// relays itself, the site has no relays, or none had the list within `look_ms`; all are asked once at least.
pub async fn fetch<P: Platform>(
    host: &Host<P>,
    sources: &Sources,
    newer_than: Option<Offset>,
    look_ms: Millis,
) -> Option<ListCopy> {
    let until = host.now() + look_ms;
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
        Timer::after(PAUSE_MS.to_duration()).await;
    }
}

async fn fetch_from<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    relay: &Member,
) -> Option<ListCopy> {
    let asked_at = host.now();
    let first = ask_part(peers, relay, ListAsk::default()).await?;
    let parts = first.parts.min(MAX_PARTS);
    // The list is followed from the first part's end: what changed since then comes again.
    let mut copy = ListCopy {
        relay: relay.peer_address,
        entries: first.entries,
        end: first.end,
        as_of: asked_at - first.age_ms,
    };
    for part in 1..parts {
        let next = ask_part(peers, relay, ListAsk { part, parts }).await?;
        copy.entries.extend(next.entries);
    }
    Some(copy)
}

async fn ask_part(peers: &Peers, relay: &Member, ask: ListAsk) -> Option<ListPart> {
    match peers.call(relay.peer_address, &PeerCall::List(ask)).await? {
        PeerReply::List(part) => part,
        PeerReply::Sync(_) | PeerReply::AppendedLease(_) | PeerReply::Desired(_) => None,
    }
}
