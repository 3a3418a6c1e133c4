//! Selection of the upstream that serves a request.

pub mod first_byte;
pub mod occupancy;
pub mod upstreams;

pub mod pick;
pub mod prefix;
pub mod roles;
pub mod service_wait;
#[cfg(test)]
mod tests;
