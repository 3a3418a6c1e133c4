//! HTTP/1.1 as exact bytes: heads, bodies and connections for forwarding without change.
//!
//! A general HTTP library hides what forwarding must see: bytes after a complete answer, an answer that
//! ends early, and two framings of one body.

pub mod body;
pub mod client;
pub mod connection;
pub mod head;

#[cfg(test)]
mod tests;

pub use body::BodyReader;
pub use connection::{Connection, ReadError};
pub use head::{Framing, HeadError, Headers, RequestHead, ResponseHead};
