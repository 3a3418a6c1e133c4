//! The log lines of many hosts, read together: the story of a request, who ordered when, refusals by cause, what
//! organisations asked, and how long a desired state takes to all hosts.
//!
//! Everything here works on text: [`line`] reads one line, the others answer one question each.

pub mod leases;
pub mod line;
pub mod organisations;
pub mod refusals;
pub mod spread;

#[cfg(test)]
mod tests;

pub use line::{Lines, LogLine, ReadError};
