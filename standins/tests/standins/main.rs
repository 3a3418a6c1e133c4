//! Drives the stand-ins as processes, over their own protocols.

mod engine_caches;
mod engine_chat;
mod engine_orders;
mod faults;
mod hosts;
mod log;
mod service;
mod store;
mod support;
