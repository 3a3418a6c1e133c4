//! Cluster membership of hosts that share a replicated log: which hosts are members, which of them
//! are alive, and whether this host's state is current enough to serve.

pub mod entry;
pub mod freshness;
pub mod leaving;
pub mod members;
pub mod message;
pub mod probes;

#[cfg(test)]
pub(crate) mod tests;
