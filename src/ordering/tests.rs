//! Tests of the ordering decisions, which need no network.

mod cached_orderer_state;
mod edited_models;
mod engine_inventory;
mod engine_speeds;
mod fake_engine;
mod late_orders;
mod lease;
mod order_count;
mod planner;
mod published;
mod relay_aggregate;
mod store_load_limiter;
mod transit;
