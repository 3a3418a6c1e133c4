//! Tests of membership: probes, freshness, evictions, and edits under cuts and pauses.

mod cluster;
mod edits;
mod evictions;
mod freshness;
mod leaving;
mod probes;
