//! Rendezvous hashing.
//!
//! Every host computes the same ranking of members for a key, and a member that joins or leaves
//! changes only the assignment of keys that it gets or had.

use rapidhash::v3::rapidhash_v3;

/// Returns the score of a pair of a name and a number.
///
/// One of the two is the key, the other the member. To rank the members for a key, sort them by
/// their scores with that key.
pub fn score(name: &[u8], number: u64) -> u64 {
    let mut bytes = Vec::with_capacity(name.len() + size_of::<u64>());
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(&number.to_le_bytes());
    rapidhash_v3(&bytes)
}
