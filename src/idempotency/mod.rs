//! Operations that may run at most once, claimed on the log before they run.

pub mod claims;
pub mod finished;
pub mod message;
pub mod pending;

#[cfg(test)]
pub(crate) mod tests;
