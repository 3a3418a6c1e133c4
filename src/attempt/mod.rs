//! The requests of a host, their attempts at upstreams, and the checks of streamed answers.

pub mod message;
pub mod requests;
pub mod stream_validator;

#[cfg(test)]
mod tests;
