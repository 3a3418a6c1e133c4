//! The list of hosts and the tree of relays, without network.

mod members;
mod parents;
mod reading;
mod tree;
