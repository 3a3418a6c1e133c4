//! Queues, rate limits and concurrency limits of requests before they are sent to an upstream.

pub mod limits;
pub mod pace;
pub mod queue;
pub mod quota;

#[cfg(test)]
mod tests;
