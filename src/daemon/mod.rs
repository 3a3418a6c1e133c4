//! The daemon: one event loop that makes all decisions of a host, and the tasks that carry them
//! out.
//!
//! [`node::Node::handle`] changes the state of a host and returns effects, both depending only on
//! the state, the event and its time. Each `*_flow` module implements one part of it and connects
//! the modules of the crate that this part needs.

pub mod claim_flow;
pub mod cold_start;
pub mod crash_flow;
pub mod demand_flow;
pub mod dispatch_flow;
pub mod dump;
pub mod edit_flow;
pub mod effect;
pub mod effects;
pub mod event;
pub mod life_flow;
pub mod limit_flow;
pub mod log_flow;
pub mod membership_flow;
pub mod metrics;
pub mod node;
pub mod placement_flow;
pub mod process_log;
pub mod request_flow;
pub mod run;
pub mod servers;
pub mod trace;
pub mod upstream_flow;

#[cfg(test)]
mod tests;
