//! Streams that go on at the software version that began them: the records of this host and of
//! others, and what is done before a stream goes on.
//!
//! - [`streams`]: the records, and their way to the hosts that keep them.
//! - [`store`]: what is kept in the platform's store.
//! - [`take_up`]: which version a request needs that takes a stream up.
//! - [`proof`]: waiting until the list of upstreams proves a version.

pub mod proof;
pub mod store;
pub mod streams;
pub mod take_up;
