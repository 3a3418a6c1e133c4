//! Tests of membership: probes, freshness, evictions, and edits during network partitions and
//! pauses of processes.

pub mod cluster;
mod edits;
mod entry;
mod evictions;
mod freshness;
mod leaving;
mod probes;
