//! The hosts that keep the record of a stream: every host derives them from the stream's key and the
//! list of hosts.

use crate::group::Member;
use crate::group::keepers::keepers_in_order;
use crate::resumption::StreamKey;

/// How many hosts keep the record of a stream.
pub const KEEPERS: usize = 3;
/// Records are kept by this many times the square root of the number of hosts, so that a host has
/// connections to that many others and not to all.
const HOSTS_PER_ROOT: f64 = 4.0;

/// Returns the hosts that keep the record of a stream, by rendezvous hashing. When a host joins or
/// leaves, one of the three changes for some streams.
pub fn keepers<'a>(
    members: impl Iterator<Item = &'a Member>,
    key: StreamKey,
) -> impl Iterator<Item = &'a Member> {
    keepers_in_order(members, keeping_hosts, key.digest()).take(KEEPERS)
}

/// Returns how many of `hosts` hosts keep records.
pub fn keeping_hosts(hosts: usize) -> usize {
    let keeping = (HOSTS_PER_ROOT * (hosts as f64).sqrt()).ceil() as usize;
    keeping.min(hosts)
}
