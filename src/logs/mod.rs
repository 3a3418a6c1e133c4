//! Analysis of the log lines of many hosts: the lines of one request, the periods in which hosts
//! held the orderer's lease, orders to engines, refusals by cause, usage by organisation, how long a desired state
//! takes to reach all hosts, and how requests were served by route and rank.
//!
//! The input is text with one JSON object a line. [`mod@line`] reads it; each of the other modules
//! answers one question of `mangovale logs` or `mangovale load`.

pub mod leases;
pub mod line;
pub mod load;
pub mod order_history;
pub mod order_lines;
pub mod organisations;
pub mod refusals;
pub mod spread;

#[cfg(test)]
mod tests;

pub use line::{LogLine, LogLines, ReadError};
