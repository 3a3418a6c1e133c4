//! The hosts that keep state for a key, which every host derives from the key and the list of hosts.

use crate::group::Member;
use crate::rendezvous;

/// Returns the hosts that may keep state for a key, in the order in which they are chosen, by
/// rendezvous hashing. `keeping` returns how many of a number of hosts keep state.
pub fn keepers_in_order<'a>(
    members: impl Iterator<Item = &'a Member>,
    keeping: impl Fn(usize) -> usize,
    key: u64,
) -> impl Iterator<Item = &'a Member> {
    let mut hosts: Vec<&Member> = members.collect();
    let keeping = keeping(hosts.len());
    if keeping < hosts.len() {
        hosts.select_nth_unstable_by_key(keeping, |host| rank(host, 0));
        hosts.truncate(keeping);
    }
    hosts.sort_unstable_by_key(|host| rank(host, key));
    hosts.into_iter()
}

fn rank(host: &Member, key: u64) -> (u64, u64) {
    let incarnation = host.incarnation;
    let score = rendezvous::score(&incarnation.to_le_bytes(), key);
    (score, incarnation)
}
