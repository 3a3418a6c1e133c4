//! Tests of the decisions about handing requests to other hosts.

mod peer_memory;
