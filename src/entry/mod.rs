//! An entry host on a platform that keeps the state: it serves callers' requests, host discovery,
//! readiness and metrics, and runs the tasks that follow the platform.
//!
//! All tasks of a process run on one thread. Their shared state is in [`host::Host`], and nothing
//! holds a borrow of it across an await. Everything that is specific to the platform is behind
//! [`platform::Platform`].

pub mod active_request;
pub mod answer;
pub mod budgeted_log;
pub mod caller;
pub mod crashes;
pub mod desired_copy;
pub mod desired_exchange;
pub mod directory;
pub mod engine_calls;
pub mod follow;
pub mod forward;
pub mod handoff;
pub mod host;
pub mod lease_manager;
pub mod limit_queue;
pub mod limits;
pub mod lines;
pub mod list_copy;
pub mod members;
pub mod metrics;
pub mod notices;
pub mod orderer;
pub mod outbox;
pub mod pages;
pub mod paths;
pub mod peers;
pub mod places;
pub mod platform;
pub mod rejections;
pub mod replication;
pub mod request_log;
pub mod resumption;
pub mod run;
pub mod sending;
pub mod served;
pub mod served_metrics;
pub mod settings;
pub mod stated_loads;
pub mod stop;
pub mod store_era;
pub mod sync;
pub mod table_rows;
pub mod table_sources;
pub mod upstream_limits;

#[cfg(test)]
mod tests;
