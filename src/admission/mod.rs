//! Queues, rate limits and concurrency limits of requests before they are sent to an upstream.

pub mod limits;
pub mod pace;
pub mod queue;
pub mod slices;

#[cfg(test)]
mod tests;
