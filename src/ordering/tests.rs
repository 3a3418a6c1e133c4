//! Tests of the ordering decisions, which need no network.

mod engine_inventory;
mod fake_engine;
mod lease;
mod planner;
mod published;
mod relay_aggregate;
mod store_load_limiter;
mod view;
