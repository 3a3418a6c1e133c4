//! The attempts of a request at upstreams: which one, when, and over which connection.
//!
//! - [`attempts`]: what was tried, and whether another attempt is allowed.
//! - [`choice`]: the upstream of the next attempt; [`unavailable`]: why there is none.
//! - [`waiting`]: waiting for one; [`prediction`]: when its first event would come.
//! - [`answer_wait`]: waiting for the answer.
//! - [`engine_wait`]: an engine's slowness and the wait for its KV cache.
//! - [`send`], [`exchange`], [`pool`], [`in_flight`]: one send over a connection.

pub mod answer_wait;
pub mod attempts;
pub mod choice;
pub mod engine_wait;
pub mod exchange;
pub mod in_flight;
pub mod pool;
pub mod prediction;
pub mod send;
pub mod unavailable;
pub mod waiting;
