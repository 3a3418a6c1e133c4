//! Placement: which copies of which models exist, on which upstreams, and the orders to engines
//! that load and unload them.

mod checks;
pub mod configured;
pub mod copies;
pub mod executor;
mod index;
pub mod message;
pub mod missing_copies;
pub mod policy;
pub mod retire;

#[cfg(test)]
mod interleaving_tests;
#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod test_site;
#[cfg(test)]
mod tests;
