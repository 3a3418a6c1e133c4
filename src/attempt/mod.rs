//! The requests of a host, their attempts at upstreams, and the checks of streamed answers.

pub mod events;
pub mod message;
pub mod requests;

#[cfg(test)]
mod tests;
