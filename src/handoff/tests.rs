//! Tests of the decisions about handing requests to other hosts.

mod message;
mod peer_memory;
mod site;
