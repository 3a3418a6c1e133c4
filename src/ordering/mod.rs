//! Which engine holds which model: one host at a time orders loads and unloads, the others tell it what callers ask.
//!
//! Everything here decides without network: [`lease`] who may order, [`ledger`] what engines hold and what is on
//! its way, [`census`] how many of them hold what, [`ceiling`] how many loads the weight store gets, [`planner`] what to
//! order next, [`adapters`] also of adapters, [`estimates`] when what callers wait for is ready, [`gather`] and [`published`] what
//! goes up to the orderer and down from it.

pub mod adapters;
pub mod book;
mod candidates;
pub mod ceiling;
pub mod census;
pub mod copy;
pub mod demand;
pub mod engine;
mod engine_orders;
pub mod estimates;
pub mod gather;
pub mod host_reports;
pub mod lease;
pub mod ledger;
pub mod message;
pub mod planner;
pub mod published;
mod spare;
pub mod view;

#[cfg(test)]
mod tests;
