//! Group membership of entry hosts, and the relay tree through which hosts reach the orderer.
//!
//! The group is the list of running hosts, kept on the platform's store under a generation number
//! that grows with each change. The orderer is the one host that currently decides which engine
//! loads which model; relays forward state between it and other hosts.
//!
//! This module holds decisions only and does no I/O:
//!
//! - [`member`]: the entry of one host.
//! - [`members`]: the member list, and updates for hosts with an older list.
//! - [`desired_versions`]: which hosts have a newer desired state.
//! - [`departed`]: hosts that left the list and may still serve callers.
//! - [`read_policy`]: when a host reads the list from the store itself.
//! - [`tree`]: which hosts relay for others.
//! - [`keepers`]: which hosts keep state for a key.
//! - [`neighbours`]: with which hosts a host exchanges versions of the desired state without an
//!   orderer.
//! - [`parents`]: which relay, or the orderer, a host syncs with.

pub mod departed;
pub mod desired_versions;
pub mod generation;
pub mod keepers;
pub mod member;
pub mod members;
pub mod neighbours;
pub mod parents;
pub mod read_policy;
pub mod tree;

#[cfg(test)]
mod tests;

pub use generation::Generation;
pub use member::Member;
pub use members::Members;
pub use tree::RelayTree;
