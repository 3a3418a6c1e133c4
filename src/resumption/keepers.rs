//! The hosts that keep the record of a stream: every host derives them from the stream's key and the
//! list of hosts.

use crate::group::Member;
use crate::rendezvous;
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
    let mut hosts: Vec<&Member> = members.collect();
    let keeping = keeping_hosts(hosts.len());
    if keeping < hosts.len() {
        hosts.select_nth_unstable_by_key(keeping, |host| rank(host, 0));
        hosts.truncate(keeping);
    }
    hosts.sort_unstable_by_key(|host| rank(host, key.digest()));
    hosts.into_iter().take(KEEPERS)
}

/// Returns how many of `hosts` hosts keep records.
pub fn keeping_hosts(hosts: usize) -> usize {
    let keeping = (HOSTS_PER_ROOT * (hosts as f64).sqrt()).ceil() as usize;
    keeping.min(hosts)
}

fn rank(host: &Member, digest: u64) -> (u64, u64) {
    let incarnation = host.incarnation;
    let score = rendezvous::score(&incarnation.to_le_bytes(), digest);
    (score, incarnation)
}
