//! Who the hosts are, which of them are alive, and whether this host's state is current.

pub mod entry;
pub mod freshness;
pub mod leaving;
pub mod members;
pub mod message;
pub mod probes;

#[cfg(test)]
pub(crate) mod tests;
