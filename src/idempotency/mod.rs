//! Idempotency keys: an operation that may run at most once is claimed on the log before it runs.
//!
//! The host whose claim is the first on the log runs the operation. Other hosts that receive the
//! same operation ask that host for the answer.

pub mod claims;
pub mod finished;
pub mod message;
pub mod pending;

#[cfg(test)]
pub(crate) mod tests;
