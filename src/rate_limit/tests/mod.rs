//! Tests of token buckets with late use, of the decisions of one host, and of simulated sites under
//! overload, network partitions and restarts.

mod limiter;
mod model;
mod places;
pub mod places_model;
mod site;
mod token_bucket;
mod upstreams;
