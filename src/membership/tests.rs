//! Tests of membership: probes, freshness, evictions, and edits under cuts and pauses.

pub mod cluster;
mod edits;
mod entry;
mod evictions;
mod freshness;
mod leaving;
mod probes;
