//! One request's way: its attempts at upstreams, their outcomes, and its one final answer.

pub mod events;
pub mod message;
pub mod requests;

#[cfg(test)]
mod tests;
