//! Decides which engine holds which model.
//!
//! One host at a time, the orderer, plans loads and unloads and sends them to the engines as
//! orders. It holds a lease that the other hosts observe. All other hosts report the demand of
//! their callers to the orderer, directly or through a relay, and receive the state of the engines
//! in return. A copy is one model on one engine.
//!
//! Nothing in this module does any network I/O. [`lease`] decides who may send orders.
//! [`engine_inventory`] tracks what each engine holds, is loading or unloading; [`engine_index`]
//! counts it per model. [`store_load_limiter`] limits loads from the weight store. [`planner`]
//! chooses the next order for a model, [`adapters`] for an adapter. [`late_orders`] keeps memory free
//! for orders that had no answer. [`estimates`] predicts when a model that callers wait for is ready.
//! [`demand`], [`host_reports`], [`relay_aggregate`] and [`demand_totals`] add up what hosts report to
//! the orderer; [`published`] and [`cached_orderer_state`] carry the state of the engines back to the
//! hosts. [`event_gaps`] samples how fast engines answer, and [`engine_speeds`] learns their
//! [`slowness`] from the samples.

pub mod adapters;
pub mod cached_orderer_state;
mod candidates;
pub mod copy;
pub mod demand;
pub mod demand_totals;
pub mod engine;
pub mod engine_index;
pub mod engine_inventory;
mod engine_memory;
mod engine_orders;
pub mod engine_speeds;
pub mod estimates;
pub mod event_gaps;
pub mod failed_loads;
mod free_memory;
pub mod host_reports;
mod late_orders;
pub mod lease;
pub mod message;
pub mod model_sizes;
pub mod planner;
pub mod published;
pub mod relay_aggregate;
mod slow_copies;
pub mod slowness;
pub mod store_load_limiter;

#[cfg(test)]
mod tests;
