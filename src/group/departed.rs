//! Hosts that left the member list and may still serve callers.
//!
//! A host that loses contact with the store and with all other hosts is removed from the list after
//! two seconds, but callers still reach it, and it continues to admit requests under its share of
//! each rate limit. If the other hosts took over that share at once, all together would admit more
//! than the limit.
//!
//! A host that the store turns away is removed from the list as well, but reaches the other hosts.
//! They go on accepting its connections, so that it learns what they know.

use crate::group::Member;
use crate::group::members::MembersChange;
use crate::prelude::*;
use std::net::SocketAddr;

/// How long a host is counted as serving after it left the list, unless a process at its address is
/// listed again. Longer than [`ISOLATED_ADMIT_MS`], during which an isolated host continues to
/// admit requests, and longer than the list takes to drop a host.
const DEPARTED_SERVE_MS: Millis = Millis(28_000);
/// How long a host admits requests under its share of a limit after its last contact with the store
/// or, directly or through a relay, the orderer.
pub const ISOLATED_ADMIT_MS: Millis = Millis(20_000);

/// How long a host is remembered after it left the list: longer than outages of the store usually
/// last.
const REMEMBERED_MS: Millis = Millis(600_000);
/// The most hosts that are remembered: more than a site has.
const MAX_REMEMBERED: usize = 4_096;

/// The hosts that left the list, by caller address, with the time. The latest is at the end.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    left: IndexMap<SocketAddr, (Member, Millis)>,
}

impl Departed {
    /// Records a change of the list. A restarted process is listed under its former address.
    pub fn note(&mut self, now: Millis, change: &MembersChange) {
        self.left
            .retain(|_, (_, left_at)| now.since(*left_at) < REMEMBERED_MS);
        for member in &change.left {
            self.left.shift_remove(&member.caller_address);
            self.left
                .insert(member.caller_address, (member.clone(), now));
        }
        for member in &change.joined {
            self.left.shift_remove(&member.caller_address);
        }
        let beyond = self.left.len().saturating_sub(MAX_REMEMBERED);
        self.left.drain(..beyond);
    }

    /// Iterates over the remembered hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.left.values().map(|(member, _)| member)
    }

    /// Returns the number of hosts that may still serve and are not in `listed`.
    pub fn count(&self, now: Millis, listed: &IndexSet<SocketAddr>) -> usize {
        let may_serve = |(address, (_, left_at)): &(&SocketAddr, &(Member, Millis))| {
            now.since(*left_at) < DEPARTED_SERVE_MS && !listed.contains(*address)
        };
        self.left.iter().filter(may_serve).count()
    }
}
