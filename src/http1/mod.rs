//! HTTP/1.1 heads, bodies and connections for forwarding requests and answers byte for byte.
//!
//! A general HTTP library hides what a proxy must detect: bytes after a complete answer, an answer
//! that ends early, and a body with two conflicting framings.

pub mod body;
pub mod client;
pub mod connection;
pub mod exchange;
pub mod head;
pub mod syntax;
pub mod target;
pub mod write_permit;

#[cfg(test)]
mod tests;

pub use body::{BodyReader, ChunkError};
pub use connection::{Connection, ReadError};
pub use exchange::{Written, write_while_reading};
pub use head::{Framing, HeadError, Headers, RequestHead, ResponseHead, Version};
pub use target::Target;
