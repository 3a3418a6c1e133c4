//! An entry host on a platform that keeps the state: callers' requests, the answer which addresses to use,
//! readiness, and the tasks that follow the platform.
//!
//! One thread runs all tasks of a process; shared state is in [`host::Host`], and nothing holds a borrow of it
//! across a wait. What the platform calls things is behind [`platform::Platform`].

pub mod active_request;
pub mod attempts;
pub mod budgeted_log;
pub mod caller;
pub mod choice;
pub mod crashes;
pub mod desired_copy;
pub mod directory;
pub mod exchange;
pub mod follow;
pub mod followed;
pub mod forward;
pub mod host;
pub mod in_flight;
pub mod lease_keeper;
pub mod limits;
pub mod lines;
pub mod list_copy;
pub mod members;
pub mod metrics;
pub mod orderer;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod relay;
pub mod request_log;
pub mod run;
pub mod send;
pub mod settings;
pub mod sources;
pub mod stop;
pub mod sync;
pub mod table_rows;
pub mod upstream_limits;
pub mod waiting;

#[cfg(test)]
mod tests;
