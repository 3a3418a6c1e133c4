//! Tests of the requests that wait for a rate limit: the order of one queue, the decisions of one
//! host, and simulated sites.

mod decisions;
mod kinds;
mod model;
mod site;
