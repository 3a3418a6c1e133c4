//! Tests of the ordering decisions, which need no network.

mod ceiling;
mod fake_engine;
mod gather;
mod lease;
mod ledger;
mod planner;
mod published;
mod view;
