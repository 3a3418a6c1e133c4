//! Which upstream gets a request.

pub mod first_byte;
pub mod upstreams;

#[cfg(test)]
mod tests;
