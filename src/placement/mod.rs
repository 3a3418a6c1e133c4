//! Which copies of which models exist, on which upstreams, and the orders that make and remove them.

pub mod copies;
pub mod executor;
pub mod message;
pub mod policy;

#[cfg(test)]
mod tests;
