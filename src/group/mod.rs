//! The group of entry hosts: who is in it, and by which hosts the others speak with the orderer.
//!
//! Everything here decides without network: [`member`] one host, [`members`] the list and how its changes are passed
//! on, [`departed`] who may still serve without being listed, [`reading`] when a host reads it itself,
//! [`tree`] which hosts relay for others, [`parents`] which of them a host asks.

pub mod departed;
pub mod member;
pub mod members;
pub mod parents;
pub mod reading;
pub mod tree;

#[cfg(test)]
mod tests;

pub use member::Member;
pub use members::Members;
pub use tree::Tree;
