//! Operations that may run at most once, claimed on the log before they run.

pub mod claims;
pub mod message;

#[cfg(test)]
mod tests;
