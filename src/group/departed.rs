//! Hosts that left the list of the group and may still serve callers.
//!
//! Answers the pattern of hosts that are cut off from the store and from the others: the list drops them after two seconds,
//! but their callers still reach them, and they go on to admit requests by their share of each rate limit. Were that
//! share given to the others at once, both together would admit more than the limit.

use crate::group::members::MembersChange;
use crate::prelude::*;
use std::net::SocketAddr;

/// How long a host that left the list is counted, unless a process at its address is listed again: longer than one that
/// reaches nobody goes on to admit by its share, and than the list takes to drop it.
const MAY_SERVE_MS: Millis = Millis(28_000);
/// How long a host that reaches neither the store nor another host admits requests by its share.
pub const ALONE_MS: Millis = Millis(20_000);

/// When hosts left the list, by their callers' address.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    left_at: IndexMap<SocketAddr, Millis>,
}

impl Departed {
    /// Takes how the list changed. A process that restarts is listed under the same address as before.
    pub fn note(&mut self, now: Millis, change: &MembersChange) {
        self.left_at
            .retain(|_, left_at| now.since(*left_at) < MAY_SERVE_MS);
        for member in &change.left {
            self.left_at.insert(member.caller_address, now);
        }
        for member in &change.joined {
            self.left_at.swap_remove(&member.caller_address);
        }
    }

    /// Returns how many hosts that are not listed may still serve.
    pub fn count(&self, now: Millis, listed: &IndexSet<SocketAddr>) -> usize {
        let may_serve = |(address, left_at): &(&SocketAddr, &Millis)| {
            now.since(**left_at) < MAY_SERVE_MS && !listed.contains(*address)
        };
        self.left_at.iter().filter(may_serve).count()
    }
}
