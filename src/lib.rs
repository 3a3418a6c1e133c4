//! Mangovale serves many rarely used models to many brands.
//!
//! The decisions are made by pure state machines (`handle(now, event) -> effects`). [`edge`] holds
//! the code that does input and output over sockets for them; [`daemon`] connects the two in one
//! event loop.

pub mod admission;
pub mod attempt;
pub mod cli;
pub mod clock;
pub mod daemon;
pub mod desired;
pub mod edge;
pub mod entry;
pub mod error;
pub mod event_log;
pub mod event_stream;
pub mod group;
pub mod handoff;
pub mod http1;
pub mod idempotency;
pub mod identity;
pub mod json;
pub mod logs;
pub mod membership;
pub mod ordering;
mod pairs;
pub mod placement;
pub mod position;
pub mod prelude;
pub mod rate_limit;
mod rendezvous;
pub mod resumption;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod shared_log;
pub mod table;
#[cfg(test)]
mod test_support;
pub mod upstreams;
