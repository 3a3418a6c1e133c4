//! Which upstream gets a request.

pub mod upstreams;

#[cfg(test)]
mod tests;
