//! Tests of the ordering decisions, which need no network.

mod engine_inventory;
mod fake_engine;
mod gather;
mod lease;
mod planner;
mod published;
mod store_load_limiter;
mod view;
