//! Selection of the upstream that serves a request.

pub mod answer_durations;
pub mod answer_wait;
pub mod first_byte;
pub mod first_event;
pub mod occupancy;
pub mod upstreams;

pub mod pick;
pub mod prefix;
pub mod roles;
pub mod service_wait;
#[cfg(test)]
mod tests;
