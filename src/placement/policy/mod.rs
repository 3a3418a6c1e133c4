//! Placement policy: where to load, when to refuse, what to keep warm.

pub mod choice;
pub mod demand;
pub mod gaps;
pub mod keep_warm;

#[cfg(test)]
mod tests;
