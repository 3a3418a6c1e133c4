//! Hosts that left the member list and may still serve callers.
//!
//! A host that loses contact with the store and with all other hosts is removed from the list after
//! two seconds, but callers still reach it, and it continues to admit requests under its share of
//! each rate limit. If the other hosts took over that share at once, all together would admit more
//! than the limit.

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

/// The times at which hosts left the list, by caller address.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    left_at: IndexMap<SocketAddr, Millis>,
}

impl Departed {
    /// Records a change of the list. A restarted process is listed under its former address.
    pub fn note(&mut self, now: Millis, change: &MembersChange) {
        self.left_at
            .retain(|_, left_at| now.since(*left_at) < DEPARTED_SERVE_MS);
        for member in &change.left {
            self.left_at.insert(member.caller_address, now);
        }
        for member in &change.joined {
            self.left_at.swap_remove(&member.caller_address);
        }
    }

    /// Returns the number of hosts that may still serve and are not in `listed`.
    pub fn count(&self, now: Millis, listed: &IndexSet<SocketAddr>) -> usize {
        let may_serve = |(address, left_at): &(&SocketAddr, &Millis)| {
            now.since(**left_at) < DEPARTED_SERVE_MS && !listed.contains(*address)
        };
        self.left_at.iter().filter(may_serve).count()
    }
}
